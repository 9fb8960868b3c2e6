package ibisdaemon

import (
	"sync"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibischart"
	"ibiscrank/ibiswork"
)

// States of the incarnation chart that this package refers to.
const (
	serving  = "Serving"
	cutOff   = "CutOff"
	draining = "Draining"
)

// lifecycle is the state machine of this incarnation. It is safe for concurrent use.
type lifecycle struct {
	mu      sync.Mutex
	machine ibischart.Machine
}

func newLifecycle() *lifecycle { return &lifecycle{machine: ibischart.New(ibischart.Incarnation)} }

// fire applies an event to the chart and logs a change of state.
func (l *lifecycle) fire(event string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.machine.State()
	if err := l.machine.Fire(event); err != nil {
		log.WithField("error", err).Error("IncarnationEventNotAllowed")
		return
	}
	if state := l.machine.State(); state != old {
		log.WithFields(log.Fields{"from": old, "to": state}).Info("IncarnationState")
	}
}

// State returns the current state of the chart.
func (l *lifecycle) State() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// admission decides whether this daemon accepts requests of callers at present.
type admission struct {
	lifecycle  *lifecycle
	hasContact func(time.Time) bool
}

const retryAfter = 1 * time.Second // told to refused callers

// Accept returns a refusal unless the daemon is serving or cut off, with one of its own for a daemon that is
// draining. It refuses keyed requests also while the daemon has no contact, because a withdrawal of the key
// may not have reached it.
func (a admission) Accept(keyed bool) error {
	switch state := a.lifecycle.State(); {
	case state == draining:
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is draining").WithRetryAfter(retryAfter)
	case state != serving && state != cutOff:
		return ibiswork.Refuse(ibiswork.CodeRecovering, "this daemon does not accept requests in state %s", state).WithRetryAfter(retryAfter)
	}
	if keyed && !a.hasContact(time.Now()) {
		return ibiswork.Refuse(ibiswork.CodeCutOff, "this daemon has had no recent contact with the store or with half of the daemons").WithRetryAfter(retryAfter)
	}
	return nil
}
