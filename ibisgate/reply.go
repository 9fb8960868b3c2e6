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

// Problem is the body of every reply that is not a success.
type Problem struct {
	ibiswork.Refusal
	RequestID ibiswork.ID `json:"RequestID,omitempty"`
}

// reply is an HTTP reply that has not been written yet.
type reply struct {
	status   int
	location string
	body     any
	label    string // appended to GateAnswers in the name of the counter
}

// handler serves one route; it returns the reply instead of writing it, so that a reply is never partial.
type handler func(w http.ResponseWriter, r *http.Request) reply

// refusalReply returns the reply for a refusal; any other error becomes an Internal refusal.
func refusalReply(err error, id ibiswork.ID) reply {
	p := Problem{Refusal: *ibiswork.AsRefusal(err), RequestID: id}
	if p.RetryAfterMS == 0 {
		p.RetryAfterMS = codeRules[p.Code].RetryAfterMS
	}
	return reply{status: HTTPStatus(p.Code), body: p, label: string(p.Code)}
}

// endpoint wraps h with the limit of requests in progress, metrics, panic recovery and writing of the reply.
func (g *Gate) endpoint(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		if refusal := g.limiter.acquire(); refusal != nil {
			g.write(w, r, refusalReply(refusal, ""))
			return
		}
		defer g.limiter.release()
		g.write(w, r, g.call(h, w, r))
		metrics.GetOrRegisterTimer("GateTime"+r.Method, g.registry).UpdateSince(start)
	}
}

// call runs h and turns a panic into an Internal refusal with NotRun false: the request may have been run.
func (g *Gate) call(h handler, w http.ResponseWriter, r *http.Request) (rep reply) {
	defer func() {
		p := recover()
		if p == nil {
			return
		}
		log.WithFields(log.Fields{"method": r.Method, "path": r.URL.Path, "panic": p, "stack": string(debug.Stack())}).Error("RequestPanicked")
		rep = refusalReply(&ibiswork.Refusal{Code: ibiswork.CodeInternal, Message: "the daemon panicked while handling this request"}, "")
	}()
	return h(w, r)
}

// write sends the reply with its length, and flushes it before the request stops counting as in progress.
func (g *Gate) write(w http.ResponseWriter, r *http.Request, rep reply) {
	metrics.GetOrRegisterCounter("GateAnswers"+rep.label, g.registry).Inc(1)
	if p, ok := rep.body.(Problem); ok {
		rep.body = withoutNotRun(r, p)
		if p.RetryAfterMS > 0 {
			w.Header().Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
		}
	}
	b, err := json.Marshal(rep.body)
	if err != nil {
		log.WithError(err).Error("AnswerNotEncoded")
		rep.status, b = http.StatusInternalServerError, []byte(`{"Code":"Internal","Message":"the answer could not be encoded","NotRun":false}`)
	}
	if g.limiter.isDraining() || rep.label == string(ibiswork.CodeDraining) {
		w.Header().Set("Connection", "close")
	}
	if rep.location != "" {
		w.Header().Set("Location", rep.location)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(rep.status)
	w.Write(b)
	// A writer that does not support flushing sends the reply when the handler returns.
	_ = http.NewResponseController(w).Flush()
}

// NotReadBody returns the body of the reply on connections that a daemon closes without having read a request.
// Its NotRun is false because the daemon doesn't know whether the request was a submission.
func NotReadBody() []byte {
	b, err := json.Marshal(Problem{Refusal: *ibiswork.Refuse(ibiswork.CodeDraining,
		"this daemon is shutting down and has not read the request").WithMaybeRun().WithRetryAfter(drainingRetryAfter)})
	if err != nil {
		panic(err) // the type has no field that cannot be encoded
	}
	return b
}

// withoutNotRun returns p with NotRun cleared unless r is a submission: a refused status request or
// cancellation does not tell whether the work was run.
func withoutNotRun(r *http.Request, p Problem) Problem {
	if r.Method != http.MethodPost {
		p.NotRun = false
	}
	return p
}

// staticRefusal returns a handler that always replies with the same refusal.
func (g *Gate) staticRefusal(status int, code ibiswork.Code, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rep := refusalReply(ibiswork.Refuse(code, "%s", message), "")
		rep.status = status
		g.write(w, r, rep)
	})
}
