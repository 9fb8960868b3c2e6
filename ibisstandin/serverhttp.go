package ibisstandin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
)

// Handler serves the interface of a backend server, subject to its faults, and /faults, /stats and /history, which
// the faults don't affect.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(ibisserver.PathClaim, serveCall(s, s.Claim)).Methods(http.MethodPost)
	r.HandleFunc(ibisserver.PathStart, serveCall(s, s.Start)).Methods(http.MethodPost)
	r.HandleFunc(ibisserver.PathRenew, serveCall(s, s.Renew)).Methods(http.MethodPost)
	r.HandleFunc(ibisserver.PathControl, serveCall(s, s.Control)).Methods(http.MethodPost)
	r.HandleFunc(ibisserver.PathPoll, serveCall(s, s.Poll)).Methods(http.MethodPost)
	r.HandleFunc(PathFaults, func(w http.ResponseWriter, r *http.Request) {
		serveFaults(w, r, s.Faults, s.SetFaults)
	})
	r.HandleFunc(PathStats, func(w http.ResponseWriter, _ *http.Request) {
		ibishttp.WriteJSON(w, http.StatusOK, s.Stats())
	})
	r.HandleFunc(PathHistory, func(w http.ResponseWriter, r *http.Request) {
		// A missing or invalid parameter returns the whole history.
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		ibishttp.WriteJSON(w, http.StatusOK, s.History(after))
	})
	return r
}

// serveCall serves one call. The request is read completely before the faults delay it, so that it takes effect
// afterwards even if the caller has disconnected.
func serveCall[In, Out any](s *Server, call func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := ibishttp.ReadJSON(w, r, &in); err != nil {
			s.serveError(w, ibisserver.Rejected.Wrap(&ibisserver.RejectError{Reason: ibisserver.BadRequest, Message: err.Error()}))
			return
		}
		s.delayCall()
		out, err := call(r.Context(), in)
		s.waitUnfrozen() // if the server was frozen during the call
		if _, isPoll := any(in).(ibisserver.PollRequest); !isPoll && s.consumeLostReply() {
			loseReply()
		}
		if err != nil {
			s.serveError(w, err)
			return
		}
		ibishttp.WriteJSON(w, http.StatusOK, out)
	}
}

// delayCall waits while the server is frozen, and then for the injected delay.
func (s *Server) delayCall() {
	s.waitUnfrozen()
	sleep(s.clk, s.Faults().DelayMS, nil)
}

// waitUnfrozen blocks while the server is frozen.
func (s *Server) waitUnfrozen() {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	<-unfrozen
}

// consumeLostReply reports whether this reply is to be lost, and if so decrements LoseReplies.
func (s *Server) consumeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies == 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}

func (s *Server) serveError(w http.ResponseWriter, err error) {
	s.mu.Lock()
	reply := ibisserver.ErrorReply{Code: ibisserver.CodeRejected, Clock: s.now(), Seq: s.seq, Epoch: s.epoch}
	s.mu.Unlock()
	status := http.StatusBadRequest
	if highest, ok := ibisserver.HighestEpoch(err); ok {
		status = http.StatusConflict
		reply.Code, reply.Epoch = ibisserver.CodeFenced, highest
	}
	reply.Reason, reply.Message = ibisserver.ReasonOf(err), err.Error()
	ibishttp.WriteJSON(w, status, reply)
}
