package ibisgate

import (
	"encoding/json"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"ibiscrank/ibiswork"
)

// Problem is the body of every answer that is not a success.
type Problem struct {
	ibiswork.Refusal
	RequestID ibiswork.ID `json:"RequestID,omitempty"`
}

// reply is an answer before it is written.
type reply struct {
	status   int
	location string
	body     any
	label    string // under which the answer is counted
}

// endpoint serves one route; it returns the answer instead of writing it, so that every answer is whole.
type endpoint func(w http.ResponseWriter, r *http.Request) reply

// refuse makes the answer for a refusal, or for any other error an Internal one.
func refuse(err error, id ibiswork.ID) reply {
	p := Problem{Refusal: *ibiswork.AsRefusal(err), RequestID: id}
	if p.RetryAfterMS == 0 {
		p.RetryAfterMS = codeRules[p.Code].RetryAfterMS
	}
	return reply{status: HTTPStatus(p.Code), body: p, label: string(p.Code)}
}

// endpoint wraps e with counting, recovery from panics and the writing of its answer.
func (g *Gate) endpoint(e endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		if refusal := g.flow.enter(); refusal != nil {
			g.write(w, r, refuse(refusal, ""))
			return
		}
		defer g.flow.leave()
		g.write(w, r, g.call(e, w, r))
		metrics.GetOrRegisterTimer("GateTime"+r.Method, g.registry).UpdateSince(start)
	}
}

// call runs e and turns a panic into an Internal refusal that promises nothing.
func (g *Gate) call(e endpoint, w http.ResponseWriter, r *http.Request) (a reply) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		log.WithFields(log.Fields{"method": r.Method, "path": r.URL.Path, "panic": p, "stack": string(debug.Stack())}).Error("RequestPanicked")
		a = refuse(&ibiswork.Refusal{Code: ibiswork.CodeInternal, Message: "the daemon failed on this request"}, "")
	}()
	return e(w, r)
}

// write sends the whole answer with its length, and flushes it before the request counts as ended.
func (g *Gate) write(w http.ResponseWriter, r *http.Request, a reply) {
	metrics.GetOrRegisterCounter("GateAnswers"+a.label, g.registry).Inc(1)
	if p, ok := a.body.(Problem); ok {
		a.body = withoutPromise(r, p)
		if p.RetryAfterMS > 0 {
			w.Header().Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
		}
	}
	b, err := json.Marshal(a.body)
	if err != nil {
		log.WithError(err).Error("AnswerNotEncoded")
		a.status, b = http.StatusInternalServerError, []byte(`{"Code":"Internal","Message":"the answer could not be encoded","NotRun":false}`)
	}
	if g.flow.isDraining() || a.label == string(ibiswork.CodeDraining) {
		w.Header().Set("Connection", "close")
	}
	if a.location != "" {
		w.Header().Set("Location", a.location)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(a.status)
	w.Write(b)
	// A writer that cannot flush sends the answer when the handler returns.
	_ = http.NewResponseController(w).Flush()
}

// withoutPromise is p without the promise when r submits nothing: that a question was refused says
// nothing of the work that it asks after.
func withoutPromise(r *http.Request, p Problem) Problem {
	if r.Method != http.MethodPost {
		p.NotRun = false
	}
	return p
}

// constant serves the same refusal always.
func (g *Gate) constant(status int, code ibiswork.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := refuse(ibiswork.Refuse(code, "%s", message), "")
		a.status = status
		g.write(w, r, a)
	})
}
