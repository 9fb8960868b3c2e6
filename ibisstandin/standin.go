// Package ibisstandin holds small stand-ins of the platform for tests and demos: the table service with
// its object store, the lagging list of VMs, and backend servers. Each is a library with an HTTP handler
// and faults that are set while it runs. docs/PLATFORM.md states what they stand in for.
//
// Usage:
//
//	t := ibisstandin.NewTable(nil)
//	srv := httptest.NewServer(t.Handler())
//	t.SetFaults(ibisstandin.TableFaults{LoseReplies: 1})
//	table := ibistable.NewClient(srv.URL, nil)
//
//	f, stop, err := ibisstandin.NewFleet(ibisstandin.FleetConfig{Count: 50}, nil)
//	defer stop()
//	s, closeClient := ibisserver.NewClient(f.VMs()[0].Address)
package ibisstandin

import (
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"ibiscrank/ibishttp"
)

// Error is the class of errors of this package.
var Error = errs.Class("stand-in")

// Paths that every stand-in serves beside its own interface.
const (
	PathFaults  = "/faults"  // GET, and POST to replace all faults at once
	PathStats   = "/stats"   // GET
	PathHistory = "/history" // GET, after
)

// errorReply is the body of an answer to a bad request to the stand-in's own paths.
type errorReply struct {
	Error string `json:"Error"`
}

func badRequest(w http.ResponseWriter, err error) {
	ibishttp.WriteJSON(w, http.StatusBadRequest, errorReply{Error: err.Error()})
}

// loseReply closes the connection without a reply.
func loseReply() { panic(http.ErrAbortHandler) }

// sleep waits by clk for ms milliseconds, or until done is closed.
func sleep(clk Clock, ms int64, done <-chan struct{}) {
	if ms <= 0 {
		return
	}
	c := make(chan struct{})
	stop := clk.AfterFunc(time.Duration(ms)*time.Millisecond, func() { close(c) })
	defer stop()
	select {
	case <-c:
	case <-done:
	}
}
