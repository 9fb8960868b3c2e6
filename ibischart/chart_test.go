package ibischart

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// In each chart every state is reachable, exactly the final states have no way out, and Ignored names only
// events and states of the chart.
func TestChartsAreWellFormed(t *testing.T) {
	for _, c := range All {
		t.Run(c.Name, func(t *testing.T) {
			reachable := map[string]bool{c.Initial: true}
			for changed := true; changed; {
				changed = false
				for _, tr := range c.Transitions {
					if reachable[tr.From] && !reachable[tr.To] {
						reachable[tr.To] = true
						changed = true
					}
				}
			}
			hasExit := map[string]bool{}
			for _, tr := range c.Transitions {
				hasExit[tr.From] = true
			}
			for _, s := range c.States() {
				assert.Check(t, reachable[s], "state %s is unreachable", s)
				assert.Check(t, hasExit[s] != c.IsFinal(s), "state %s: final %v, has outgoing transition %v", s, c.IsFinal(s), hasExit[s])
			}
			events := map[string]bool{}
			for _, e := range c.Events() {
				events[e] = true
			}
			for e, states := range c.Ignored {
				assert.Check(t, events[e], "ignored event %s has no transition", e)
				for _, s := range states {
					assert.Check(t, reachable[s], "ignored event %s names unknown state %s", e, s)
				}
			}
		})
	}
}

func TestFire(t *testing.T) {
	m := New(Incarnation)
	assert.NilError(t, m.Fire("Register"))
	assert.ErrorContains(t, m.Fire("Leave"), "not allowed in state Joining")
	assert.Equal(t, m.State(), "Joining")
	assert.NilError(t, m.Fire("Learn"))
	assert.NilError(t, m.Fire("Learn"))
	assert.Equal(t, m.State(), "Serving")
}

func TestUnmarshalRejectsAmbiguousTransitions(t *testing.T) {
	var c Chart
	err := json.Unmarshal([]byte(`{"Initial":"A","Transitions":[{"From":"A","Event":"E","To":"B"},{"From":"A","Event":"E","To":"A"}]}`), &c)
	assert.ErrorContains(t, err, "two transitions")
}
