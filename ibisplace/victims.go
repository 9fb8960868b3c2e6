package ibisplace

import (
	"cmp"
	"slices"
	"time"

	"ibiscrank/ibiswork"
)

// PreemptibleTask is a task that may be preempted.
type PreemptibleTask struct {
	Server          string
	Resources       ibiswork.Resources
	SinceCheckpoint time.Duration // run time since its last checkpoint, which is lost when it is preempted
}

// Victims chooses the tasks to preempt so that one task of a fits on a server. It picks the server where
// the least work is lost, measured in run time weighted by the dominant share of the server that the task
// uses, and preempts no more tasks than needed. The victims are indexes into running, which must hold only
// tasks that may be preempted. The cost grows with len(running); for very long lists the caller can pass a
// sample.
func (f *Fleet) Victims(a Request, running []PreemptibleTask) (server string, victims []int, ok bool) {
	minCost := 0.0
	for n, tasks := range f.preemptibleByServer(a, running) {
		v, totalCost, fits := n.victims(a.Resources, running, tasks)
		if !fits || (ok && (totalCost > minCost || totalCost == minCost && n.Name > server)) {
			continue
		}
		server, victims, ok, minCost = n.Name, v, true, totalCost
	}
	return server, victims, ok
}

// preemptible is a task on one server with the cost of preempting it.
type preemptible struct {
	index int     // in the running tasks
	cost  float64 // lost run time in seconds times the dominant share of the server
}

// preemptibleByServer groups the running tasks by server, leaving out servers that are unknown, closed or
// to be avoided.
func (f *Fleet) preemptibleByServer(a Request, running []PreemptibleTask) map[*node][]preemptible {
	m := make(map[*node][]preemptible)
	for i, r := range running {
		if n, ok := f.servers[r.Server]; ok && !n.Closed && !a.Avoid[n.Name] {
			m[n] = append(m[n], preemptible{i, r.SinceCheckpoint.Seconds() * max(r.Resources.Dominant(n.Capacity), 0)})
		}
	}
	return m
}

// victims chooses the tasks to preempt on n, in ascending order of cost. It keeps every task whose
// resources are not needed.
func (n *node) victims(need ibiswork.Resources, running []PreemptibleTask, tasks []preemptible) (v []int, totalCost float64, fits bool) {
	free := n.free
	for _, t := range tasks {
		free = free.Add(running[t.index].Resources)
	}
	if !need.FitsIn(free) {
		return nil, 0, false
	}
	// Start with all tasks preempted and keep the most expensive ones as long as need still fits.
	slices.SortFunc(tasks, func(x, y preemptible) int {
		return cmp.Or(cmp.Compare(y.cost, x.cost), cmp.Compare(y.index, x.index))
	})
	for _, t := range tasks {
		if kept := free.Sub(running[t.index].Resources); need.FitsIn(kept) {
			free = kept
			continue
		}
		v = append(v, t.index)
		totalCost += t.cost
	}
	slices.Reverse(v)
	return v, totalCost, true
}
