// Package ibisaside sets aside backend servers that fail everything that is started on them: such a server
// gets no new tasks for some time. Package ibisowner uses it for the servers of its daemon.
//
// A server is set aside after so many consecutive failures that they would be unlikely on a healthy server,
// given the failure rate of the best quarter of the servers. If more than half of the tasks fail even there,
// the fault is in the tasks and no server is set aside. After a backoff that grows each time, the server is
// put on probation: it gets a few tasks and is restored once enough of them succeed. Tasks that fail
// because of a bad server need not use up their retries (see Guard.ServerAtFault).
//
// The number of tasks that a server which fails everything can take before it is set aside is bounded by
// those running there when its first failure is recorded, plus MinFailures-1 while tasks on the best quarter of
// the servers succeed, or plus MaxFailures-1 while at most half of them fail there. This requires that the caller
// calls Start for each task that it starts, and starts no more tasks than Allowance permits.
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

// Limits and rates of the Guard.
const (
	// Unlimited is the allowance of a healthy server, in tasks.
	Unlimited = math.MaxInt32
	// MinFailures is the number of consecutive failures that sets a server aside while tasks on other servers succeed.
	MinFailures = 3
	// MaxFailures is that number while half of the tasks fail on the best quarter of the servers.
	MaxFailures = 20
	// MaxBlamedFailures is the number of failures of one task that a caller should not count as retries because
	// of Guard.ServerAtFault.
	MaxBlamedFailures = 8

	firstSetAside          = 10 * time.Second // initial backoff
	maxSetAside            = 10 * time.Minute // maximum backoff
	maxBaseRate            = 0.5              // failure rate of the best servers above which none is set aside
	probeTimeout           = 2 * time.Minute  // after which tasks without an outcome no longer count as pending
	requiredProbeSuccesses = 3                // successes that end probation
	successesPerLevel      = 100              // consecutive successes that lower the backoff level by one
	falsePositiveRate      = 1e-6             // probability of setting aside a healthy server by its failures
	minBaseRate            = 0.01             // failure rate that is assumed at least of any server
	failureRateWeight      = 0.1              // weight of the newest outcome in a server's moving average
	setAsideDivisor        = 3                // at most 1/3 of the servers, or one, are set aside at a time
)

// Guard tracks the outcomes of tasks on each server. The zero value is ready to use: a server without recorded
// tasks is healthy. It is not safe for concurrent use.
type Guard struct {
	servers          map[string]*server
	baseRate         float64   // failure rate that a quarter of the servers do not exceed
	rates            []float64 // buffer of updateBaseRate
	recordsSinceBase int       // outcomes recorded since baseRate was computed
	setAsideCount    int       // servers that are set aside or on probation
}

// server is the state of one backend server.
type server struct {
	failureRate    float64
	failuresInARow int // failures since the last success
	pendingStarts  int // tasks started and not yet recorded, counted from the first record of the server
	lastStart      time.Time
	backoffLevel   int       // times it was set aside, less one per successesPerLevel consecutive successes
	successStreak  int       // consecutive successes toward a lower backoffLevel
	isSetAside     bool      // set aside or on probation
	until          time.Time // end of the backoff, when probation begins
	probeSuccesses int       // successes on probation
	reason         string
}

// Record records the outcome of one task on a server and its run time in milliseconds.
func (g *Guard) Record(name string, ok bool, runMS int64, now time.Time) {
	s := g.serverFor(name)
	s.pendingStarts = max(s.pendingStarts-1, 0)
	g.updateRates(s, ok)
	if ok {
		g.recordSuccess(s, now)
		return
	}
	s.failuresInARow++
	s.successStreak = 0
	switch {
	case s.isSetAside && !now.Before(s.until):
		g.setAside(s, now, "failed on probation")
	case !s.isSetAside && s.failuresInARow >= g.failureLimit() && g.maySetAside():
		g.setAside(s, now, fmt.Sprintf("failed %d tasks in a row, the last after %d ms", s.failuresInARow, runMS))
	}
}

// updateRates updates the failure rate of s, and the base rate from time to time.
func (g *Guard) updateRates(s *server, ok bool) {
	newest := 1.0
	if ok {
		newest = 0
	}
	s.failureRate += failureRateWeight * (newest - s.failureRate)
	if g.recordsSinceBase++; g.recordsSinceBase > len(g.servers)/4 {
		g.recordsSinceBase = 0
		g.updateBaseRate()
	}
}

// updateBaseRate computes the failure rate that a quarter of the servers do not exceed.
func (g *Guard) updateBaseRate() {
	if len(g.servers) < 2 {
		g.baseRate = maxBaseRate
		return
	}
	g.rates = g.rates[:0]
	for _, s := range g.servers {
		g.rates = append(g.rates, s.failureRate)
	}
	slices.Sort(g.rates)
	g.baseRate = g.rates[(len(g.rates)-1)/4]
}

// recordSuccess ends the run of failures and advances probation or lowers the backoff level. Successes of
// tasks that end while the server is set aside don't count toward probation.
func (g *Guard) recordSuccess(s *server, now time.Time) {
	s.failuresInARow = 0
	if s.isSetAside {
		if now.Before(s.until) {
			return
		}
		if s.probeSuccesses++; s.probeSuccesses >= requiredProbeSuccesses {
			g.restore(s)
		}
		return
	}
	if s.successStreak++; s.successStreak >= successesPerLevel {
		s.successStreak = 0
		s.backoffLevel = max(s.backoffLevel-1, 0)
	}
}

// failureLimit returns the number of consecutive failures at which a server is set aside. A healthy server
// reaches it with at most the probability falsePositiveRate, within MinFailures and MaxFailures.
func (g *Guard) failureLimit() int {
	if g.baseRate > maxBaseRate {
		return Unlimited
	}
	rate := max(g.baseRate, minBaseRate)
	return min(max(int(math.Ceil(math.Log(falsePositiveRate)/math.Log(rate))), MinFailures), MaxFailures)
}

// maySetAside reports whether one more server may be set aside without an operator. If many servers fail, the
// fault is probably not theirs.
func (g *Guard) maySetAside() bool {
	return g.setAsideCount < max(len(g.servers)/setAsideDivisor, 1)
}

// setAside sets s aside, also from probation, and doubles the next backoff up to maxSetAside.
func (g *Guard) setAside(s *server, now time.Time, reason string) {
	if !s.isSetAside {
		g.setAsideCount++
	}
	s.isSetAside = true
	s.until = now.Add(min(firstSetAside<<min(s.backoffLevel, 16), maxSetAside))
	s.backoffLevel++
	s.probeSuccesses, s.failuresInARow, s.pendingStarts = 0, 0, 0
	s.reason = reason
}

// restore ends probation: the server is healthy again.
func (g *Guard) restore(s *server) {
	if s.isSetAside {
		g.setAsideCount--
	}
	s.isSetAside, s.reason, s.failuresInARow, s.probeSuccesses, s.pendingStarts = false, "", 0, 0, 0
}

// Start counts a task that is started on a server. The count only matters after a failure, and while the
// server is set aside or on probation.
func (g *Guard) Start(name string, now time.Time) {
	if s, ok := g.servers[name]; ok {
		s.pendingStarts++
		s.lastStart = now
	}
}

// Allowance returns how many more tasks may be started on a server now: Unlimited if it is healthy, 0 while it
// is set aside, and on probation one more than have succeeded, less those pending. After a failure, it is
// what is left before the server is set aside, unless too many servers already are.
func (g *Guard) Allowance(name string, now time.Time) int {
	s, ok := g.servers[name]
	switch {
	case !ok:
		return Unlimited
	case s.isSetAside && now.Before(s.until):
		return 0
	case s.isSetAside:
		return max(1+s.probeSuccesses-s.pending(now), 0)
	case s.failuresInARow > 0 && g.maySetAside():
		return max(g.failureLimit()-s.failuresInARow-s.pending(now), 0)
	}
	return Unlimited
}

// pending returns the number of tasks started and not yet recorded, or 0 if none has been started for
// probeTimeout, so that a task without an outcome doesn't block probation forever.
func (s *server) pending(now time.Time) int {
	if now.Sub(s.lastStart) >= probeTimeout {
		return 0
	}
	return s.pendingStarts
}

// Reason returns why a server is set aside or on probation, and false if it is neither.
func (g *Guard) Reason(name string) (string, bool) {
	if s, ok := g.servers[name]; ok && s.isSetAside {
		return s.reason, true
	}
	return "", false
}

// ServerAtFault reports whether a failure just recorded on a server is likely the server's fault, so that it
// should not use up a retry of the task. Callers exempt at most MaxBlamedFailures failures of one task.
func (g *Guard) ServerAtFault(name string) bool {
	s, ok := g.servers[name]
	return ok && (s.isSetAside || s.failuresInARow > g.failureLimit()/2)
}

// Aside describes a server that is set aside or on probation.
type Aside struct {
	Server    string    `json:"Server"`
	Reason    string    `json:"Reason"`
	Until     time.Time `json:"Until"` // when probation begins or began
	Probation bool      `json:"Probation"`
}

// List returns the servers that are set aside or on probation, sorted by name.
func (g *Guard) List(now time.Time) []Aside {
	var list []Aside
	for name, s := range g.servers {
		if s.isSetAside {
			list = append(list, Aside{Server: name, Reason: s.reason, Until: s.until, Probation: !now.Before(s.until)})
		}
	}
	slices.SortFunc(list, func(a, b Aside) int { return strings.Compare(a.Server, b.Server) })
	return list
}

// StartProbation puts a server that is set aside on probation at once, on request of an operator.
func (g *Guard) StartProbation(name string) {
	if s, ok := g.servers[name]; ok && s.isSetAside {
		s.until = time.Time{}
		s.probeSuccesses, s.pendingStarts = 0, 0
		s.reason = "returned by an operator, on probation"
	}
}

// Remove deletes all state of a server.
func (g *Guard) Remove(name string) {
	s, ok := g.servers[name]
	if !ok {
		return
	}
	if s.isSetAside {
		g.setAsideCount--
	}
	delete(g.servers, name)
}

// serverFor returns the state of a server and creates it if needed.
func (g *Guard) serverFor(name string) *server {
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
