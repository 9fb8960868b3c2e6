package ibishttp

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Drain ends each connection of a server with a response that has "Connection: close".
// http.Server.Shutdown alone closes idle connections at once, also when a client has already sent the next
// request on one: that request gets no response. The zero value is ready to use.
type Drain struct {
	mu       sync.Mutex
	conns    map[net.Conn]bool
	draining bool
	drained  chan struct{} // made when draining starts, closed once no connection is left
}

// Attach tracks the connections of s. It must be called before s serves.
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

// Shutdown starts draining: each connection serves one more request and is then closed. It returns nil once all
// connections are closed, or an error of this package when ctx ends first.
func (d *Drain) Shutdown(ctx context.Context) error {
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
	if d.drained == nil {
		d.drained = make(chan struct{})
		if len(d.conns) == 0 {
			close(d.drained)
		}
	}
	return d.drained
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
