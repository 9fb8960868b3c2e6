package ibischart

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func TestChartsAreWhole(t *testing.T) {
	for _, c := range All {
		t.Run(c.Name, func(t *testing.T) {
			reached := map[string]bool{c.Initial: true}
			for changed := true; changed; {
				changed = false
				for _, tr := range c.Transitions {
					if reached[tr.From] && !reached[tr.To] {
						reached[tr.To] = true
						changed = true
					}
				}
			}
			leaves := map[string]bool{}
			for _, tr := range c.Transitions {
				leaves[tr.From] = true
			}
			for _, s := range c.States() {
				assert.Check(t, reached[s], "state %s is unreachable", s)
				assert.Check(t, leaves[s] != c.IsFinal(s), "state %s: final %v, left by an event %v", s, c.IsFinal(s), leaves[s])
			}
			known := map[string]bool{}
			for _, e := range c.Events() {
				known[e] = true
			}
			for e, states := range c.Ignored {
				assert.Check(t, known[e], "ignored event %s has no transition", e)
				for _, s := range states {
					assert.Check(t, reached[s], "ignored event %s names unknown state %s", e, s)
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

func TestUnmarshalRefusesAmbiguity(t *testing.T) {
	var c Chart
	err := json.Unmarshal([]byte(`{"Initial":"A","Transitions":[{"From":"A","Event":"E","To":"B"},{"From":"A","Event":"E","To":"A"}]}`), &c)
	assert.ErrorContains(t, err, "two transitions")
}
