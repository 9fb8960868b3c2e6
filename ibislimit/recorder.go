package ibislimit

import (
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

// logInterval is the time between two log lines with the same reason.
const logInterval = 10 * time.Second

// Recorder counts refused clients by reason, in the counters ClientsRefused followed by the reason. It logs a line for the
// first one and then at most every logInterval, with the number since the line before.
type Recorder struct {
	log      log.Interface
	registry metrics.Registry

	mu       sync.Mutex
	byReason map[string]*refusals
}

type refusals struct {
	count   int // since the last line
	nextLog time.Time
}

// NewRecorder returns a recorder that logs to l and counts in r.
func NewRecorder(l log.Interface, r metrics.Registry) *Recorder {
	return &Recorder{log: l, registry: r, byReason: make(map[string]*refusals)}
}

// Record records that a client at an address was refused. There must be only a few reasons.
func (r *Recorder) Record(reason, client string) {
	if r == nil {
		return
	}
	metrics.GetOrRegisterCounter("ClientsRefused"+reason, r.registry).Inc(1)
	if n := r.due(reason, time.Now()); n > 0 {
		r.log.WithFields(log.Fields{"Why": reason, "Count": n, "Last": client}).Warn("ClientsRefused")
	}
}

// due counts one more refusal, and returns the number to log; 0: none yet.
func (r *Recorder) due(reason string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.byReason[reason]
	if s == nil {
		s = &refusals{}
		r.byReason[reason] = s
	}
	s.count++
	if now.Before(s.nextLog) {
		return 0
	}
	n := s.count
	s.count, s.nextLog = 0, now.Add(logInterval)
	return n
}
