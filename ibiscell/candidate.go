package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"ibiscrank/ibisjob"
	"ibiscrank/ibiswork"
)

// candidate is a server that can run tasks of a step now.
type candidate struct {
	server *server
	ticket string
	valid  bool // the ticket can be used; otherwise it must be renewed first
	slots  int  // number of tasks of the step that fit
	rank   int  // by pace, the best first
}

// addTicketRenewals adds approved servers with expired tickets to a call that renews other tickets, up to
// short of them: the tasks that were not placed will need them soon, and one more server costs less time
// than another call.
func (e *Engine) addTicketRenewals(st *step, q *ibisjob.Queue, ids []string, short int) []string {
	more := min(short, int(q.Advice.DecisionMS/max(q.Advice.PerServerMS, 1e-6)), maxServersPerCall-len(ids))
	for n := range st.adviceCache.approvals {
		if more <= 0 {
			break
		}
		ap := &st.adviceCache.approvals[n]
		s := e.servers[ap.server]
		if ap.ok && s != nil && !e.ticketValid(ap, s) && e.usable(s) && !slices.Contains(ids, ap.server) {
			ids = append(ids, ap.server)
			more--
		}
	}
	return ids
}

// freeMilliCPU returns the unused CPU of s.
func (s *server) freeMilliCPU() int64 { return s.info.Capacity.MilliCPU - s.used.MilliCPU }

func serverIDs(runs []*run) []string {
	var ids []string
	for _, r := range runs {
		if !slices.Contains(ids, r.server.info.ID) {
			ids = append(ids, r.server.info.ID)
		}
	}
	return ids
}

// maxNoRoomSizes bounds the sizes that are noted, all of which are compared with the size of each step.
const maxNoRoomSizes = 32

// noRoomKey separates the servers that steps may use, for which sizes are noted that fit on none of them any more.
type noRoomKey struct {
	service, label string
	headroom       bool
}

// candidates returns the servers that may run st and have capacity for at least one of its tasks.
func (e *Engine) candidates(p *pass, st *step, q *ibisjob.Queue) []candidate {
	open := func(s *server) bool {
		return e.forOthers(s) && (s.reservedFor == nil || s.reservedFor == st)
	}
	if q.Advice != nil {
		return e.candidatesAmong(p, st, q, open)
	}
	// During a placement, capacity is only taken and reservations are only added, so that a size which does not fit
	// anywhere need not be looked for again. Without this, a full cell visits all servers for each waiting step.
	key := noRoomKey{q.Service, st.spec.Label, e.usesHeadroom(st)}
	if slices.ContainsFunc(p.noRoom[key], func(size ibiswork.Resources) bool { return size.FitsIn(st.spec.Size) }) {
		return nil
	}
	list := e.candidatesAmong(p, st, q, open)
	if len(list) == 0 && st.spec.MaxPerServer == 0 && e.teamSlots(st) > 0 && len(p.noRoom[key]) < maxNoRoomSizes {
		if p.noRoom == nil {
			p.noRoom = make(map[noRoomKey][]ibiswork.Resources)
		}
		p.noRoom[key] = append(p.noRoom[key], st.spec.Size)
	}
	return list
}

// candidatesAmong returns the servers for which open holds, and that may run st and have capacity for at least one of
// its tasks.
func (e *Engine) candidatesAmong(p *pass, st *step, q *ibisjob.Queue, open func(*server) bool) []candidate {
	allowed := e.teamSlots(st)
	if allowed == 0 {
		return nil
	}
	perServer, pace, headroom := st.runsPerServer(), e.paceRank(st), e.usesHeadroom(st)
	var list []candidate
	add := func(s *server, ticket string, valid bool) {
		if s == nil || !open(s) || !e.eligible(s, st, q) {
			return
		}
		n := min(slotsFor(s.room(headroom), st.spec), allowed)
		if st.spec.MaxPerServer > 0 {
			n = min(n, st.spec.MaxPerServer-perServer[s])
		}
		if n > 0 {
			list = append(list, candidate{server: s, ticket: ticket, valid: valid, slots: n, rank: pace.of(s)})
		}
	}
	if q.Advice == nil {
		for _, s := range p.servers {
			add(s, "", true)
		}
		return list
	}
	for n := range st.adviceCache.approvals {
		ap := &st.adviceCache.approvals[n]
		if s := e.servers[ap.server]; ap.ok && s != nil {
			add(s, ap.ticket, e.ticketValid(ap, s))
		}
	}
	return list
}

// eligible reports whether s is usable, belongs to the queue's service and has the label that st requires.
func (e *Engine) eligible(s *server, st *step, q *ibisjob.Queue) bool {
	return s.info.Service == q.Service && e.usable(s) && (st.spec.Label == "" || slices.Contains(s.info.Labels, st.spec.Label))
}

// slotsFor returns the number of tasks of the step that fit into room. The CPU of filler steps counts like
// that of other steps; sharing CPU with services is not implemented.
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

// teamSlots returns the number of tasks of st that its team may still start within its upper limit.
func (e *Engine) teamSlots(st *step) int {
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

// runsPerServer counts the runs of st on each server. It returns nil if st has no limit per server.
func (st *step) runsPerServer() map[*server]int {
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

// bestCandidate returns the best server for t, or nil. It prefers the rack of the data, a valid ticket and
// a server on which t did not fail last, then one that is fast enough, but not faster than necessary, then the fullest server, so that large free capacity is kept for
// large tasks. A task on its last attempt prefers a server where a run has recently succeeded.
func (e *Engine) bestCandidate(st *step, t *task, q *ibisjob.Queue, list []candidate) *candidate {
	if e.teamSlots(st) == 0 {
		return nil
	}
	lastAttempt := q.MaxAttempts > 0 && !st.spec.LongRunning && len(t.failed) >= q.MaxAttempts-cautiousAttemptsLeft
	var best *candidate
	bestScore := math.Inf(1)
	for n := range list {
		c := &list[n]
		if c.slots == 0 {
			continue
		}
		s := c.server
		score := c.paceScore(float64(s.info.Capacity.MilliCPU-s.used.MilliCPU) / float64(max(s.info.Capacity.MilliCPU, 1)))
		for _, f := range [...]struct {
			bad     bool
			penalty float64
		}{
			{!c.valid, 2},
			{st.spec.Rack != "" && st.spec.Rack != s.info.Rack, 4},
			{s.info.ID == t.failedOn, 8},
			{lastAttempt && !e.recentlySucceeded(s), 16},
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

// recentlySucceeded reports whether the last run that succeeded or failed on s succeeded, within
// recentSuccessMS.
func (e *Engine) recentlySucceeded(s *server) bool {
	return s.lastSuccess > s.lastFailure && e.now-s.lastSuccess < recentSuccessMS
}

// requestMoreAdvice requests advice about servers that have not been asked about for st, those with most
// free capacity first.
func (e *Engine) requestMoreAdvice(p *pass, st *step, q *ibisjob.Queue, tasks int) {
	type choice struct {
		id    string
		slots int
		rank  int
	}
	var list []choice
	pace := e.paceRank(st)
	for _, s := range p.servers {
		if st.adviceCache.find(s.info.ID) != nil || !e.eligible(s, st, q) {
			continue
		}
		n := slotsFor(s.info.Capacity.Sub(s.used), st.spec)
		if n == 0 && !st.spec.Gang || slotsFor(s.info.Capacity, st.spec) == 0 {
			continue
		}
		list = append(list, choice{id: s.info.ID, slots: n, rank: pace.of(s)})
	}
	if len(list) == 0 {
		return
	}
	if st.spec.Gang && len(e.helpers.queue) > 0 {
		// While other calls wait, ask for a gang only if it would fit when all servers are approved;
		// otherwise the tickets could not be used.
		room := e.approvedSlots(st)
		for _, c := range list {
			room += c.slots
		}
		if room < tasks {
			return
		}
	}
	shift := hash(st.name) % len(list)
	list = append(list[shift:], list[:shift]...) // so that steps do not all ask about the same servers
	slices.SortStableFunc(list, func(a, b choice) int {
		return cmp.Or(compareBool(a.slots == 0, b.slots == 0), comparePace(a.rank, b.rank), cmp.Compare(min(b.slots, tasks), min(a.slots, tasks)))
	})
	slots := make([]int, len(list))
	for k, c := range list {
		slots[k] = c.slots
	}
	n := e.serversToAsk(st, q, tasks, slots)
	ids := make([]string, n)
	for k := range ids {
		ids[k] = list[k].id
	}
	calls := (n + maxServersPerCall - 1) / maxServersPerCall
	for part := range slices.Chunk(ids, (n+calls-1)/calls) {
		e.requestAdvice(st, part, nil)
	}
}

// serversToAsk returns how many of the servers with the given free slots to ask about for the given number
// of tasks, so that the approved ones are expected to have enough capacity.
func (e *Engine) serversToAsk(st *step, q *ibisjob.Queue, tasks int, slots []int) int {
	target := float64(tasks)
	if st.spec.Gang {
		target = max(gangAskFactor*target-float64(e.approvedSlots(st)), 1)
	}
	rate, n, expected := e.approvalRate(q.Name), 0, 0.0
	for n < len(slots) && expected < target {
		taskSlots := min(slots[n], tasks)
		if st.spec.MaxPerServer > 0 {
			taskSlots = min(taskSlots, st.spec.MaxPerServer)
		}
		expected += max(float64(taskSlots), fullServerSlots) * rate
		n++
	}
	if e.backlogMS > widenBacklogMS {
		n = max(n, int(widenFraction*q.Advice.DecisionMS/max(q.Advice.PerServerMS, 1e-6)))
	}
	return min(n+spareCandidates, len(slots), maxServersPerCall*maxCallsAtOnce)
}

// approvedSlots returns the number of tasks of st that fit on the servers that are known to be approved.
func (e *Engine) approvedSlots(st *step) int {
	room := 0
	for n := range st.adviceCache.approvals {
		ap := &st.adviceCache.approvals[n]
		if s := e.servers[ap.server]; ap.ok && s != nil {
			room += slotsFor(s.info.Capacity.Sub(s.used), st.spec)
		}
	}
	return room
}

// hash returns the 32-bit FNV-1a hash of s, shifted right by one bit so that it is never negative.
func hash(s string) int {
	h := uint32(2166136261)
	for n := range len(s) {
		h = (h ^ uint32(s[n])) * 16777619
	}
	return int(h >> 1)
}
