package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"ibiscrank/ibisjob"
	"ibiscrank/ibiswork"
)

// candidate is a server that may run tasks of a step now.
type candidate struct {
	server *server
	ticket string
	valid  bool // the ticket is
	slots  int  // tasks for which there is room
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

// slotsFor is how many tasks of the step fit into room. The processor of work that fills counts like any other:
// sharing with services is not built.
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
		room := e.approvedRoom(st)
		for _, c := range list {
			room += c.slots
		}
		if room < tasks {
			return
		}
	}
	shift := hash(st.name) % len(list)
	list = append(list[shift:], list[:shift]...) // equal servers are not all asked about by all steps
	slices.SortStableFunc(list, func(a, b choice) int { return cmp.Compare(min(b.slots, tasks), min(a.slots, tasks)) })
	slots := make([]int, len(list))
	for k, c := range list {
		slots[k] = c.slots
	}
	n := e.serversToName(st, q, tasks, slots)
	ids := make([]string, n)
	for k := range ids {
		ids[k] = list[k].id
	}
	calls := (n + maxAskedServers - 1) / maxAskedServers
	for part := range slices.Chunk(ids, (n+calls-1)/calls) {
		e.ask(st, part, nil)
	}
}

// serversToName is how many of the servers with the given free slots a step asks about for its tasks, so that
// those that will be approved are likely to have room enough.
func (e *Engine) serversToName(st *step, q *ibisjob.Queue, tasks int, slots []int) int {
	target := float64(tasks)
	if st.spec.Gang {
		target = max(gangAskFactor*target-float64(e.approvedRoom(st)), 1)
	}
	rate, n, expected := e.approvalRate(q.Name), 0, 0.0
	for n < len(slots) && expected < target {
		own := min(slots[n], tasks)
		if st.spec.MaxPerServer > 0 {
			own = min(own, st.spec.MaxPerServer)
		}
		expected += max(float64(own), emptyingSlots) * rate
		n++
	}
	if e.backlogMS > widenBacklogMS {
		n = max(n, int(widenPart*q.Advice.DecisionMS/max(q.Advice.PerServerMS, 1e-6)))
	}
	return min(n+spareCandidates, len(slots), maxAskedServers*maxCallsAtOnce)
}

// approvedRoom is how many tasks of st fit on the servers that are known to be approved.
func (e *Engine) approvedRoom(st *step) int {
	room := 0
	for n := range st.advised.known {
		ap := &st.advised.known[n]
		if s := e.servers[ap.server]; ap.ok && s != nil {
			room += slotsFor(s.info.Capacity.Sub(s.used), st.spec)
		}
	}
	return room
}

// hash is FNV-1a, enough to spread steps over servers.
func hash(s string) int {
	h := uint32(2166136261)
	for n := range len(s) {
		h = (h ^ uint32(s[n])) * 16777619
	}
	return int(h >> 1)
}
