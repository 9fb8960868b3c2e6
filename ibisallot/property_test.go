package ibisallot

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

// task is one running task. If its owner is dead, inheritor is the live daemon that will count it.
type task struct {
	owner, inheritor string
	size             ibiswork.Resources
}

// lostTask is a task whose backend server another daemon has claimed, which the previous owner doesn't know yet.
type lostTask struct {
	owner string
	size  ibiswork.Resources
}

// simulation runs several daemons against one table and tracks all running tasks.
type simulation struct {
	*fleet
	t     *rapid.T
	limit ibiswork.Resources
	// recentLimits holds the limits of the last two successful rounds of each daemon. One isn't enough: after a
	// daemon has decided on the rows, another one may still add to them under the earlier limit.
	recentLimits map[string][2]ibiswork.Resources
	tasks        []*task
	lostTasks    []lostTask
	cleanup      []func() error // remaining steps of the current clean-up
}

func drawSize(t *rapid.T) ibiswork.Resources {
	return ibiswork.Resources{
		MilliCPU: rapid.Int64Range(0, 3).Draw(t, "cpu"),
		Slots:    rapid.Int64Range(1, 2).Draw(t, "slots"),
	}
}

func (s *simulation) total() (sum ibiswork.Resources) {
	for _, tk := range s.tasks {
		sum = sum.Add(tk.size)
	}
	return sum
}

// limitInForce returns the highest limit under which a live daemon may still admit tasks.
func (s *simulation) limitInForce() (limit ibiswork.Resources) {
	for _, id := range s.ids {
		limit = limit.Max(s.recentLimits[id][0]).Max(s.recentLimits[id][1])
	}
	return limit
}

func (s *simulation) startTask(id string, r ibiswork.Resources) {
	if !s.ledgers[id].TryUse("team", r) {
		s.ledgers[id].RecordDemand("team", r)
		return
	}
	s.tasks = append(s.tasks, &task{owner: id, size: r})
	sum, limit, ask := toArray(s.total()), toArray(s.limitInForce()), toArray(r)
	for i := range ask {
		if ask[i] > 0 && sum[i] > limit[i] {
			s.t.Fatalf("tasks use %v with a limit of %v after a start at %s", sum, limit, id)
		}
	}
}

func (s *simulation) finishTask(i int) {
	if tk := s.tasks[i]; tk.inheritor == "" {
		s.ledgers[tk.owner].Free("team", tk.size)
	}
	s.tasks = slices.Delete(s.tasks, i, i+1)
}

// takeOver lets daemon id claim the backend server of a task. It counts the task at once; the previous owner
// is told later.
func (s *simulation) takeOver(id string, tk *task) {
	if tk.inheritor != "" || tk.owner == id {
		return
	}
	s.ledgers[id].Use("team", tk.size)
	s.lostTasks = append(s.lostTasks, lostTask{tk.owner, tk.size})
	tk.owner = id
}

func (s *simulation) syncOne(id string) {
	s.now = s.now.Add(round)
	err := s.ledgers[id].Sync(ctx, limits(s.limit), s.ids)
	switch {
	case err == nil:
		s.recentLimits[id] = [2]ibiswork.Resources{s.limit, s.recentLimits[id][0]}
	case Fenced.Has(err), Error.Has(err):
		s.t.Fatalf("%v", err)
	default: // it has stored the limit and may have written some rows
		s.recentLimits[id] = [2]ibiswork.Resources{s.limit.Max(s.recentLimits[id][0]), s.recentLimits[id][1]}
	}
}

// kill revokes a daemon and chooses an inheritor for each of its tasks, also those that it had not counted yet.
func (s *simulation) kill(id string) {
	s.table.ClearFaults()
	if err := ibisincarnation.Revoke(ctx, s.table, id, "test"); err != nil {
		s.t.Fatalf("%v", err)
	}
	s.ids = slices.DeleteFunc(s.ids, func(o string) bool { return o == id })
	for _, o := range s.ids { // grants to the dead daemon under its limits still count
		s.recentLimits[o] = [2]ibiswork.Resources{s.recentLimits[o][0].Max(s.recentLimits[id][0]).Max(s.recentLimits[id][1]), s.recentLimits[o][1]}
	}
	for _, tk := range s.tasks {
		if tk.owner == id || tk.inheritor == id {
			tk.inheritor = rapid.SampledFrom(s.ids).Draw(s.t, "inheritor")
		}
	}
	s.lostTasks = slices.DeleteFunc(s.lostTasks, func(l lostTask) bool { return l.owner == id })
	s.cleanup = nil
}

// countInherited lets a daemon count the tasks that it inherits from dead ones.
func (s *simulation) countInherited(id string) {
	for _, tk := range s.tasks {
		if tk.inheritor == id {
			s.ledgers[id].Use("team", tk.size)
			tk.owner, tk.inheritor = id, ""
		}
	}
}

// cleanUp runs the next step of freeing what no live daemon holds, in the order that Holders describes.
func (s *simulation) cleanUp() {
	if len(s.cleanup) > 0 {
		if s.cleanup[0]() == nil {
			s.cleanup = s.cleanup[1:]
		}
		return
	}
	holders, err := Holders(ctx, s.table)
	if err != nil || slices.ContainsFunc(s.tasks, func(tk *task) bool { return tk.inheritor != "" }) {
		return
	}
	for _, h := range holders {
		if slices.Contains(s.ids, h) {
			continue
		}
		for _, id := range s.ids {
			s.cleanup = append(s.cleanup, func() error { return s.ledgers[id].MoveFrom(ctx, h) })
		}
		s.cleanup = append(s.cleanup, func() error { return DropAll(ctx, s.table, s.ledgers[s.ids[0]].fence, h) })
	}
}

func (s *simulation) step() {
	t := s.t
	id := rapid.SampledFrom(s.ids).Draw(t, "daemon")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
	case 0, 1, 2:
		s.startTask(id, drawSize(t))
	case 3, 4:
		if len(s.tasks) > 0 {
			s.finishTask(rapid.IntRange(0, len(s.tasks)-1).Draw(t, "task"))
		}
	case 5, 6, 7:
		s.syncOne(id)
	case 8:
		s.table.Inject(rapid.SampledFrom([]ibistablefake.Fault{
			ibistablefake.Refused, ibistablefake.LostRequest, ibistablefake.LostReply, ibistablefake.Late, ibistablefake.Contended,
		}).Draw(t, "fault"))
	case 9:
		s.table.ApplyLate()
	case 10:
		if len(s.ids) > 1 && rapid.Bool().Draw(t, "kill") {
			s.kill(id)
		} else {
			s.limit = ibiswork.Resources{MilliCPU: rapid.Int64Range(0, 20).Draw(t, "limit"), Slots: rapid.Int64Range(0, 20).Draw(t, "limit")}
		}
	case 11:
		s.countInherited(id)
	case 12, 13:
		s.cleanUp()
	case 14:
		if len(s.tasks) > 0 {
			s.takeOver(id, rapid.SampledFrom(s.tasks).Draw(t, "taken"))
		}
	case 15:
		if len(s.lostTasks) > 0 {
			lost := s.lostTasks[0]
			s.lostTasks = s.lostTasks[1:]
			s.ledgers[lost.owner].ReleaseClaimed("team", lost.size)
		}
	}
}

// TestLimitHoldsThroughAnyInterleaving starts and ends tasks at several daemons with lost replies, late
// writes, revoked daemons, claims of backend servers and changes of the limit. No start may bring the sum
// above the limit.
func TestLimitHoldsThroughAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			fleet: newFleet(rapid.IntRange(2, 5).Draw(t, "daemons")), t: t,
			limit:        ibiswork.Resources{MilliCPU: 20, Slots: rapid.Int64Range(1, 12).Draw(t, "limit")},
			recentLimits: make(map[string][2]ibiswork.Resources),
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			s.step()
		}
	})
}

func TestRowNeverExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := slots(rapid.Int64Range(0, 50).Draw(t, "limit"))
		r := Row{Team: "team"}
		name := func(s string) string { return fmt.Sprint(rapid.IntRange(0, 3).Draw(t, s)) }
		for range 50 {
			before, amount := r, slots(rapid.Int64Range(-5, 30).Draw(t, "amount"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				inc := name("inc")
				var granted ibiswork.Resources
				r, granted = r.Grow(inc, amount, limit)
				if r.Held[inc] != before.Held[inc].Add(granted) || granted.Check() != nil {
					t.Fatalf("granted %v of %v: %v, %v", granted, amount, before, r)
				}
			case 1:
				r = r.Shrink(name("inc"), amount)
			case 2:
				r = r.Move(name("from"), name("to"), amount)
				if r.Sum() != before.Sum() {
					t.Fatalf("Move changed the sum: before %v, after %v", before, r)
				}
			case 3:
				r = r.Drop(name("inc"))
			}
			if !r.Sum().FitsIn(limit) || r.Check() != nil {
				t.Fatalf("row %v exceeds the limit %v or is invalid", r, limit)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	w, err := Row{Team: "team", Held: map[string]ibiswork.Resources{"i-1": slots(3)}, Whole: map[string]bool{"i-1": true}}.toWrite()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(w.Value)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decode(ibistable.Row{Key: Key("team"), Value: b})
		if err == nil && (r.Check() != nil || r.Team != "team") {
			t.Fatalf("%+v", r)
		}
	})
}
