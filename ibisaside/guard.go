// Package ibisaside sets aside backend servers that fail everything that is started on them.
//
// A server is set aside after a run of failures without a success that would be unlikely on a healthy
// server, given how often tasks fail on the best quarter of the servers. When more than half fail even
// there, the fault is in the tasks and no server is set aside. A server comes back on probation after a time that grows
// each time. Tasks that fail meanwhile need not use up their retries (see Blame).
//
// Bound on the tasks that a server which fails everything takes before it is set aside: those running
// there when its first failure is recorded, and MinRun-1 more while tasks on the best quarter of the
// servers succeed, MaxRun-1 more while at most half of them fail there. The caller calls Start for each task that it starts, and starts no more than
// Allowance says.
//
// Usage:
//
//	var g ibisaside.Guard
//	if g.Allowance(server, now) > 0 {
//		g.Start(server, now)
//		...
//	}
//	g.Record(server, ok, runMS, now)
package ibisaside

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Constants of the Guard.
const (
	// Unlimited is the allowance of a healthy server.
	Unlimited = math.MaxInt32
	// MinRun is the length of the run of failures that sets a server aside while the others succeed.
	MinRun = 3
	// MaxRun is the length of that run while half of the tasks fail on the best quarter of the servers.
	MaxRun = 20
	// MaxBlamed is how many failures of one task a caller should forgive because of Blame.
	MaxBlamed = 8

	firstAside    = 10 * time.Second
	maxAside      = 10 * time.Minute
	mostRate      = 0.5             // of failures on the best servers at which none is set aside
	probeTimeout  = 2 * time.Minute // after which a task on probation that has not ended no longer counts
	probationGoal = 3               // successes that end probation
	calmAfter     = 100             // successes that take back one step of the growing time
	chance        = 1e-6            // of setting aside a healthy server after a run of failures
	leastRate     = 0.01            // of failures that is assumed of any server
	rateWeight    = 0.1             // of the newest result in a server's rate of failures
	maxAsidePart  = 3               // at most one in so many servers is set aside by itself
)

// Guard holds what is known of each server. The zero value knows none; all servers are healthy.
type Guard struct {
	servers map[string]*server
	base    float64 // rate of failures on the best quarter of the servers
	sorted  []float64
	records int // since base was found
	aside   int // servers that are set aside or on probation
}

type server struct {
	rate      float64
	run       int // failures since the last success
	started   int // tasks started and not recorded since the server is suspect
	lastStart time.Time
	level     int // how often it was set aside, less what was taken back
	calm      int
	out       bool // set aside or on probation
	until     time.Time
	passed    int // successes on probation
	reason    string
}

// Record takes in the end of one task on a server, and how long it ran in milliseconds.
func (g *Guard) Record(name string, ok bool, runMS int64, now time.Time) {
	s := g.server(name)
	s.started = max(s.started-1, 0)
	g.learn(s, ok)
	if ok {
		g.succeeded(s, now)
		return
	}
	s.run++
	s.calm = 0
	switch {
	case s.out && !now.Before(s.until):
		g.setAside(s, now, "failed on probation")
	case !s.out && s.run >= g.limit() && g.mayLose():
		g.setAside(s, now, fmt.Sprintf("failed %d tasks in a row, the last after %d ms", s.run, runMS))
	}
}

func (g *Guard) learn(s *server, ok bool) {
	v := 1.0
	if ok {
		v = 0
	}
	s.rate += rateWeight * (v - s.rate)
	if g.records++; g.records > len(g.servers)/4 {
		g.records = 0
		g.findBase()
	}
}

// findBase finds the rate of failures that a quarter of the servers do not exceed.
func (g *Guard) findBase() {
	if len(g.servers) < 2 {
		g.base = mostRate
		return
	}
	g.sorted = g.sorted[:0]
	for _, s := range g.servers {
		g.sorted = append(g.sorted, s.rate)
	}
	slices.Sort(g.sorted)
	g.base = g.sorted[(len(g.sorted)-1)/4]
}

func (g *Guard) succeeded(s *server, now time.Time) {
	s.run = 0
	if s.out {
		if now.Before(s.until) {
			return
		}
		if s.passed++; s.passed >= probationGoal {
			g.restore(s)
		}
		return
	}
	if s.calm++; s.calm >= calmAfter {
		s.calm = 0
		s.level = max(s.level-1, 0)
	}
}

// limit is the length of the run of failures at which a server is set aside.
func (g *Guard) limit() int {
	if g.base > mostRate {
		return Unlimited
	}
	rate := max(g.base, leastRate)
	return min(max(int(math.Ceil(math.Log(chance)/math.Log(rate))), MinRun), MaxRun)
}

// mayLose reports whether one more server may be set aside without an operator's word. When many fail,
// the fault is hardly theirs.
func (g *Guard) mayLose() bool {
	return g.aside < max(len(g.servers)/maxAsidePart, 1)
}

func (g *Guard) setAside(s *server, now time.Time, reason string) {
	if !s.out {
		g.aside++
	}
	s.out = true
	s.until = now.Add(min(firstAside<<min(s.level, 16), maxAside))
	s.level++
	s.passed, s.run, s.started = 0, 0, 0
	s.reason = reason
}

func (g *Guard) restore(s *server) {
	if s.out {
		g.aside--
	}
	s.out, s.reason, s.run, s.passed, s.started = false, "", 0, 0, 0
}

// Start notes that a task is started on a server. It only matters while the server is suspect.
func (g *Guard) Start(name string, now time.Time) {
	if s, ok := g.servers[name]; ok {
		s.started++
		s.lastStart = now
	}
}

// Allowance is how many more tasks may be started on a server at present: Unlimited when it is healthy,
// none while it is set aside, and on probation one more than have succeeded.
func (g *Guard) Allowance(name string, now time.Time) int {
	s, ok := g.servers[name]
	switch {
	case !ok:
		return Unlimited
	case s.out && now.Before(s.until):
		return 0
	case s.out:
		return max(1+s.passed-s.pending(now), 0)
	case s.run > 0 && g.mayLose():
		return max(g.limit()-s.run-s.pending(now), 0)
	}
	return Unlimited
}

// pending is the tasks started and not recorded, unless they have been for too long.
func (s *server) pending(now time.Time) int {
	if now.Sub(s.lastStart) >= probeTimeout {
		return 0
	}
	return s.started
}

// Reason tells why a server is set aside or on probation.
func (g *Guard) Reason(name string) (string, bool) {
	if s, ok := g.servers[name]; ok && s.out {
		return s.reason, true
	}
	return "", false
}

// Blame reports whether a failure that was just recorded on a server is likely the server's fault, so
// that it should not use up a retry of the task. Callers forgive at most MaxBlamed failures of one task.
func (g *Guard) Blame(name string) bool {
	s, ok := g.servers[name]
	return ok && (s.out || s.run > g.limit()/2)
}

// Aside is one server that is set aside or on probation.
type Aside struct {
	Server    string    `json:"Server"`
	Reason    string    `json:"Reason"`
	Until     time.Time `json:"Until"` // when probation begins or began
	Probation bool      `json:"Probation"`
}

// List is the servers set aside or on probation, in order of name.
func (g *Guard) List(now time.Time) []Aside {
	var list []Aside
	for name, s := range g.servers {
		if s.out {
			list = append(list, Aside{Server: name, Reason: s.reason, Until: s.until, Probation: !now.Before(s.until)})
		}
	}
	slices.SortFunc(list, func(a, b Aside) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// Return puts a server that is set aside on probation at once, for an operator.
func (g *Guard) Return(name string) {
	if s, ok := g.servers[name]; ok && s.out {
		s.until = time.Time{}
		s.passed, s.started = 0, 0
		s.reason = "returned by an operator, on probation"
	}
}

// Remove forgets a server.
func (g *Guard) Remove(name string) {
	s, ok := g.servers[name]
	if !ok {
		return
	}
	if s.out {
		g.aside--
	}
	delete(g.servers, name)
}

func (g *Guard) server(name string) *server {
	s, ok := g.servers[name]
	if !ok {
		if g.servers == nil {
			g.servers = make(map[string]*server)
		}
		s = &server{}
		g.servers[name] = s
	}
	return s
}
