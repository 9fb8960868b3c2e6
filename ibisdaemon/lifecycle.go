package ibisdaemon

import (
	"sync"
	"time"

	"github.com/apex/log"

	"ibiscrank/ibischart"
	"ibiscrank/ibiswork"
)

// States of the incarnation chart that the code names.
const (
	serving  = "Serving"
	cutOff   = "CutOff"
	draining = "Draining"
)

// lifecycle is the state of this incarnation.
type lifecycle struct {
	mu      sync.Mutex
	machine ibischart.Machine
}

func newLifecycle() *lifecycle { return &lifecycle{machine: ibischart.New(ibischart.Incarnation)} }

// fire applies an event of the chart and logs the change.
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

// State is the present state of the chart.
func (l *lifecycle) State() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.State()
}

// admission decides whether this daemon takes callers' requests now.
type admission struct {
	life       *lifecycle
	hasContact func(time.Time) bool
}

const comeBack = 1 * time.Second

// Accept returns a refusal while the daemon is joining or draining, and for keyed work without contact.
func (a admission) Accept(keyed bool) error {
	switch state := a.life.State(); {
	case state == draining:
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is leaving").WithRetryAfter(comeBack)
	case state != serving && state != cutOff:
		return ibiswork.Refuse(ibiswork.CodeRecovering, "this daemon is %s", state).WithRetryAfter(comeBack)
	}
	if keyed && !a.hasContact(time.Now()) {
		return ibiswork.Refuse(ibiswork.CodeCutOff, "this daemon has heard neither from the store nor from half of the daemons").WithRetryAfter(comeBack)
	}
	return nil
}
