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

// task is one running task. Its heir is the live daemon that will count it: when its owner is dead.
type task struct {
	owner, heir string
	size        ibiswork.Resources
}

// loss is what an owner does not know yet: another one has taken the backend server of a task.
type loss struct {
	owner string
	size  ibiswork.Resources
}

// world runs several daemons against one table, and knows all running tasks.
type world struct {
	*fleet
	t     *rapid.T
	limit ibiswork.Resources
	// seen holds the limits of the last two successful rounds of each daemon: two, because a daemon may
	// have decided on rows to which another one with the earlier limit added afterwards.
	seen   map[string][2]ibiswork.Resources
	tasks  []*task
	losses []loss
	todo   []func() error // the rest of a clearing
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
		w.ledgers[id].RecordDemand("team", r)
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
	if k := w.tasks[i]; k.heir == "" {
		w.ledgers[k.owner].Free("team", k.size)
	}
	w.tasks = slices.Delete(w.tasks, i, i+1)
}

// takeOver lets another daemon claim the server of a task: it counts the task at once, and the owner
// learns of it later.
func (w *world) takeOver(id string, k *task) {
	if k.heir != "" || k.owner == id {
		return
	}
	w.ledgers[id].Use("team", k.size)
	w.losses = append(w.losses, loss{k.owner, k.size})
	k.owner = id
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
	for _, k := range w.tasks {
		if k.owner == id || k.heir == id {
			k.heir = rapid.SampledFrom(w.ids).Draw(w.t, "heir")
		}
	}
	w.losses = slices.DeleteFunc(w.losses, func(x loss) bool { return x.owner == id })
	w.todo = nil
}

// count lets a daemon count the tasks that it inherits from a dead one.
func (w *world) count(id string) {
	for _, k := range w.tasks {
		if k.heir == id {
			w.ledgers[id].Use("team", k.size)
			k.owner, k.heir = id, ""
		}
	}
}

// clear goes on with clearing away what no live daemon holds, in the order that Holders names.
func (w *world) clear() {
	if len(w.todo) > 0 {
		if w.todo[0]() == nil {
			w.todo = w.todo[1:]
		}
		return
	}
	holders, err := Holders(ctx, w.table)
	if err != nil || slices.ContainsFunc(w.tasks, func(k *task) bool { return k.heir != "" }) {
		return
	}
	for _, h := range holders {
		if slices.Contains(w.ids, h) {
			continue
		}
		for _, id := range w.ids {
			w.todo = append(w.todo, func() error { return w.ledgers[id].MoveFrom(ctx, h) })
		}
		w.todo = append(w.todo, func() error { return DropAll(ctx, w.table, w.ledgers[w.ids[0]].fence, h) })
	}
}

func (w *world) step() {
	t := w.t
	id := rapid.SampledFrom(w.ids).Draw(t, "daemon")
	switch rapid.IntRange(0, 15).Draw(t, "step") {
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
		if len(w.ids) > 1 && rapid.Bool().Draw(t, "kill") {
			w.kill(id)
		} else {
			w.limit = ibiswork.Resources{MilliCPU: rapid.Int64Range(0, 20).Draw(t, "limit"), Slots: rapid.Int64Range(0, 20).Draw(t, "limit")}
		}
	case 11:
		w.count(id)
	case 12, 13:
		w.clear()
	case 14:
		if len(w.tasks) > 0 {
			w.takeOver(id, rapid.SampledFrom(w.tasks).Draw(t, "taken"))
		}
	case 15:
		if len(w.losses) > 0 {
			x := w.losses[0]
			w.losses = w.losses[1:]
			w.ledgers[x.owner].Reassign("team", x.size)
		}
	}
}

// TestLimitHoldsThroughAnyInterleaving starts and ends tasks at several daemons under lost replies, late
// writes, deaths, takeovers and changes of the limit; no start ever brings the sum above the limit.
func TestLimitHoldsThroughAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			fleet: newFleet(rapid.IntRange(2, 5).Draw(t, "daemons")), t: t,
			limit: ibiswork.Resources{MilliCPU: 20, Slots: rapid.Int64Range(1, 12).Draw(t, "limit")},
			seen:  make(map[string][2]ibiswork.Resources),
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

func FuzzDecode(f *testing.F) {
	w, err := Row{Team: "team", Held: map[string]ibiswork.Resources{"i-1": slots(3)}, Whole: map[string]bool{"i-1": true}}.put()
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
