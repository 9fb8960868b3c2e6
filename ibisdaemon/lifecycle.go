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

// stateMachine holds the state of this incarnation by the incarnation chart. It is safe for concurrent use.
type stateMachine struct {
	mu      sync.Mutex
	machine ibischart.Machine
}

func newStateMachine() *stateMachine {
	return &stateMachine{machine: ibischart.New(ibischart.Incarnation)}
}

// fire applies an event to the chart and logs a change of state.
func (m *stateMachine) fire(event string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.machine.State()
	if err := m.machine.Fire(event); err != nil {
		log.WithField("error", err).Error("IncarnationEventNotAllowed")
		return
	}
	if state := m.machine.State(); state != old {
		log.WithFields(log.Fields{"from": old, "to": state}).Info("IncarnationState")
	}
}

// State returns the current state of the chart.
func (m *stateMachine) State() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.State()
}

// admission decides whether this daemon accepts requests of callers at present.
type admission struct {
	lifecycle  *stateMachine
	hasContact func(time.Time) bool
}

const retryAfter = 1 * time.Second // sent with refusals

// Accept returns a refusal unless the daemon is serving or cut off. It also refuses keyed requests while the
// daemon has no contact, because a withdrawal of the key may not have reached it.
func (a admission) Accept(keyed bool) error {
	switch state := a.lifecycle.State(); {
	case state == draining:
		return ibiswork.Refuse(ibiswork.CodeDraining, "this daemon is draining").WithRetryAfter(retryAfter)
	case state != serving && state != cutOff:
		return ibiswork.Refuse(ibiswork.CodeRecovering, "this daemon does not accept requests in state %s", state).WithRetryAfter(retryAfter)
	}
	if keyed && !a.hasContact(time.Now()) {
		return ibiswork.Refuse(ibiswork.CodeCutOff, "this daemon has recent contact with neither the table service nor half of the daemons").WithRetryAfter(retryAfter)
	}
	return nil
}
