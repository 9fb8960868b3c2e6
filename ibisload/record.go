package ibisload

import (
	"bytes"
	"encoding/json"
	"time"

	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// FinalState is the final state of a request as its caller saw it.
type FinalState string

// The final states of a request.
const (
	Answered FinalState = "Answered"
	Refused  FinalState = "Refused" // never accepted
	Lost     FinalState = "Lost"    // accepted, but no outcome was received
	GivenUp  FinalState = "GivenUp" // accepted, then refused with a final code
	Damaged  FinalState = "Damaged" // answered with an incomplete or corrupt result, or that of another request
)

// Record holds the outcome of one request.
type Record struct {
	ID         ibiswork.ID      `json:"ID"`
	Team       string           `json:"Team"`
	Kind       string           `json:"Kind"`
	Class      ibiswork.Class   `json:"Class"`
	Idempotent bool             `json:"Idempotent"`
	FinalState FinalState       `json:"End"`
	Outcome    ibiswork.Outcome `json:"Outcome,omitempty"`
	Code       ibiswork.Code    `json:"Code,omitempty"`
	NotRun     bool             `json:"NotRun,omitempty"`
	Duplicated bool             `json:"Duplicated,omitempty"` // two submissions of the ID got different answers
	Fault      string           `json:"Fault,omitempty"`      // message of the refusal, or what is wrong with the result
	AnswerMS   float64          `json:"AnswerMS"`             // from the scheduled arrival to the outcome
	WaitMS     float64          `json:"WaitMS"`               // AnswerMS without the run time of the last attempt
}

// finish fills in the outcome of the request.
func (rec *Record) finish(req ibiswork.Request, o outcome, scheduled time.Time) {
	rec.AnswerMS = milliseconds(o.endedAt.Sub(scheduled))
	if o.answer != nil {
		rec.finishAnswered(req, *o.answer)
		return
	}
	refusal := ibiswork.AsRefusal(o.err)
	rec.Code, rec.NotRun, rec.Fault = refusal.Code, refusal.NotRun, refusal.Message
	switch {
	case !o.accepted:
		rec.FinalState = Refused
	case isFinal(refusal):
		rec.FinalState = GivenUp
	default:
		rec.FinalState = Lost
	}
}

// isFinal reports whether a refusal that came after the request was accepted is the outcome of the request,
// as opposed to a failure to query the outcome. Accepted work ends with no refusals but these. OutcomeUnknown
// without a retry delay is final: the work is not idempotent and had started on a backend server that was
// lost.
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
	rec.FinalState, rec.Outcome = Answered, a.Outcome
	rec.WaitMS = max(0, rec.AnswerMS-float64(a.RunMS))
	if err := checkAnswer(req, a); err != nil {
		rec.FinalState, rec.Fault = Damaged, err.Error()
	}
}

// compareAnswers sets Duplicated when two submissions of one ID were answered from different runs.
func (rec *Record) compareAnswers(a, b outcome) {
	if a.answer == nil || b.answer == nil {
		return
	}
	if a.answer.Outcome != b.answer.Outcome || !bytes.Equal(a.answer.Result, b.answer.Result) {
		rec.Duplicated = true
	}
}

// checkAnswer returns an error unless the answer is complete and belongs to the request.
func checkAnswer(req ibiswork.Request, a ibiswork.Answer) error {
	if a.ID != req.ID {
		return Error.New("the answer of request %s was returned for request %s", a.ID, req.ID)
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
		return Error.New("the result of a gang is not a JSON array of %d task results", req.TaskCount())
	}
	for i, raw := range results {
		res, err := ibisstandin.CheckResult(raw, req.ID, req.Payload)
		if err != nil {
			return err
		}
		if res.Index != i {
			return Error.New("result %d of a gang belongs to task %d", i, res.Index)
		}
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
