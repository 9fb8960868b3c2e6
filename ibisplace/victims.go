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
// every one of them, so it is for the few decisions that need it.
func (f *Fleet) Victims(a Ask, running []Running) (server string, victims []int, ok bool) {
	least := 0.0
	for name, tasks := range byServer(running) {
		n, known := f.servers[name]
		if !known || n.Closed || a.Avoid[name] {
			continue
		}
		v, lost, fits := n.victims(a.Resources, running, tasks)
		if !fits || (ok && (lost > least || lost == least && name > server)) {
			continue
		}
		server, victims, ok, least = name, v, true, lost
	}
	return server, victims, ok
}

func byServer(running []Running) map[string][]int {
	m := make(map[string][]int)
	for i, r := range running {
		m[r.Server] = append(m[r.Server], i)
	}
	return m
}

// victims is the tasks to stop on n, the cheapest ones first, without those that turn out not to be needed.
func (n *node) victims(need ibiswork.Resources, running []Running, tasks []int) (v []int, lost float64, fits bool) {
	cost := func(i int) float64 {
		return running[i].Lost.Seconds() * max(running[i].Resources.Dominant(n.Capacity), 0)
	}
	slices.SortStableFunc(tasks, func(i, j int) int { return cmp.Compare(cost(i), cost(j)) })
	free := n.free
	for _, i := range tasks {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(running[i].Resources)
		v = append(v, i)
	}
	if !need.FitsIn(free) {
		return nil, 0, false
	}
	for k := len(v) - 1; k >= 0; k-- {
		if without := free.Sub(running[v[k]].Resources); need.FitsIn(without) {
			free = without
			v = slices.Delete(v, k, k+1)
		}
	}
	for _, i := range v {
		lost += cost(i)
	}
	return v, lost, true
}
