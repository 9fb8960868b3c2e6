package ibishttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDrainAnswersEveryRequest guards against connections that the server closes while a request is on its way:
// clients keep using their connections while the server shuts down, and every request must get a response.
func TestDrainAnswersEveryRequest(t *testing.T) {
	const (
		clients = 32
		rounds  = 20
	)
	for range rounds {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				t.Error(err)
			}
		})}
		var (
			drain      Drain
			wg         sync.WaitGroup
			unanswered atomic.Int64
		)
		drain.Attach(s)
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		for i := range clients {
			wg.Go(func() { unanswered.Add(sendUntilRefused(l.Addr().String(), time.Duration(i)*50*time.Microsecond)) })
		}
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		assert.NilError(t, drain.Shutdown(ctx))
		assert.NilError(t, s.Shutdown(ctx))
		cancel()
		wg.Wait()
		assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
		assert.Equal(t, unanswered.Load(), int64(0))
	}
}

// sendUntilRefused sends requests over a kept-alive connection until a response closes it or no new connection
// can be opened. It returns 1 if a request that may have been sent got no response, or else 0.
func sendUntilRefused(address string, pause time.Duration) int64 {
	transport := NewTransport(1)
	defer transport.CloseIdleConnections()
	for {
		var connected bool
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
		ctx := httptrace.WithClientTrace(context.Background(), trace)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, io.NopCloser(strings.NewReader("{}")))
		if err != nil {
			return 1
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			if connected {
				return 1
			}
			return 0
		}
		resp.Body.Close()
		if resp.Close {
			return 0
		}
		time.Sleep(pause)
	}
}

// TestDrainTimesOutOnIdleConnection checks that a client connection without further requests delays a drain
// only until its deadline.
func TestDrainTimesOutOnIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	var drain Drain
	drain.Attach(s)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	transport := NewTransport(1)
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String(), nil)
	assert.NilError(t, err)
	resp, err := transport.RoundTrip(req)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, drain.Shutdown(ctx), context.DeadlineExceeded)
	assert.NilError(t, s.Shutdown(t.Context()))
	assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
}
