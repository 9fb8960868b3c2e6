package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
	"ibiscrank/ibiswork"
)

const (
	placeEveryMS     = 100 // a placement at least this often while tasks wait: tickets age and servers fail
	claimedPart      = 0.3 // of the servers, at most, that work without room may keep from work of lower rank
	placeGapMS       = 4   // between placements
	stepsPerGapMS    = 12  // ready steps for which the gap grows by 1 ms, since a placement looks at all of them
	spareCandidates  = 2   // named to the advice service beyond those that are needed
	widenBacklogMS   = 200 // of waiting work, from which more servers are named
	widenPart        = 0.4 // of the time for a decision that may be spent on them
	gangAskFactor    = 2   // for a gang all of its servers must be free at once
	lateAttemptsLeft = 1   // attempts left with which a task goes to proven servers only
)

// pass is one placement over all ready steps.
type pass struct {
	servers []*server
	claims  int // servers that may still be claimed; one gang may claim more
	claimed int // servers that gangs have claimed
}

// place gives waiting tasks their servers, in order of rank.
func (e *Engine) place() {
	e.replace, e.placedAt = false, e.now
	e.ready = slices.DeleteFunc(e.ready, func(st *step) bool { return st.left == 0 || st.occ.job.state.Final() })
	if len(e.ready) == 0 {
		e.backlogMS = 0
		return
	}
	p := &pass{servers: e.sortedServers()}
	p.claims = int(math.Ceil(claimedPart * float64(len(p.servers))))
	for _, s := range p.servers {
		s.claimedBy = nil
	}
	for _, st := range e.ranked(p) {
		e.placeStep(p, st)
	}
	e.measureBacklog(p)
}

// placeGap is the time between two placements. It grows with the work of one, so that a cell with much waiting
// work does not spend its time on looking through it.
func (e *Engine) placeGap() int64 {
	return min(placeGapMS+int64(len(e.ready)/stepsPerGapMS), placeEveryMS)
}

// measureBacklog sums up the work that waits after a placement.
func (e *Engine) measureBacklog(p *pass) {
	var capacity, work int64
	for _, s := range p.servers {
		if e.usable(s) {
			capacity += s.info.Capacity.MilliCPU
		}
	}
	for _, st := range e.ready {
		if st.spec.LongRunning {
			continue
		}
		for _, t := range st.tasks {
			if t.waiting() {
				work += st.spec.Size.MilliCPU * max(st.spec.EstimateMS, 1)
			}
		}
	}
	e.backlogMS = work / max(capacity, 1)
}

// rankedStep is a ready step with what its rank goes by.
type rankedStep struct {
	step     *step
	late     lateness
	priority int
	share    float64
	since    Time
}

// lateness says what a step's job can still be worth.
type lateness int

const (
	inTime  lateness = iota // it can still meet its latency objective
	late                    // it cannot, but within lateFactor times the objective it is worth something
	useless                 // it has to be done all the same
)

const (
	lateFactor   = 3   // times the latency objective, from the platform's page
	estimatePart = 0.7 // of the estimated work that must still fit in, since estimates are rough
)

// lateness goes by the work that the job has before it, were it started now.
func (e *Engine) lateness(st *step) lateness {
	begin, length := e.objective(st.occ)
	end := e.now + int64(estimatePart*float64(st.remainingMS()))
	switch {
	case end <= begin+length:
		return inTime
	case end <= begin+lateFactor*length:
		return late
	}
	return useless
}

// remainingMS is the estimated length of the chain of work that begins with st.
func (st *step) remainingMS() int64 {
	if st.remaining == 0 {
		steps := st.occ.steps
		longest := make([]int64, len(steps))
		for n := len(steps) - 1; n >= 0; n-- {
			longest[n] += steps[n].spec.EstimateMS
			for _, d := range steps[n].spec.DependsOn {
				longest[d] = max(longest[d], longest[n])
			}
		}
		st.remaining = max(longest[st.n], 1)
	}
	return st.remaining
}

// ranked orders the steps that have waiting tasks: those that can still be in time before late ones, then
// by priority, by the use of their team for its weight, and by age.
func (e *Engine) ranked(p *pass) []*step {
	var total ibiswork.Resources
	for _, s := range p.servers {
		total = total.Add(s.info.Capacity)
	}
	shares := make(map[string]float64)
	for name, t := range e.teams {
		shares[name] = t.used.Dominant(total) / max(t.weight, 1e-9)
	}
	list := make([]rankedStep, 0, len(e.ready))
	for _, st := range e.ready {
		if e.now < st.pauseTo || !st.wants() {
			continue
		}
		j := st.occ.job
		list = append(list, rankedStep{
			step: st, late: e.lateness(st), priority: e.queues[j.spec.Queue].Priority,
			share: shares[j.spec.Team], since: j.acceptedAt,
		})
	}
	slices.SortStableFunc(list, func(a, b rankedStep) int {
		return cmp.Or(cmp.Compare(a.late, b.late), cmp.Compare(a.priority, b.priority), cmp.Compare(a.share, b.share), cmp.Compare(a.since, b.since))
	})
	steps := make([]*step, len(list))
	for n := range list {
		steps[n] = list[n].step
	}
	return steps
}

// wants reports whether st has tasks to place; a gang waits until none of its last run is left.
func (st *step) wants() bool {
	if st.spec.Gang {
		for _, t := range st.tasks {
			if t.run != nil {
				return false
			}
		}
		return st.left > 0
	}
	for _, t := range st.tasks {
		if t.waiting() {
			return true
		}
	}
	return false
}

// objective is the time from which the latency of an occurrence counts, and its latency objective.
func (e *Engine) objective(occ *occurrence) (begin Time, length int64) {
	j := occ.job
	q := e.queues[j.spec.Queue]
	begin = j.acceptedAt
	if !j.spec.RunsOnce() {
		begin = j.spec.StartAtMS + int64(occ.n)*j.spec.IntervalMS - e.unixOffset
	}
	if j.pathMS == 0 {
		j.pathMS = max(j.spec.CriticalPathMS(), 1)
	}
	return begin, int64(q.SlackFactor*float64(j.pathMS)) + q.ObjectiveMS
}

// candidate is a server that may run tasks of a step now.
type candidate struct {
	server *server
	ticket string
	valid  bool // the ticket is
	slots  int  // tasks for which there is room
}

func (e *Engine) placeStep(p *pass, st *step) {
	q := e.queues[st.occ.job.spec.Queue]
	if st.spec.Gang {
		e.placeGang(p, st, &q)
		return
	}
	found := e.candidates(p, st, &q)
	short := 0
	var renew []*run
	for _, t := range st.tasks {
		if !t.waiting() {
			continue
		}
		c := e.best(st, t, &q, found)
		if c == nil {
			short++
			continue
		}
		c.slots--
		n := t.lastRun + 1
		if c.valid {
			e.assignRun(e.newRun(t, c.server, n, runJournaling), c.ticket)
			continue
		}
		renew = append(renew, e.newRun(t, c.server, n, runReserved))
	}
	if len(renew) > 0 {
		e.ask(st, e.renewMore(st, &q, serversOf(renew), short), renew)
	}
	if short > 0 && e.lateness(st) == inTime {
		e.claimRoom(p, st, &q, short)
	}
	if short > 0 && q.Advice != nil && st.advised.asking == 0 && e.now >= st.advised.nextAt {
		e.askMore(p, st, &q, short)
	}
}

// renewMore adds approved servers whose tickets have aged to a call that renews others: tasks that are short of
// room will need them soon, and a server costs less than a call.
func (e *Engine) renewMore(st *step, q *ibisjob.Queue, ids []string, short int) []string {
	more := min(short, int(q.Advice.DecisionMS/max(q.Advice.PerServerMS, 1e-6)), maxAskedServers-len(ids))
	for n := range st.advised.known {
		if more <= 0 {
			break
		}
		ap := &st.advised.known[n]
		s := e.servers[ap.server]
		if ap.ok && s != nil && !ap.valid(s, e.now) && e.usable(s) && !slices.Contains(ids, ap.server) {
			ids = append(ids, ap.server)
			more--
		}
	}
	return ids
}

// claimRoom keeps the servers with most room from work of lower rank, one for each task that found none, so
// that small tasks do not take every hole before it is wide enough.
func (e *Engine) claimRoom(p *pass, st *step, q *ibisjob.Queue, tasks int) {
	var list []*server
	add := func(s *server) {
		if s != nil && s.claimedBy == nil && e.fitsKind(s, st, q) && slotsFor(s.info.Capacity, st.spec) > 0 {
			list = append(list, s)
		}
	}
	if q.Advice == nil {
		for _, s := range p.servers {
			add(s)
		}
	}
	for n := range st.advised.known {
		if ap := &st.advised.known[n]; ap.ok {
			add(e.servers[ap.server])
		}
	}
	tasks = min(tasks, p.claims, len(list))
	if tasks <= 0 {
		return
	}
	slices.SortStableFunc(list, func(a, b *server) int { return cmp.Compare(b.free(), a.free()) })
	for _, s := range list[:tasks] {
		s.claimedBy = st
	}
	p.claims -= tasks
}

// free is the processor that nothing uses.
func (s *server) free() int64 { return s.info.Capacity.MilliCPU - s.used.MilliCPU }

func serversOf(runs []*run) []string {
	var ids []string
	for _, r := range runs {
		if !slices.Contains(ids, r.server.info.ID) {
			ids = append(ids, r.server.info.ID)
		}
	}
	return ids
}

// candidates lists the servers that may run st and have room for a task of it.
func (e *Engine) candidates(p *pass, st *step, q *ibisjob.Queue) []candidate {
	allowed := e.teamRoom(st)
	if allowed == 0 {
		return nil
	}
	onServer := st.perServer()
	var list []candidate
	add := func(s *server, ticket string, valid bool) {
		if s == nil || !e.fitsKind(s, st, q) || s.claimedBy != nil && s.claimedBy != st {
			return
		}
		n := min(slotsFor(s.info.Capacity.Sub(s.used), st.spec), allowed)
		if st.spec.MaxPerServer > 0 {
			n = min(n, st.spec.MaxPerServer-onServer[s])
		}
		if n > 0 {
			list = append(list, candidate{server: s, ticket: ticket, valid: valid, slots: n})
		}
	}
	if q.Advice == nil {
		for _, s := range p.servers {
			add(s, "", true)
		}
		return list
	}
	for n := range st.advised.known {
		ap := &st.advised.known[n]
		if s := e.servers[ap.server]; ap.ok && s != nil {
			add(s, ap.ticket, ap.valid(s, e.now))
		}
	}
	return list
}

// fitsKind reports whether s may run tasks of st at all, as far as the engine can tell.
func (e *Engine) fitsKind(s *server, st *step, q *ibisjob.Queue) bool {
	return s.info.Service == q.Service && e.usable(s) && (st.spec.Label == "" || slices.Contains(s.info.Labels, st.spec.Label))
}

// slotsFor is how many tasks of the step fit into room. The processor of fillers is not counted.
func slotsFor(room ibiswork.Resources, spec *ibisjob.Step) int {
	n := math.MaxInt32
	for _, f := range [...][2]int64{
		{room.MilliCPU, spec.Size.MilliCPU}, {room.MemoryMB, spec.Size.MemoryMB}, {room.Accelerators, spec.Size.Accelerators},
	} {
		if f[1] > 0 {
			n = min(n, int(max(f[0], 0)/f[1]))
		}
	}
	return n
}

// teamRoom is how many tasks of st its team may still start below its upper limit.
func (e *Engine) teamRoom(st *step) int {
	t := e.team(st.occ.job.spec.Team)
	n := math.MaxInt32
	for _, f := range [...][3]int64{
		{t.limit.MilliCPU, t.used.MilliCPU, st.spec.Size.MilliCPU},
		{t.limit.MemoryMB, t.used.MemoryMB, st.spec.Size.MemoryMB},
		{t.limit.Accelerators, t.used.Accelerators, st.spec.Size.Accelerators},
	} {
		if f[0] > 0 && f[2] > 0 {
			n = min(n, int(max(f[0]-f[1], 0)/f[2]))
		}
	}
	return n
}

// perServer counts the runs of st on each server.
func (st *step) perServer() map[*server]int {
	if st.spec.MaxPerServer == 0 {
		return nil
	}
	n := make(map[*server]int)
	for _, t := range st.tasks {
		if t.run != nil {
			n[t.run.server]++
		}
	}
	return n
}

// best chooses the server for t: on the rack of its data, with a valid ticket, and with the least room left
// over, so that wide holes stay for wide work. A task with its last attempt goes to a server that has proved
// sound.
func (e *Engine) best(st *step, t *task, q *ibisjob.Queue, list []candidate) *candidate {
	if e.teamRoom(st) == 0 {
		return nil
	}
	lastChance := q.MaxAttempts > 0 && !st.spec.LongRunning && t.fails >= q.MaxAttempts-lateAttemptsLeft
	var best *candidate
	bestScore := math.Inf(1)
	for n := range list {
		c := &list[n]
		if c.slots == 0 {
			continue
		}
		s := c.server
		score := float64(s.info.Capacity.MilliCPU-s.used.MilliCPU) / float64(max(s.info.Capacity.MilliCPU, 1))
		for _, f := range [...]struct {
			bad     bool
			penalty float64
		}{
			{!c.valid, 2},
			{st.spec.Rack != "" && st.spec.Rack != s.info.Rack, 4},
			{s.info.ID == t.failedOn, 8},
			{lastChance && !e.proven(s), 16},
		} {
			if f.bad {
				score += f.penalty
			}
		}
		if score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// proven reports whether the last run that ended on s did well, not long ago.
func (e *Engine) proven(s *server) bool {
	return s.goodAt > s.failedAt && e.now-s.goodAt < freshSuccessMS
}

// askMore asks about servers that were not asked about, those with most room first.
func (e *Engine) askMore(p *pass, st *step, q *ibisjob.Queue, tasks int) {
	type choice struct {
		id    string
		slots int
	}
	var list []choice
	for _, s := range p.servers {
		if st.advised.find(s.info.ID) != nil || !e.fitsKind(s, st, q) {
			continue
		}
		n := slotsFor(s.info.Capacity.Sub(s.used), st.spec)
		if n == 0 && !st.spec.Gang || slotsFor(s.info.Capacity, st.spec) == 0 {
			continue
		}
		list = append(list, choice{id: s.info.ID, slots: n})
	}
	if len(list) == 0 {
		return
	}
	if st.spec.Gang && len(e.helpers.queue) > 0 {
		// While calls wait, a gang asks when it would fit if all were approved; its tickets are used then.
		room := 0
		for _, c := range list {
			room += c.slots
		}
		for n := range st.advised.known {
			if ap := &st.advised.known[n]; ap.ok && e.servers[ap.server] != nil {
				s := e.servers[ap.server]
				room += slotsFor(s.info.Capacity.Sub(s.used), st.spec)
			}
		}
		if room < tasks {
			return
		}
	}
	shift := hash(st.name) % len(list)
	list = append(list[shift:], list[:shift]...) // equal servers are not all asked about by all steps
	slices.SortStableFunc(list, func(a, b choice) int { return cmp.Compare(min(b.slots, tasks), min(a.slots, tasks)) })
	each := max(min(list[0].slots, tasks), 1)
	if st.spec.MaxPerServer > 0 {
		each = min(each, st.spec.MaxPerServer)
	}
	need := float64((tasks+each-1)/each) / e.approvalRate(q.Name)
	if st.spec.Gang {
		need *= gangAskFactor
	}
	if e.backlogMS > widenBacklogMS {
		need = max(need, widenPart*q.Advice.DecisionMS/max(q.Advice.PerServerMS, 1e-6))
	}
	n := min(int(math.Ceil(need))+spareCandidates, len(list), maxAskedServers)
	ids := make([]string, n)
	for k := range ids {
		ids[k] = list[k].id
	}
	e.ask(st, ids, nil)
}

// hash is FNV-1a, enough to spread steps over servers.
func hash(s string) int {
	h := uint32(2166136261)
	for n := range len(s) {
		h = (h ^ uint32(s[n])) * 16777619
	}
	return int(h >> 1)
}

// placeGang places all tasks of a gang at once, or claims servers for it.
func (e *Engine) placeGang(p *pass, st *step, q *ibisjob.Queue) {
	width := len(st.tasks)
	if e.teamRoom(st) < width {
		return
	}
	list := e.candidates(p, st, q)
	slices.SortStableFunc(list, func(a, b candidate) int {
		if a.valid != b.valid {
			if a.valid {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.slots, a.slots)
	})
	if st.spec.Colocated {
		list = oneRack(list, width)
	}
	chosen, left := list[:0:0], width
	for _, c := range list {
		if left == 0 {
			break
		}
		c.slots = min(c.slots, left)
		left -= c.slots
		chosen = append(chosen, c)
	}
	if left == 0 {
		e.startGang(st, chosen)
		return
	}
	if q.Advice != nil && st.advised.asking == 0 && e.now >= st.advised.nextAt {
		e.askMore(p, st, q, width)
	}
	if st.advised.asking == 0 && e.lateness(st) == inTime {
		e.claimFor(p, st, q)
	}
}

// oneRack puts the servers of the rack with most room first, if the gang fits there.
func oneRack(list []candidate, width int) []candidate {
	room := make(map[string]int)
	for _, c := range list {
		room[c.server.info.Rack] += c.slots
	}
	for _, c := range list {
		if rack := c.server.info.Rack; room[rack] >= width {
			return slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return c.server.info.Rack != rack })
		}
	}
	return list
}

// startGang assigns a gang to the chosen servers, or keeps their room while tickets are renewed.
func (e *Engine) startGang(st *step, chosen []candidate) {
	n := int64(0)
	for _, t := range st.tasks {
		n = max(n, t.lastRun)
	}
	n++
	valid := true
	for _, c := range chosen {
		valid = valid && c.valid
	}
	checkpoint := ""
	for _, t := range st.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	var reserved []*run
	next := 0
	for _, c := range chosen {
		for range c.slots {
			t := st.tasks[next]
			t.checkpoint = checkpoint
			next++
			r := e.newRun(t, c.server, n, runReserved)
			if valid {
				e.assignRun(r, c.ticket)
				continue
			}
			reserved = append(reserved, r)
		}
	}
	if len(reserved) > 0 {
		e.ask(st, serversOf(reserved), reserved)
	}
}

// claimFor keeps enough approved servers from work of lower rank until the gang fits on them.
func (e *Engine) claimFor(p *pass, st *step, q *ibisjob.Queue) {
	type choice struct {
		server *server
		slots  int // when what is not a gang has ended there
		free   int64
	}
	var list []choice
	for _, s := range p.servers {
		ap := st.advised.find(s.info.ID)
		if !e.fitsKind(s, st, q) || s.claimedBy != nil || q.Advice != nil && (ap == nil || !ap.ok) {
			continue
		}
		room := s.info.Capacity
		for _, r := range s.runs {
			if r.task.step.spec.Gang || r.task.step.spec.LongRunning {
				room = room.Sub(r.task.step.spec.Size)
			}
		}
		if n := slotsFor(room, st.spec); n > 0 {
			list = append(list, choice{s, n, s.free()})
		}
	}
	slices.SortStableFunc(list, func(a, b choice) int { return cmp.Compare(b.free, a.free) })
	left, n := len(st.tasks), 0
	for n < len(list) && left > 0 {
		left -= list[n].slots
		n++
	}
	if left > 0 || n > p.claims && p.claimed > 0 {
		return
	}
	p.claimed += n
	p.claims -= n
	for _, c := range list[:n] {
		c.server.claimedBy = st
	}
	e.log.WithFields(log.Fields{"Step": st.name, "Tasks": len(st.tasks), "Servers": n}).Debug("GangClaims")
}
