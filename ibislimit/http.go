package ibislimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// Track lets a Listener know when the connections of s carry requests, and limits the time for reading the body of one. It
// must be called after s.Handler and s.ConnContext have been set.
func Track(s *http.Server, bodyTimeout time.Duration) {
	next, connContext := s.Handler, s.ConnContext
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, Of(c))
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		c.HeaderDone()
		defer c.Idle()
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &trackedBody{ReadCloser: r.Body, c: c, control: http.NewResponseController(w), timeout: bodyTimeout}
		} else if !c.Busy() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody tells its connection when it has been read, which takes timeout at most.
type trackedBody struct {
	io.ReadCloser
	c       *Conn
	control *http.ResponseController
	timeout time.Duration
	begun   bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.setDeadline(time.Now().Add(b.timeout))
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.setDeadline(time.Time{}) // the server goes on reading to see when the client leaves
		if !b.c.Busy() {
			return n, net.ErrClosed
		}
	}
	return n, err
}

// setDeadline limits the time of reading the connection.
func (b *trackedBody) setDeadline(t time.Time) {
	_ = b.control.SetReadDeadline(t) // without a connection, as in tests of handlers, there is nothing to limit
}
