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
	defaultRunMS = 10 // if neither the payload nor the task declares a run time
	failAllRunMS = 5  // until a task fails under ServerFaults.FailAll

	// unlimitedRunMS marks a service that runs until it is stopped.
	unlimitedRunMS = 0
)

// Payload is the JSON payload that controls how a simulated task runs. A payload that is not a JSON object yields the
// defaults and affects only the checksum in the result.
type Payload struct {
	RunMS        *int64 `json:"RunMS,omitempty"`        // default: the declared run time, or 10 ms; 0: a service never ends
	ResultBytes  int    `json:"ResultBytes,omitempty"`  // length of Filler in the result
	UseMilliCPU  int64  `json:"UseMilliCPU,omitempty"`  // CPU usage to report; by default the declared amount
	UseMemoryMB  int64  `json:"UseMemoryMB,omitempty"`  // memory usage to report; by default the declared amount
	Fail         bool   `json:"Fail,omitempty"`         // every attempt fails
	FailAttempts int    `json:"FailAttempts,omitempty"` // number of attempts that fail before one succeeds
}

// Result is the result of a task that is done. It identifies the task and the payload, so that a caller can check
// with CheckResult that it received the complete result of its own request.
type Result struct {
	Request    ibiswork.ID `json:"Request"`
	Index      int         `json:"Index"`
	Attempt    int         `json:"Attempt"`
	Server     string      `json:"Server"`
	PayloadSum string      `json:"PayloadSum"`          // XXH64 of the payload in hexadecimal
	Filler     string      `json:"Filler,omitempty"`    // padding of Payload.ResultBytes
	FillerSum  string      `json:"FillerSum,omitempty"` // XXH64 of Filler in hexadecimal
}

// CheckResult decodes a result and checks that it is the complete result of the request with this ID and payload.
// It fails with Error otherwise.
func CheckResult(result []byte, id ibiswork.ID, payload []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(result, &r); err != nil {
		return r, Error.Wrap(err)
	}
	switch {
	case r.Request != id:
		return r, Error.New("result of request %s in the answer to %s", r.Request, id)
	case r.PayloadSum != checksum(payload):
		return r, Error.New("result of another payload in the answer to %s", id)
	case r.Filler != "" && r.FillerSum != checksum([]byte(r.Filler)):
		return r, Error.New("filler in the answer to %s has checksum %s instead of %s",
			id, checksum([]byte(r.Filler)), r.FillerSum)
	case len(r.Filler) != parsePayload(payload).ResultBytes:
		return r, Error.New("filler of %d bytes instead of %d in the answer to %s",
			len(r.Filler), parsePayload(payload).ResultBytes, id)
	}
	return r, nil
}

// checksum returns the XXH64 of b in hexadecimal.
func checksum(b []byte) string { return strconv.FormatUint(xxhash.Sum64(b), 16) }

func parsePayload(b []byte) Payload { return parseProgress(b).Payload }

// parseProgress decodes the payload of a request, or the checkpoint of an earlier attempt that replaces it. A payload
// that is not a JSON object yields the defaults.
func parseProgress(b []byte) Progress {
	var p Progress
	if json.Unmarshal(b, &p) != nil {
		p = Progress{}
	}
	p.ResultBytes = min(max(p.ResultBytes, 0), ibiswork.MaxPayloadBytes)
	if p.PayloadSum == "" {
		p.PayloadSum = checksum(b)
	}
	return p
}

// plan describes how a server runs one attempt of a task.
type plan struct {
	runMS   int64 // unlimitedRunMS if it runs until it is stopped
	fail    bool
	result  func() []byte
	usage   ibiswork.Resources
	initial Progress // the payload or checkpoint that the attempt started from
}

// progress returns the checkpoint of an attempt that has run for ranMS; now is the server's clock. Its RunMS is the
// remaining run time, so that the next attempt continues from there.
func (p plan) progress(now, ranMS int64) Progress {
	saved := p.initial
	saved.Clock, saved.RanMS = now, p.initial.RanMS+ranMS
	if p.runMS != unlimitedRunMS {
		remainingMS := max(p.runMS-ranMS, 1)
		saved.RunMS = &remainingMS
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
		initial: p,
		runMS:   taskRunMS(p.Payload, t),
		fail:    p.Fail || t.ID.Attempt <= p.FailAttempts,
		usage:   usage,
		result:  func() []byte { return newResult(t.ID, server, p.PayloadSum, p.ResultBytes) },
	}
}

// taskRunMS returns the run time of an attempt: the payload's, the task's declared one, or the default. Only a
// service can have unlimitedRunMS.
func taskRunMS(p Payload, t ibisserver.Task) int64 {
	switch {
	case p.RunMS != nil && (*p.RunMS > 0 || t.Class == ibiswork.Service):
		return max(*p.RunMS, unlimitedRunMS)
	case t.RunTimeMS > 0:
		return t.RunTimeMS
	case t.Class == ibiswork.Service:
		return unlimitedRunMS
	}
	return defaultRunMS
}

func newResult(id ibisserver.TaskID, server, payloadSum string, fillerBytes int) []byte {
	r := Result{Request: id.Request, Index: id.Index, Attempt: id.Attempt, Server: server, PayloadSum: payloadSum}
	if fillerBytes > 0 {
		unit := string(id.Request) + " "
		r.Filler = strings.Repeat(unit, fillerBytes/len(unit)+1)[:fillerBytes]
		r.FillerSum = checksum([]byte(r.Filler))
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil // a Result is always encodable
	}
	return b
}
