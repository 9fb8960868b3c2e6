package ibisnode

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"ibiscrank/ibiscell"
)

// TestReportsAreReducedToWhatChanged sends random reports of a server over a link: the leader must see each as it was,
// and an unchanged report must not grow with what the server runs.
func TestReportsAreReducedToWhatChanged(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var sent, received []runningRecord
	running := map[string]string{} // checkpoint by task
	for round := range 500 {
		for range rng.IntN(3) {
			running[fmt.Sprint("task", rng.IntN(30))] = fmt.Sprint(rng.IntN(3))
		}
		for range rng.IntN(3) {
			delete(running, fmt.Sprint("task", rng.IntN(30)))
		}
		var r ibiscell.Report
		for task, checkpoint := range running {
			r.Running = append(r.Running, ibiscell.ActiveRun{Name: ibiscell.RunName{Task: task, Run: 1}, Checkpoint: checkpoint})
		}
		rec := newReportRecord(3, &r)
		sent = rec.reduce(sent)
		b, err := cbor.Marshal(rec)
		assert.NilError(t, err)
		var got reportRecord
		assert.NilError(t, cbor.Unmarshal(b, &got))
		received = got.expand(received)
		assert.DeepEqual(t, len(received), len(running))
		for _, run := range received {
			assert.Equal(t, run.Checkpoint, running[run.Task], "round %d", round)
		}
		assert.Assert(t, slices.Equal(sent, received))

		unchanged := newReportRecord(3, &r)
		sent = unchanged.reduce(sent)
		assert.Equal(t, len(unchanged.Running)+len(unchanged.Dropped), 0)
	}
}

// FuzzFrame decodes arbitrary frames and applies their reports: a frame of another daemon must not make this one panic.
func FuzzFrame(f *testing.F) {
	seed, err := cbor.Marshal(frame{Results: []orderResult{{N: 1, Report: &reportRecord{Target: 2, Running: []runningRecord{{Task: "a", Run: 1}}, Dropped: []int{0}}}}})
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, b []byte) {
		var m frame
		if cbor.Unmarshal(b, &m) != nil {
			return
		}
		for _, r := range m.Results {
			if r.Report != nil {
				r.Report.expand([]runningRecord{{Task: "b"}})
			}
		}
		for _, o := range m.Orders {
			_ = o.count()
		}
		m.merge(&frame{})
	})
}
