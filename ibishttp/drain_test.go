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

// Callers that go on using their connections while a server stops have each request answered.
func TestNoRequestIsCutOffByAStop(t *testing.T) {
	const (
		callers = 32
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
			drain  Drain
			wg     sync.WaitGroup
			cutOff atomic.Int64
		)
		drain.Attach(s)
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		for i := range callers {
			wg.Go(func() { cutOff.Add(keepCalling(l.Addr().String(), time.Duration(i)*50*time.Microsecond)) })
		}
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		assert.NilError(t, drain.Await(ctx))
		assert.NilError(t, s.Shutdown(ctx))
		cancel()
		wg.Wait()
		assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
		assert.Equal(t, cutOff.Load(), int64(0))
	}
}

// keepCalling calls over kept connections until none can be opened, and returns how many requests were
// sent and never answered. A caller who has been told to go elsewhere opens no new connection.
func keepCalling(address string, pause time.Duration) int64 {
	transport := NewTransport(1)
	defer transport.CloseIdleConnections()
	for {
		var got bool
		trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { got = true }}
		ctx := httptrace.WithClientTrace(context.Background(), trace)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, io.NopCloser(strings.NewReader("{}")))
		if err != nil {
			return 1
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			if got {
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

// A connection that is never used again holds a stop up only as long as it may.
func TestDrainEndsBesideAnIdleConnection(t *testing.T) {
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
	assert.ErrorIs(t, drain.Await(ctx), context.DeadlineExceeded)
	assert.NilError(t, s.Shutdown(t.Context()))
	assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
}
