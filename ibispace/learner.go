// Package ibispace learns the pace of backend servers from the times that runs take there. The pace is the ratio of a
// run's time on a server to the time that the same work takes on an average server: a server of pace 1.6 takes 1.6
// times as long. Package ibiscell places tasks by it.
//
// Runs are compared with other runs of the same step, whose work is similar, and, with less weight, with the runs of the
// same kind, for example of one queue and client account. The comparison is made in logarithms and is robust: a few runs
// that take many times their usual time do not make a server slow. Evidence fades with time, so a server that changes is
// noticed, and a pace shrinks towards 1 while there is little evidence.
//
// A Learner does no I/O, reads no clock, and must be used from one goroutine. Its memory is bounded. Times are in
// milliseconds on any clock that does not go back.
//
// Usage:
//
//	var l ibispace.Learner
//	l.Observe(now, ibispace.Run{Server: "i-1", Incarnation: 7, Step: "job-3.0", Kind: "quotes/tuul", Tasks: 3, MS: 720})
//	if l.Spread() > 0.15 && l.Pace(now, "i-1", 7) < 1.2 {
//		// i-1 is fast enough
//	}
package ibispace

import (
	"container/list"
	"math"
	"slices"
)

const (
	halfLifeMS  = 40_000 // half-life of evidence, so that a server that changes is noticed within a minute
	paceSD      = 0.45   // deviation of the paces of servers that differ, in logarithms
	stepSD      = 0.25   // deviation of the work of the tasks of one step
	kindSD      = 0.5    // deviation of the work of the tasks of one kind
	minRunMS    = 1      // shorter runs say nothing
	maxEvidence = 120    // largest precision of what has been learned of a server, that of about twelve runs
	newEvidence = 4      // evidence with which a new incarnation begins: less than that of one run
	minEvidence = 25     // evidence from which a pace counts as known, that of some four runs

	minKnown    = 3  // known servers from which their paces are compared if they are half of all: outliers show in one or two
	enoughKnown = 12 // known servers that are enough in any case

	outlierShare = 0.03 // part of the runs that may take any time
	outlierRange = 4.0  // width of the range over which the logarithms of their times are spread evenly
	doubtFactor  = 0.3  // part of the evidence that an outlier takes off, so that a change of the server is learned
	maxDeviation = 1.0  // largest deviation of a run from its expected time that counts

	maxGroupRuns = 16     // runs of a step that another one is compared with
	heldRuns     = 4      // first runs of a step that are compared with each other when all of them have ended
	maxSteps     = 2048   // steps that are kept; the least recently used are dropped
	maxKinds     = 1024   // the same for kinds
	maxServers   = 20_000 // servers beyond these are not learned
	centerMS     = 1000   // between corrections of the average
	kindWeight   = 0.05   // smallest weight of a step in the moving average of its kind
)

// Run is a run that has ended as done.
type Run struct {
	Server      string
	Incarnation int64
	Step        string  // runs of one step do similar work
	Kind        string  // runs of one kind do work of similar size
	Tasks       int     // number of tasks of the step
	MS          float64 // run time
}

// Learner learns the paces of servers. The zero value knows none.
type Learner struct {
	servers   map[string]*server
	recovered map[uint32]record // paces read from a journal, by hash of the server, until they are asked for
	steps     cache[*step]
	kinds     cache[*kind]
	nextMove  int64 // when center is due
}

// server is what is known of a server's pace: a normal distribution of its logarithm with the given mean and the
// precision of the prior and the evidence together.
type server struct {
	incarnation int64
	mean        float64
	evidence    float64
	at          int64 // when evidence was last faded
}

const priorPrecision = 1 / (paceSD * paceSD)

func (s *server) variance() float64 { return 1 / (priorPrecision + s.evidence) }

// fade lets the evidence and the distance from the mean of all servers shrink with time.
func (s *server) fade(now int64) {
	if now <= s.at {
		return
	}
	f := math.Exp2(-float64(now-s.at) / halfLifeMS)
	total := priorPrecision + s.evidence
	s.evidence *= f
	s.mean *= f * total / (priorPrecision + s.evidence)
	s.at = now
}

// learn updates the pace by one observation of it with the given variance.
func (s *server) learn(observed, variance float64) {
	deviation := observed - s.mean
	w := regular(deviation, variance+s.variance())
	s.evidence *= 1 - doubtFactor*(1-w)
	gain := w / variance
	s.mean += gain / (priorPrecision + s.evidence + gain) * min(max(deviation, -maxDeviation), maxDeviation)
	s.evidence = min(s.evidence+gain, maxEvidence)
}

// regular returns the probability that a run with the given deviation from its expected time is not an outlier.
func regular(deviation, variance float64) float64 {
	p := (1 - outlierShare) * math.Exp(-deviation*deviation/(2*variance)) / math.Sqrt(2*math.Pi*variance)
	return p / (p + outlierShare/outlierRange)
}

// step holds the last runs of a step.
type step struct {
	runs []groupRun // at most maxGroupRuns; the next one replaces the one at next
	next int
	held int // the first runs, not learned from yet
}

type groupRun struct {
	server *server
	kind   *kind
	weight float64 // of the run in its kind
	ms     float64 // logarithm of its time
}

// kind is the moving average of the logarithms of run times on an average server.
type kind struct {
	mean  float64
	steps float64 // number of steps, where each task counts in part
}

func (k *kind) variance() float64 { return kindSD * kindSD * (1 + 1/k.steps) }

func (k *kind) add(ms, weight float64) {
	k.steps += weight
	k.mean += weight * max(1/k.steps, kindWeight) * (ms - k.mean)
}

// Observe learns from a run that has ended as done at now.
func (l *Learner) Observe(now int64, r Run) {
	s := l.server(now, r.Server, r.Incarnation, true)
	if s == nil || !(r.MS >= minRunMS) {
		return
	}
	if now >= l.nextMove {
		l.nextMove = now + centerMS
		l.center()
	}
	tasks := max(r.Tasks, 1)
	k, ok := l.kinds.get(r.Kind)
	if !ok {
		k = &kind{}
		l.kinds.put(r.Kind, k, maxKinds)
	}
	g, ok := l.steps.get(r.Step)
	if !ok {
		g = &step{}
		if dropped, ok := l.steps.put(r.Step, g, maxSteps); ok {
			l.learnHeld(now, dropped)
		}
	}
	n := g.add(groupRun{server: s, kind: k, weight: 1 / float64(tasks), ms: math.Log(r.MS)})
	switch {
	case g.held < 0: // the first runs have been learned from
		l.learn(now, g, n)
	case g.held+1 < min(tasks, heldRuns):
		g.held++
	default:
		g.held++
		l.learnHeld(now, g)
	}
}

// add adds a run and returns its index.
func (g *step) add(r groupRun) int {
	if len(g.runs) < maxGroupRuns {
		g.runs = append(g.runs, r)
		return len(g.runs) - 1
	}
	n := g.next
	g.runs[n], g.next = r, (n+1)%maxGroupRuns
	return n
}

// learnHeld learns from the first runs of a step, each compared with the others as they were known before.
func (l *Learner) learnHeld(now int64, g *step) {
	if g.held <= 0 {
		return
	}
	which := make([]int, g.held)
	for n := range which {
		which[n] = n
	}
	g.held = -1
	l.learn(now, g, which...)
}

// learn learns from the given runs of g.
func (l *Learner) learn(now int64, g *step, which ...int) {
	type observation struct {
		pace, variance float64
		ok             bool
	}
	var list [heldRuns]observation
	for n, i := range which {
		o := &list[n]
		mean, variance, ok := g.expected(now, i)
		o.pace, o.variance, o.ok = g.runs[i].ms-mean, variance+stepSD*stepSD, ok
	}
	for n, i := range which {
		r := &g.runs[i]
		corrected := r.ms - r.server.mean
		if o := list[n]; o.ok {
			r.server.learn(o.pace, o.variance)
			// An outlier is drawn in, so that it does not shift its kind.
			corrected = r.ms - o.pace + min(max(o.pace-r.server.mean, -maxDeviation), maxDeviation)
		}
		r.kind.add(corrected, r.weight)
	}
}

// expected returns the mean and the variance of the logarithm of the time of run i on an average server, by the other
// runs of its step on other servers and by its kind.
func (g *step) expected(now int64, i int) (mean, variance float64, ok bool) {
	r := &g.runs[i]
	var values, variances [maxGroupRuns + 1]float64
	n := 0
	add := func(value, variance float64) {
		values[n], variances[n] = value, variance
		n++
	}
	if r.kind.steps > 0 {
		add(r.kind.mean, r.kind.variance())
	}
	for k := range g.runs {
		if o := &g.runs[k]; o.server != r.server {
			o.server.fade(now)
			add(o.ms-o.server.mean, stepSD*stepSD+o.server.variance())
		}
	}
	if n == 0 {
		return 0, 0, false
	}
	sorted := values
	slices.Sort(sorted[:n])
	median := (sorted[(n-1)/2] + sorted[n/2]) / 2
	precision, sum := 0.0, 0.0
	for k, v := range values[:n] {
		w := 1 / variances[k]
		if n > 2 { // two values do not tell which of them is the outlier
			w *= regular(v-median, variances[k])
		}
		precision += w
		sum += w * v
	}
	precision = max(precision, 1e-9)
	return sum / precision, 1 / precision, true
}

// center shifts all paces so that their average is 1, and the kinds with them. Comparisons only tell how paces differ, and
// the first runs to end are those of fast servers, which would otherwise count as average.
func (l *Learner) center() {
	sum, weights := 0.0, 0.0
	for _, s := range l.servers {
		w := s.evidence / (priorPrecision + s.evidence)
		sum += w * s.mean
		weights += w
	}
	if weights < 1 {
		return
	}
	shift := sum / weights
	for _, s := range l.servers {
		s.mean -= shift * s.evidence / (priorPrecision + s.evidence)
	}
	for _, el := range l.kinds.entries {
		el.Value.(*entry[*kind]).value.mean += shift
	}
}

// server returns what is known of a server, or nil. With create, it begins to learn about it.
func (l *Learner) server(now int64, id string, incarnation int64, create bool) *server {
	s := l.servers[id]
	if s == nil {
		r, ok := l.recovered[hash(id)]
		if !ok && !create || len(l.servers) >= maxServers {
			return nil
		}
		s = &server{incarnation: incarnation, at: now}
		if ok {
			delete(l.recovered, hash(id))
			*s = r.server
			if r.incarnation == uint8(incarnation) {
				s.incarnation = incarnation
			}
		}
		if l.servers == nil {
			l.servers = make(map[string]*server)
		}
		l.servers[id] = s
	}
	s.fade(now)
	if s.incarnation != incarnation {
		s.incarnation, s.evidence = incarnation, min(s.evidence, newEvidence)
	}
	return s
}

// Pace returns the pace of a server, 1 if it is unknown, and whether the runs of this incarnation have shown it.
func (l *Learner) Pace(now int64, id string, incarnation int64) (pace float64, known bool) {
	s := l.server(now, id, incarnation, false)
	if s == nil {
		return 1, false
	}
	return math.Exp(s.mean), s.evidence >= minEvidence
}

// Cautious returns the pace that a server exceeds with a probability of a sixth only: one deviation above the expected one.
func (l *Learner) Cautious(now int64, id string, incarnation int64) float64 {
	s := l.server(now, id, incarnation, false)
	if s == nil {
		return math.Exp(paceSD)
	}
	return math.Exp(s.mean + math.Sqrt(s.variance()))
}

// Drop forgets a server that is gone.
func (l *Learner) Drop(id string) { delete(l.servers, id) }

// Spread returns the deviation of the logarithms of the known paces beyond what noise explains: 0 while nothing is known
// or servers do not differ.
func (l *Learner) Spread() float64 {
	n, sum, squares, noise := 0.0, 0.0, 0.0, 0.0
	for _, s := range l.servers {
		if s.evidence < minEvidence {
			continue
		}
		n++
		sum += s.mean
		squares += s.mean * s.mean
		total := priorPrecision + s.evidence
		noise += s.evidence / (total * total)
	}
	if n < minKnown || n < enoughKnown && 2*n < float64(len(l.servers)) {
		return 0
	}
	variance := (squares - sum*sum/n) / (n - 1)
	// The variance of n noisy values exceeds that of the noise by chance, mostly by less than two of its deviations.
	return math.Sqrt(max(variance-noise/n*(1+2*math.Sqrt(2/(n-1))), 0))
}

// cache is a map that drops its least recently used entries.
type cache[V any] struct {
	entries map[string]*list.Element
	lru     list.List // of *entry[V], most recently used first
}

type entry[V any] struct {
	key   string
	value V
}

func (c *cache[V]) get(key string) (v V, ok bool) {
	el := c.entries[key]
	if el == nil {
		return v, false
	}
	c.lru.MoveToFront(el)
	return el.Value.(*entry[V]).value, true
}

// put adds an entry, and returns the one that it has dropped for that.
func (c *cache[V]) put(key string, v V, limit int) (dropped V, ok bool) {
	if c.entries == nil {
		c.entries = make(map[string]*list.Element)
	}
	if len(c.entries) >= limit {
		last := c.lru.Remove(c.lru.Back()).(*entry[V])
		delete(c.entries, last.key)
		dropped, ok = last.value, true
	}
	c.entries[key] = c.lru.PushFront(&entry[V]{key, v})
	return dropped, ok
}
