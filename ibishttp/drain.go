package ibishttp

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Drain ends a server's connections each with an answer that says so. http.Server.Shutdown alone closes
// a connection that looks idle while the next request on it may already be on its way.
type Drain struct {
	mu       sync.Mutex
	conns    map[net.Conn]bool
	draining bool
	empty    chan struct{}
}

// Attach makes the server's connections known to the drain. It comes before the server serves.
func (d *Drain) Attach(s *http.Server) {
	next := s.Handler
	s.ConnState = d.track
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isDraining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Await lets each connection carry one more request, and returns once all are closed or ctx ends.
func (d *Drain) Await(ctx context.Context) error {
	select {
	case <-d.begin():
		return nil
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

func (d *Drain) begin() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	if d.empty == nil {
		d.empty = make(chan struct{})
		if len(d.conns) == 0 {
			close(d.empty)
		}
	}
	return d.empty
}

func (d *Drain) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *Drain) track(c net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state {
	case http.StateNew:
		if d.conns == nil {
			d.conns = map[net.Conn]bool{}
		}
		d.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(d.conns, c)
		if d.draining && len(d.conns) == 0 {
			d.closeEmpty()
		}
	}
}

// closeEmpty reports the last connection's end; connections that come afterwards are not waited for.
func (d *Drain) closeEmpty() {
	select {
	case <-d.empty:
	default:
		close(d.empty)
	}
}
