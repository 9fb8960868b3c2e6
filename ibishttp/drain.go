package ibishttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// StatusNotRead is the HTTP status with which CloseIdle closes connections. A client that gets it as the response to
// a request knows that the server has not read that request.
const StatusNotRead = http.StatusRequestTimeout

// notReadWriteTimeout limits the time for writing a StatusNotRead response, which fits into any send buffer that the
// client reads from.
const notReadWriteTimeout = 100 * time.Millisecond

// Drain ends each connection of a server with a response that has "Connection: close".
// http.Server.Shutdown alone closes idle connections at once, also when a client has already sent the next
// request on one: that request gets no response. The zero value is ready to use.
type Drain struct {
	mu       sync.Mutex
	conns    map[net.Conn]*drainConn
	draining bool
	drained  chan struct{} // made when draining starts, closed once no connection is left
	listener net.Listener
	probes   map[string]chan struct{} // by client address; each is closed once the server has accepted the connection
	notRead  []byte                   // response on idle connections, nil until CloseIdle is called
}

// drainConn is the state of one connection of a server.
type drainConn struct {
	busy    bool          // from the call of the handler until its response has been written
	notRead chan struct{} // not nil: no further request is handled; closed once the StatusNotRead response is sent
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Attach tracks the connections of s. It must be called before s serves.
func (d *Drain) Attach(s *http.Server) {
	next := s.Handler
	s.ConnState = d.track
	s.BaseContext = func(l net.Listener) context.Context {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.listener = l
		return context.Background()
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		notRead, last := d.beginRequest(c)
		if notRead != nil {
			// The server closes the connection when the handler has returned. If the body has not been read, this
			// resets the connection, and the client may lose the response.
			<-notRead
			_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, MaxBodyBytes))
			panic(http.ErrAbortHandler)
		}
		if last {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Shutdown starts draining: each connection serves one more request and is then closed. It returns nil once all
// connections that were open when it was called are closed, or an error of this package when ctx ends first.
func (d *Drain) Shutdown(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	d.acceptPending(ctx)
	select {
	case <-d.begin():
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// CloseIdle closes each connection once no request is in progress on it, after a response with StatusNotRead and the
// JSON body. A request that a client sends meanwhile gets this response and is not handled. Clients must close
// their side too. CloseIdle returns nil once all connections are closed, or an error of this package when ctx ends
// first.
func (d *Drain) CloseIdle(ctx context.Context, body []byte) error {
	drained := d.begin()
	for _, send := range d.refuseIdle(notReadResponse(body)) {
		go send()
	}
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// acceptPending waits until the server has accepted all connections that are established now. Those that it has not
// accepted yet would not be waited for, and would be reset when the listener is closed. Connections are accepted in the
// order in which they were established, so that one more shows when it is done.
func (d *Drain) acceptPending(ctx context.Context) {
	d.mu.Lock()
	l := d.listener
	d.mu.Unlock()
	if l == nil {
		return
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, l.Addr().Network(), l.Addr().String())
	if err != nil {
		return // the listener is closed
	}
	defer func() { _ = c.Close() }()
	accepted := d.addProbe(c.LocalAddr().String())
	defer d.removeProbe(c.LocalAddr().String())
	select {
	case <-accepted:
	case <-ctx.Done():
	}
}

// addProbe returns a channel that is closed once the server has accepted the connection from the address.
func (d *Drain) addProbe(address string) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	accepted := make(chan struct{})
	for c := range d.conns {
		if c.RemoteAddr().String() == address {
			close(accepted)
			return accepted
		}
	}
	if d.probes == nil {
		d.probes = map[string]chan struct{}{}
	}
	d.probes[address] = accepted
	return accepted
}

func (d *Drain) removeProbe(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.probes, address)
}

// notReadResponse encodes a StatusNotRead response.
func notReadResponse(body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(StatusNotRead) + " " + http.StatusText(StatusNotRead) + "\r\n")
	b.WriteString("Connection: close\r\nContent-Type: application/json\r\n")
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	b.Write(body)
	return b.Bytes()
}

// closeAfter sends the response and the end of the stream. The server goes on reading from c until the client closes
// it, since closing it with a request unread would reset it.
func closeAfter(c net.Conn, response []byte) {
	err := c.SetWriteDeadline(time.Now().Add(notReadWriteTimeout))
	if err == nil {
		_, err = c.Write(response)
	}
	if half, ok := c.(interface{ CloseWrite() error }); ok && err == nil {
		err = half.CloseWrite()
	}
	if err != nil {
		_ = c.Close() // the server sees that, if it has not closed the connection itself
	}
}

func (d *Drain) begin() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	if d.drained == nil {
		d.drained = make(chan struct{})
		if len(d.conns) == 0 {
			close(d.drained)
		}
	}
	return d.drained
}

// beginRequest marks a connection as busy. If a StatusNotRead response answers the request, it returns the channel
// that is closed once that is sent. last reports whether the request is the connection's last one.
func (d *Drain) beginRequest(c net.Conn) (notRead <-chan struct{}, last bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if st := d.conns[c]; st != nil {
		if st.notRead != nil {
			return st.notRead, true
		}
		st.busy = true
	}
	return nil, d.draining
}

// refuseIdle makes the connections without a request in progress, now or later, refuse their next request. It
// returns a function for each such connection that sends the response.
func (d *Drain) refuseIdle(response []byte) []func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.notRead = response
	var sends []func()
	for c, st := range d.conns {
		if !st.busy && st.notRead == nil {
			sends = append(sends, st.refuse(c, response))
		}
	}
	return sends
}

// refuse marks a connection and returns a function that sends the response. The caller must hold Drain.mu.
func (st *drainConn) refuse(c net.Conn, response []byte) func() {
	sent := make(chan struct{})
	st.notRead = sent
	return func() {
		defer close(sent)
		closeAfter(c, response)
	}
}

func (d *Drain) track(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		if d.conns == nil {
			d.conns = map[net.Conn]*drainConn{}
		}
		d.conns[c] = &drainConn{}
		if accepted := d.probes[c.RemoteAddr().String()]; accepted != nil {
			close(accepted)
			delete(d.probes, c.RemoteAddr().String())
		}
	case http.StateIdle:
		if st := d.conns[c]; st != nil {
			st.busy = false
			if d.notRead != nil && st.notRead == nil {
				go st.refuse(c, d.notRead)()
			}
		}
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
		if d.drained != nil && len(d.conns) == 0 {
			d.signalDrained()
		}
	}
}

// signalDrained ends Shutdown when the last connection has closed; connections opened later are not waited for.
func (d *Drain) signalDrained() {
	select {
	case <-d.drained:
	default:
		close(d.drained)
	}
}
