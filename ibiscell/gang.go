package ibiscell

import (
	"cmp"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

// reserveServers reserves eligible servers for st, those with most free CPU first: one for each of the given
// number of tasks that did not fit anywhere. Otherwise small tasks of lower rank would fill the capacity that
// is freed before it is enough for a task of st.
func (e *Engine) reserveServers(p *pass, st *step, q *ibisjob.Queue, tasks int) {
	if p.reservable <= 0 {
		return
	}
	var list []*server
	add := func(s *server) {
		if s != nil && s.reservedFor == nil && e.forOthers(s) && e.eligible(s, st, q) && slotsFor(s.info.Capacity, st.spec) > 0 {
			list = append(list, s)
		}
	}
	if q.Advice == nil {
		for _, s := range p.servers {
			add(s)
		}
	}
	for n := range st.adviceCache.approvals {
		if ap := &st.adviceCache.approvals[n]; ap.ok {
			add(e.servers[ap.server])
		}
	}
	tasks = min(tasks, p.reservable, len(list))
	if tasks <= 0 {
		return
	}
	pace := e.paceRank(st)
	slices.SortStableFunc(list, func(a, b *server) int {
		return cmp.Or(comparePace(pace.of(a), pace.of(b)), cmp.Compare(b.freeMilliCPU(), a.freeMilliCPU()))
	})
	for _, s := range list[:tasks] {
		s.reservedFor = st
	}
	p.reservable -= tasks
}

// placeGang places all tasks of a gang at once. If they do not fit, it requests more advice or reserves
// servers for the gang.
func (e *Engine) placeGang(p *pass, st *step, q *ibisjob.Queue) {
	width := len(st.tasks)
	if kind, _ := e.trialFor(st.tasks[0], e.cautious(st)); kind != noTrial {
		e.placeGangTrial(p, st, q, kind)
		return
	}
	if e.teamSlots(st) < width {
		return
	}
	chosen, left := chooseServers(e.candidates(p, st, q), st)
	if left == 0 {
		e.startGang(st, chosen)
		return
	}
	if e.lateness(st) == inTime && !e.awaitsAdvice(st, q) {
		p.gangsWaiting = true
	}
	if q.Advice != nil && st.adviceCache.pendingCalls == 0 && e.now >= st.adviceCache.nextCall &&
		(e.helpers.waiting == 0 || e.approvedCapacity(st) < width) {
		e.requestMoreAdvice(p, st, q, width)
	}
	if st.adviceCache.pendingCalls == 0 && e.lateness(st) == inTime {
		e.reserveForGang(p, st, q)
	}
}

// awaitsAdvice reports whether st has a call for advice under way, and too few approved servers to run on even if they were
// empty. Others that yielded to it would leave servers free that it can't use yet.
func (e *Engine) awaitsAdvice(st *step, q *ibisjob.Queue) bool {
	if q.Advice == nil || st.adviceCache.pendingCalls == 0 {
		return false
	}
	return e.approvedCapacity(st) < len(st.tasks)
}

// approvedCapacity returns the number of tasks of st for which its approved servers would have room if they were empty.
func (e *Engine) approvedCapacity(st *step) int {
	slots := 0
	for n := range st.adviceCache.approvals {
		ap := &st.adviceCache.approvals[n]
		if s := e.servers[ap.server]; ap.ok && s != nil && e.usable(s) {
			slots += slotsFor(s.info.Capacity, st.spec)
		}
	}
	return slots
}

// chooseServers returns the candidates on which to place the gang st, and the number of tasks that do not fit.
func chooseServers(list []candidate, st *step) (chosen []candidate, left int) {
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(comparePace(a.rank, b.rank), -compareBool(a.valid, b.valid), cmp.Compare(a.rank, b.rank), cmp.Compare(b.slots, a.slots))
	})
	left = len(st.tasks)
	if st.spec.Colocated {
		list = oneRack(list, left)
	}
	for _, c := range list {
		if left == 0 {
			break
		}
		c.slots = min(c.slots, left)
		left -= c.slots
		chosen = append(chosen, c)
	}
	return chosen, left
}

// oneRack returns only the candidates of the first rack on which the whole gang fits, or list if there is
// none.
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

// startGang assigns a gang to the chosen servers. If tickets have expired, the runs occupy their capacity
// until these are renewed.
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
	var pending []*run
	next := 0
	for _, c := range chosen {
		for range c.slots {
			t := st.tasks[next]
			t.checkpoint = checkpoint
			next++
			r := e.newRun(t, c.server, n, runAwaitingTicket)
			if valid {
				e.assignRun(r, c.ticket)
				continue
			}
			pending = append(pending, r)
		}
	}
	if len(pending) > 0 {
		e.requestAdvice(st, serverIDs(pending), pending)
	}
}

// reserveForGang keeps enough approved servers free of work of lower rank until the gang fits on them.
func (e *Engine) reserveForGang(p *pass, st *step, q *ibisjob.Queue) {
	if p.reservable <= 0 && p.reservedByGangs > 0 {
		return
	}
	type choice struct {
		server *server
		slots  int   // tasks that fit when all runs but those of gangs and long-running tasks have ended there
		free   int64 // unused CPU
		rank   int   // by pace
	}
	var list []choice
	pace := e.paceRank(st)
	for _, s := range p.servers {
		ap := st.adviceCache.find(s.info.ID)
		if !e.eligible(s, st, q) || !e.forOthers(s) || s.reservedFor != nil || q.Advice != nil && (ap == nil || !ap.ok) {
			continue
		}
		room := s.info.Capacity
		for _, r := range s.runs {
			if r.task.step.spec.Gang || r.task.step.spec.LongRunning {
				room = room.Sub(r.task.step.spec.Size)
			}
		}
		if n := slotsFor(room, st.spec); n > 0 {
			list = append(list, choice{s, n, s.freeMilliCPU(), pace.of(s)})
		}
	}
	slices.SortStableFunc(list, func(a, b choice) int {
		return cmp.Or(comparePace(a.rank, b.rank), cmp.Compare(b.free, a.free))
	})
	left, n := len(st.tasks), 0
	for n < len(list) && left > 0 {
		left -= list[n].slots
		n++
	}
	if left > 0 || n > p.reservable && p.reservedByGangs > 0 {
		return
	}
	p.reservedByGangs += n
	p.reservable -= n
	for _, c := range list[:n] {
		c.server.reservedFor = st
	}
	e.log.WithFields(log.Fields{"Step": st.name, "Tasks": len(st.tasks), "Servers": n}).Debug("GangClaims")
}
