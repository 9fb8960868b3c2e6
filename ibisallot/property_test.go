package ibisallot

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

// task is one running task: at an owner, or at a dead one until the heir has counted it.
type task struct {
	owner, heir string
	size        ibiswork.Resources
}

// world runs several daemons against one table, and knows all running tasks.
type world struct {
	*fleet
	t     *rapid.T
	limit ibiswork.Resources
	// seen holds the limits of the last two successful rounds of each daemon: two, because a daemon may
	// have decided on rows to which another one with the earlier limit added afterwards.
	seen  map[string][2]ibiswork.Resources
	tasks []*task
	dead  map[string][]string // to the survivors that have not counted
}

func drawSize(t *rapid.T) ibiswork.Resources {
	return ibiswork.Resources{
		MilliCPU: rapid.Int64Range(0, 3).Draw(t, "cpu"),
		Slots:    rapid.Int64Range(1, 2).Draw(t, "slots"),
	}
}

func (w *world) total() (sum ibiswork.Resources) {
	for _, k := range w.tasks {
		sum = sum.Add(k.size)
	}
	return sum
}

// inForce is the highest limit on which a live daemon may still admit.
func (w *world) inForce() (limit ibiswork.Resources) {
	for _, id := range w.ids {
		limit = limit.Max(w.seen[id][0]).Max(w.seen[id][1])
	}
	return limit
}

func (w *world) start(id string, r ibiswork.Resources) {
	if !w.ledgers[id].TryUse("team", r) {
		w.ledgers[id].Want("team", r)
		return
	}
	w.tasks = append(w.tasks, &task{owner: id, size: r})
	sum, limit, ask := amounts(w.total()), amounts(w.inForce()), amounts(r)
	for i := range ask {
		if ask[i] > 0 && sum[i] > limit[i] {
			w.t.Fatalf("%v run with a limit of %v after a start at %s", sum, limit, id)
		}
	}
}

func (w *world) end(i int) {
	k := w.tasks[i]
	if k.heir == "" {
		w.ledgers[k.owner].Free("team", k.size)
	}
	w.tasks = slices.Delete(w.tasks, i, i+1)
}

func (w *world) round(id string) {
	w.now = w.now.Add(round)
	err := w.ledgers[id].Sync(ctx, limits(w.limit), w.ids)
	switch {
	case err == nil:
		w.seen[id] = [2]ibiswork.Resources{w.limit, w.seen[id][0]}
	case Fenced.Has(err), Error.Has(err):
		w.t.Fatalf("%v", err)
	default: // it has taken in the limit, and may have acted on it in part
		w.seen[id] = [2]ibiswork.Resources{w.limit.Max(w.seen[id][0]), w.seen[id][1]}
	}
}

// kill revokes a daemon and names an heir for each of its tasks, also those that it had not counted yet.
func (w *world) kill(id string) {
	w.table.Heal()
	if err := ibisincarnation.Revoke(ctx, w.table, id, "test"); err != nil {
		w.t.Fatalf("%v", err)
	}
	w.ids = slices.DeleteFunc(w.ids, func(o string) bool { return o == id })
	for _, o := range w.ids { // what the dead daemon was granted under its limits still counts
		w.seen[o] = [2]ibiswork.Resources{w.seen[o][0].Max(w.seen[id][0]).Max(w.seen[id][1]), w.seen[o][1]}
	}
	w.dead[id] = nil
	for d := range w.dead {
		w.dead[d] = slices.Clone(w.ids)
	}
	for _, k := range w.tasks {
		if k.owner == id || k.heir == id {
			k.heir = rapid.SampledFrom(w.ids).Draw(w.t, "heir")
		}
	}
}

// count lets one survivor count what it inherits from a dead daemon, and frees the rest after the last.
func (w *world) count(dead, id string) {
	l := w.ledgers[id]
	for _, k := range w.tasks {
		if k.owner == dead && k.heir == id {
			l.Use("team", k.size)
			k.owner, k.heir = id, ""
		}
	}
	if l.MoveFrom(ctx, dead, true) != nil {
		return
	}
	w.dead[dead] = slices.DeleteFunc(w.dead[dead], func(o string) bool { return o == id })
	if len(w.dead[dead]) == 0 {
		if err := DropDead(ctx, w.table, l.fence, "team", dead); err != nil {
			w.dead[dead] = []string{id}
		}
	}
}

func (w *world) step() {
	t := w.t
	id := rapid.SampledFrom(w.ids).Draw(t, "daemon")
	switch rapid.IntRange(0, 11).Draw(t, "step") {
	case 0, 1, 2:
		w.start(id, drawSize(t))
	case 3, 4:
		if len(w.tasks) > 0 {
			w.end(rapid.IntRange(0, len(w.tasks)-1).Draw(t, "task"))
		}
	case 5, 6, 7:
		w.round(id)
	case 8:
		w.table.Inject(rapid.SampledFrom([]ibistablefake.Fault{
			ibistablefake.Refused, ibistablefake.LostRequest, ibistablefake.LostReply, ibistablefake.Late, ibistablefake.Contended,
		}).Draw(t, "fault"))
	case 9:
		w.table.ApplyLate()
	case 10:
		if len(w.ids) > 1 && rapid.IntRange(0, 3).Draw(t, "kill") == 0 {
			w.kill(id)
		} else {
			w.limit = ibiswork.Resources{MilliCPU: rapid.Int64Range(0, 20).Draw(t, "limit"), Slots: rapid.Int64Range(0, 20).Draw(t, "limit")}
		}
	case 11:
		for dead, left := range w.dead {
			if slices.Contains(left, id) {
				w.count(dead, id)
			}
		}
	}
}

// TestLimitHoldsThroughAnyInterleaving starts and ends tasks at several daemons under lost replies, late
// writes, deaths, takeovers and changes of the limit; no start ever brings the sum above the limit.
func TestLimitHoldsThroughAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			fleet: newFleet(rapid.IntRange(2, 5).Draw(t, "daemons")), t: t,
			limit: ibiswork.Resources{MilliCPU: 20, Slots: 12},
			seen:  make(map[string][2]ibiswork.Resources), dead: make(map[string][]string),
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			w.step()
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
					t.Fatalf("moving changed the sum: %v, %v", before, r)
				}
			case 3:
				r = r.Drop(name("inc"))
			}
			if !r.Sum().FitsIn(limit) || r.Check() != nil {
				t.Fatalf("%v above %v", r, limit)
			}
		}
	})
}
