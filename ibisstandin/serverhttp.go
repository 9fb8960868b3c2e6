package ibisstandin

import (
	"context"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
)

// Handler serves the backend server, /faults, /stats and /history.
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
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		ibishttp.WriteJSON(w, http.StatusOK, s.History(after))
	})
	return r
}

// serveCall serves one call. The call is read whole before the faults delay it, and takes effect
// afterwards even when its caller has left.
func serveCall[In, Out any](s *Server, call func(context.Context, In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if err := ibishttp.ReadJSON(w, r, &in); err != nil {
			s.serveError(w, ibisserver.Rejected.Wrap(&ibisserver.RejectError{Reason: ibisserver.BadRequest, Message: err.Error()}))
			return
		}
		s.suffer()
		out, err := call(r.Context(), in)
		s.waitThaw()
		if _, isPoll := any(in).(ibisserver.PollRequest); !isPoll && s.takeLostReply() {
			loseReply()
		}
		if err != nil {
			s.serveError(w, err)
			return
		}
		ibishttp.WriteJSON(w, http.StatusOK, out)
	}
}

// suffer waits as the faults say.
func (s *Server) suffer() {
	s.waitThaw()
	sleep(s.clk, s.Faults().DelayMS, nil)
}

// waitThaw waits until the server is not frozen.
func (s *Server) waitThaw() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	<-thawed
}

// takeLostReply uses up one of the replies that are to be lost.
func (s *Server) takeLostReply() bool {
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
