package ibisload

import (
	"bytes"
	"encoding/json"
	"time"

	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// End is how a request of the load ended for its caller.
type End string

// The ends of a request of the load.
const (
	Answered End = "Answered"
	Refused  End = "Refused" // never accepted
	Lost     End = "Lost"    // accepted, and no end was seen
	GivenUp  End = "GivenUp" // accepted, then ended with a refusal
	Damaged  End = "Damaged" // answered with something else than its own whole result
)

// Record is what came of one request of the load.
type Record struct {
	ID         ibiswork.ID      `json:"ID"`
	Team       string           `json:"Team"`
	Kind       string           `json:"Kind"`
	Class      ibiswork.Class   `json:"Class"`
	Idempotent bool             `json:"Idempotent"`
	End        End              `json:"End"`
	Outcome    ibiswork.Outcome `json:"Outcome,omitempty"`
	Code       ibiswork.Code    `json:"Code,omitempty"`
	NotRun     bool             `json:"NotRun,omitempty"`
	Duplicated bool             `json:"Duplicated,omitempty"` // two submissions of the ID had different answers
	Fault      string           `json:"Fault,omitempty"`
	AnswerMS   float64          `json:"AnswerMS"` // from the scheduled arrival to the end
	WaitMS     float64          `json:"WaitMS"`   // AnswerMS without the run of the last attempt
}

// finish fills in what came of the request.
func (rec *Record) finish(req ibiswork.Request, o outcome, scheduled time.Time) {
	rec.AnswerMS = milliseconds(o.at.Sub(scheduled))
	if o.answer != nil {
		rec.finishAnswered(req, *o.answer)
		return
	}
	refusal := ibiswork.AsRefusal(o.err)
	rec.Code, rec.NotRun, rec.Fault = refusal.Code, refusal.NotRun, refusal.Message
	switch {
	case !o.accepted:
		rec.End = Refused
	case isFinal(refusal):
		rec.End = GivenUp
	default:
		rec.End = Lost
	}
}

// isFinal reports whether a refusal that came after the acceptance is the answer to the request, and
// not a failure to learn it. Only these may end accepted work. An OutcomeUnknown without a time to come
// back is the answer to work that was started on a backend server that was lost and may not run again.
func isFinal(r *ibiswork.Refusal) bool {
	switch r.Code {
	case ibiswork.CodeDeadline, ibiswork.CodeNeverFits:
		return true
	case ibiswork.CodeOutcomeUnknown:
		return r.RetryAfterMS == 0
	}
	return false
}

func (rec *Record) finishAnswered(req ibiswork.Request, a ibiswork.Answer) {
	rec.End, rec.Outcome = Answered, a.Outcome
	rec.WaitMS = max(0, rec.AnswerMS-float64(a.RunMS))
	if err := checkAnswer(req, a); err != nil {
		rec.End, rec.Fault = Damaged, err.Error()
	}
}

// compare sets Duplicated when two submissions of one ID were answered from different runs.
func (rec *Record) compare(a, b outcome) {
	if a.answer == nil || b.answer == nil {
		return
	}
	if a.answer.Outcome != b.answer.Outcome || !bytes.Equal(a.answer.Result, b.answer.Result) {
		rec.Duplicated = true
	}
}

// checkAnswer reports an answer that is not the whole answer to its own request.
func checkAnswer(req ibiswork.Request, a ibiswork.Answer) error {
	if a.ID != req.ID {
		return Error.New("the answer of %s came to %s", a.ID, req.ID)
	}
	if a.Outcome != ibiswork.Done {
		return nil
	}
	if req.TaskCount() == 1 {
		_, err := ibisstandin.CheckResult(a.Result, req.ID, req.Payload)
		return err
	}
	var results []json.RawMessage
	if err := json.Unmarshal(a.Result, &results); err != nil || len(results) != req.TaskCount() {
		return Error.New("the answer of a gang of %d has not as many results", req.TaskCount())
	}
	for i, raw := range results {
		res, err := ibisstandin.CheckResult(raw, req.ID, req.Payload)
		if err != nil {
			return err
		}
		if res.Index != i {
			return Error.New("result %d of a gang is that of task %d", i, res.Index)
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
