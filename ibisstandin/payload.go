package ibisstandin

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

const (
	defaultRunMS = 10
	failAllRunMS = 5

	// forever is the run time of a service that runs until it is stopped.
	forever = 0
)

// Payload is what a task's payload says when it is a JSON object; any other payload is only echoed.
type Payload struct {
	RunMS        *int64 `json:"RunMS,omitempty"`       // otherwise the declared run time, or 10 ms
	ResultBytes  int    `json:"ResultBytes,omitempty"` // of Filler in the result
	UseMilliCPU  int64  `json:"UseMilliCPU,omitempty"` // otherwise the declared amount
	UseMemoryMB  int64  `json:"UseMemoryMB,omitempty"`
	Fail         bool   `json:"Fail,omitempty"`
	FailAttempts int    `json:"FailAttempts,omitempty"` // the attempts that fail before one succeeds
}

// Result is the result of every task that is done. It echoes the task, so that a caller can check that it
// got the whole answer to its own request.
type Result struct {
	Request    ibiswork.ID `json:"Request"`
	Index      int         `json:"Index"`
	Attempt    int         `json:"Attempt"`
	Server     string      `json:"Server"`
	PayloadSum string      `json:"PayloadSum"` // XXH64 of the payload in hexadecimal
	Filler     string      `json:"Filler,omitempty"`
	FillerSum  string      `json:"FillerSum,omitempty"`
}

// CheckResult reports a result that is not the whole answer to the request with this ID and payload.
func CheckResult(result []byte, id ibiswork.ID, payload []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(result, &r); err != nil {
		return r, Error.Wrap(err)
	}
	switch {
	case r.Request != id:
		return r, Error.New("result of request %s in the answer to %s", r.Request, id)
	case r.PayloadSum != sum(payload):
		return r, Error.New("result of another payload in the answer to %s", id)
	case r.Filler != "" && r.FillerSum != sum([]byte(r.Filler)):
		return r, Error.New("damaged filler in the answer to %s", id)
	case len(r.Filler) != parsePayload(payload).ResultBytes:
		return r, Error.New("filler of %d bytes in the answer to %s", len(r.Filler), id)
	}
	return r, nil
}

func sum(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

func parsePayload(b []byte) Payload { return parseProgress(b).Payload }

// parseProgress reads the payload of a request, or the checkpoint that stands in its place after the
// first attempt.
func parseProgress(b []byte) Progress {
	var p Progress
	if json.Unmarshal(b, &p) != nil {
		p = Progress{}
	}
	p.ResultBytes = min(max(p.ResultBytes, 0), ibiswork.MaxPayloadBytes)
	if p.PayloadSum == "" {
		p.PayloadSum = sum(b)
	}
	return p
}

// plan is what a server will make of a task.
type plan struct {
	runMS  int64 // forever until it is stopped
	fail   bool
	result func() []byte
	usage  ibiswork.Resources
	from   Progress // what the attempt began with
}

// progress is the checkpoint of an attempt that has run for ranMS.
func (p plan) progress(now, ranMS int64) Progress {
	saved := p.from
	saved.Clock, saved.RanMS = now, p.from.RanMS+ranMS
	if p.runMS != forever {
		left := max(p.runMS-ranMS, 1)
		saved.RunMS = &left
	}
	return saved
}

func newPlan(t ibisserver.Task, server string) plan {
	p := parseProgress(t.Payload)
	usage := t.Resources
	if p.UseMilliCPU > 0 {
		usage.MilliCPU = p.UseMilliCPU
	}
	if p.UseMemoryMB > 0 {
		usage.MemoryMB = p.UseMemoryMB
	}
	return plan{
		from:   p,
		runMS:  runMS(p.Payload, t),
		fail:   p.Fail || t.ID.Attempt <= p.FailAttempts,
		usage:  usage,
		result: func() []byte { return newResult(t.ID, server, p.PayloadSum, p.ResultBytes) },
	}
}

func runMS(p Payload, t ibisserver.Task) int64 {
	switch {
	case p.RunMS != nil && (*p.RunMS > 0 || t.Class == ibiswork.Service):
		return max(*p.RunMS, forever)
	case t.RunTimeMS > 0:
		return t.RunTimeMS
	case t.Class == ibiswork.Service:
		return forever
	}
	return defaultRunMS
}

func newResult(id ibisserver.TaskID, server, payloadSum string, fillerBytes int) []byte {
	r := Result{Request: id.Request, Index: id.Index, Attempt: id.Attempt, Server: server, PayloadSum: payloadSum}
	if fillerBytes > 0 {
		unit := string(id.Request) + " "
		r.Filler = strings.Repeat(unit, fillerBytes/len(unit)+1)[:fillerBytes]
		r.FillerSum = sum([]byte(r.Filler))
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil // a Result is always encodable
	}
	return b
}
