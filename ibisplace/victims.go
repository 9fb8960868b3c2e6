package ibisplace

import (
	"cmp"
	"slices"
	"time"

	"ibiscrank/ibiswork"
)

// Running is a task that may be stopped to make room.
type Running struct {
	Server    string
	Resources ibiswork.Resources
	Lost      time.Duration // run time since its last checkpoint, which stopping it loses
}

// Victims chooses the tasks to stop so that one task of a fits on a server: on the server on which the
// least work is lost, in run time weighed by the part of the server, and no more tasks than needed. It
// returns indexes into running, which the caller has filtered to tasks that may be stopped. It looks at
// every one of them: with very many, a sample is enough.
func (f *Fleet) Victims(a Ask, running []Running) (server string, victims []int, ok bool) {
	least := 0.0
	for n, tasks := range f.byServer(a, running) {
		v, lost, fits := n.victims(a.Resources, running, tasks)
		if !fits || (ok && (lost > least || lost == least && n.Name > server)) {
			continue
		}
		server, victims, ok, least = n.Name, v, true, lost
	}
	return server, victims, ok
}

// stoppable is a task on one server with what stopping it costs.
type stoppable struct {
	index int
	cost  float64
}

func (f *Fleet) byServer(a Ask, running []Running) map[*node][]stoppable {
	m := make(map[*node][]stoppable)
	for i, r := range running {
		if n, ok := f.servers[r.Server]; ok && !n.Closed && !a.Avoid[n.Name] {
			m[n] = append(m[n], stoppable{i, r.Lost.Seconds() * max(r.Resources.Dominant(n.Capacity), 0)})
		}
	}
	return m
}

// victims is the tasks to stop on n, the cheapest ones first, without those that turn out not to be needed.
func (n *node) victims(need ibiswork.Resources, running []Running, tasks []stoppable) (v []int, lost float64, fits bool) {
	free := n.free
	for _, t := range tasks {
		free = free.Add(running[t.index].Resources)
	}
	if !need.FitsIn(free) {
		return nil, 0, false
	}
	// The dearest tasks are kept first, as far as the rest makes room.
	slices.SortFunc(tasks, func(x, y stoppable) int {
		return cmp.Or(cmp.Compare(y.cost, x.cost), cmp.Compare(y.index, x.index))
	})
	for _, t := range tasks {
		if kept := free.Sub(running[t.index].Resources); need.FitsIn(kept) {
			free = kept
			continue
		}
		v = append(v, t.index)
		lost += t.cost
	}
	slices.Reverse(v)
	return v, lost, true
}
