package ibiscell

import (
	"cmp"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisjob"
)

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
	if e.lateness(st) == inTime {
		p.gangsWait = true
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
