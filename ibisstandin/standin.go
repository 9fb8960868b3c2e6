// Package ibisstandin simulates the platform for tests and demos: the table service with its object store,
// the VM list, which lags behind the actual state, and backend servers. Each simulated service keeps its
// state in memory, provides an HTTP handler, and takes faults to inject while it runs. docs/PLATFORM.md
// specifies the interfaces that they simulate. Command ibisstandin serves them.
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

// Error is the class of errors that the simulated services report on their own behalf: a wrong configuration or
// control request, or a result that fails its check. Errors of a simulated interface have the class of that interface.
var Error = errs.Class("stand-in")

// Paths for control and inspection, served besides the simulated interface.
const (
	PathFaults  = "/faults"  // POST replaces all faults at once; GET reads them, except from a fleet
	PathStats   = "/stats"   // GET
	PathHistory = "/history" // GET, from a server with the query parameter "after"; a table has no history
)

// errorReply is the body of an error response from a control path or the VM list.
type errorReply struct {
	Error string `json:"Error"`
}

func badRequest(w http.ResponseWriter, err error) {
	ibishttp.WriteJSON(w, http.StatusBadRequest, errorReply{Error: err.Error()})
}

// loseReply aborts the HTTP handler: the connection is closed without a reply.
func loseReply() { panic(http.ErrAbortHandler) }

// sleep blocks for ms milliseconds of clk, or until done is closed.
func sleep(clk Clock, ms int64, done <-chan struct{}) {
	if ms <= 0 {
		return
	}
	elapsed := make(chan struct{})
	stop := clk.AfterFunc(time.Duration(ms)*time.Millisecond, func() { close(elapsed) })
	defer stop()
	select {
	case <-elapsed:
	case <-done:
	}
}
