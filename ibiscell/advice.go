package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"github.com/apex/log"

	"ibiscrank/ibisdispatch"
)

const (
	ticketMarginMS       = 40   // validity left after the commit, for the start order and the server's check
	maxTicketWait        = 0.6  // largest part of a ticket's validity that the commit may be expected to take
	advicePauseMS        = 250  // between calls for a step that needs more approved servers
	adviceFailedPauseMS  = 120  // before the next call for the step after a failed one
	adviceTimeoutSlackMS = 1500 // timeout of a call, on top of maxCallsPerHelper times its expected duration
	longCallMS           = 200  // longer calls must leave some helpers free for shorter ones
	shortLoadWindowMS    = 1000 // time constant of the moving average of short calls
	shortReserveFactor   = 2    // helpers kept free, as a multiple of the average number busy with short calls
	maxCallsPerHelper    = 2    // one in progress and one queued at the advice service
	maxServersPerCall    = 100  // the platform's limit for one call
	initialApprovalRate  = 0.5  // fraction of servers assumed to be approved before the first answer
	approvalRateWeight   = 0.1  // weight of one call in the moving average
)

// approval is the advice service's last answer about one server for one step.
type approval struct {
	server      string
	incarnation int64
	ok          bool
	ticket      string
	until       Time  // expiry of the ticket
	validMS     int64 // validity of the ticket when it was received
}

// adviceCache holds the answers of the advice service for one step. Whether a server may run the step never
// changes, but its ticket expires.
type adviceCache struct {
	approvals    []approval
	index        map[string]int
	pendingCalls int
	nextCall     Time // earliest time of the next call
}

func (a *adviceCache) find(server string) *approval {
	n, ok := a.index[server]
	if !ok {
		return nil
	}
	return &a.approvals[n]
}

func (a *adviceCache) store(ap approval) {
	if a.index == nil {
		a.index = make(map[string]int)
	}
	if n, ok := a.index[ap.server]; ok {
		a.approvals[n] = ap
		return
	}
	a.index[ap.server] = len(a.approvals)
	a.approvals = append(a.approvals, ap)
}

func (a *adviceCache) invalidateTicket(server string) {
	if ap := a.find(server); ap != nil {
		ap.until = 0
	}
}

// ticketValid reports whether the ticket can be used for a run placed now on the current incarnation of s: it must
// outlast the commit of the assignment. While commits take longer than tickets last, fresh ones are tried all the same.
func (e *Engine) ticketValid(ap *approval, s *server) bool {
	wait := min(e.journal.expectedWait(e.now), int64(maxTicketWait*float64(ap.validMS)))
	return ap.ok && ap.incarnation == s.info.Incarnation && e.now+wait+ticketMarginMS < ap.until
}

// adviceCall is one call to the advice service, queued or in progress.
type adviceCall struct {
	id          int64
	step        *step
	servers     []string
	pendingRuns []*run   // runs that occupy capacity until their tickets arrive
	late        lateness // as of the last time calls were handed out, like work
	priority    int
	work        float64 // expected work of the step, in core-milliseconds; 0 if it is late
	callMS      int64   // expected duration
	helper      string
	sentAt      Time // when it was handed to helper
}

// helpers tracks the daemons that can call the advice service. The service handles one call at a time from
// each VM, so calls are spread over the daemons' VMs.
type helpers struct {
	names         []string
	busy          map[string][]*adviceCall // calls given to each helper
	queue         []*adviceCall            // calls that have not been given to a helper
	waiting       int                      // calls that found no helper when calls were last handed out
	approvalRates map[string]float64       // by queue: moving average of the fraction of servers that is approved
	shortMS       float64                  // decaying sum of the durations of short calls, in milliseconds
	shortAt       Time                     // when shortMS was last updated
	turns         ibisdispatch.Turns       // of the priorities
}

// long reports whether short calls should not have to wait behind a.
func (a *adviceCall) long() bool { return a.callMS > longCallMS }

// addShortWork decays the sum of the durations of short calls up to now, and adds ms to it.
func (h *helpers) addShortWork(now Time, ms int64) {
	h.shortMS = h.shortMS*math.Exp(-float64(now-h.shortAt)/shortLoadWindowMS) + float64(ms)
	h.shortAt = now
}

// shortReserve returns the number of helpers that long calls must leave free.
func (h *helpers) shortReserve(now Time) int {
	h.addShortWork(now, 0)
	return min(int(math.Ceil(shortReserveFactor*h.shortMS/shortLoadWindowMS)), len(h.names)-1)
}

// SetHelpers sets the daemons that can call the advice service. Calls of daemons that are no longer named
// fail.
func (e *Engine) SetHelpers(now Time, names []string) {
	e.now = now
	e.helpers.names = slices.Clone(names)
	for name, calls := range e.helpers.busy {
		if !slices.Contains(names, name) {
			for _, a := range slices.Clone(calls) {
				e.failCall(a, "HelperLost")
			}
		}
	}
}

// requestAdvice queues a call about servers for st. The given runs occupy capacity until it is answered.
func (e *Engine) requestAdvice(st *step, servers []string, runs []*run) {
	q := e.queues[st.occ.job.spec.Queue]
	e.lastCallID++
	a := &adviceCall{
		id: e.lastCallID, step: st, servers: servers, pendingRuns: runs, priority: q.Priority,
		callMS: q.Advice.CallMS(len(servers)), sentAt: e.now,
	}
	st.adviceCache.pendingCalls++
	st.adviceCache.nextCall = e.now + advicePauseMS
	e.helpers.queue = append(e.helpers.queue, a)
}

// dispatchAdvice hands queued calls to helpers: calls with runs that occupy capacity first, then by lateness of the step,
// then by priority. Of these, the steps that are in time and have the least work go first, since they earn their worth with
// the least capacity; late ones go by age, so that wide jobs come next once they have missed their objective. Long calls
// leave some helpers free, so that short ones need not wait behind them.
func (e *Engine) dispatchAdvice() {
	e.helpers.waiting = 0
	if len(e.helpers.queue) == 0 {
		return
	}
	if e.helpers.busy == nil {
		e.helpers.busy = make(map[string][]*adviceCall)
	}
	for _, a := range e.helpers.queue {
		if a.step.occ.job.state.Final() {
			e.dropCall(a)
			continue
		}
		e.rankCall(a)
	}
	e.helpers.queue = slices.DeleteFunc(e.helpers.queue, func(a *adviceCall) bool { return a.step.occ.job.state.Final() })
	slices.SortStableFunc(e.helpers.queue, func(a, b *adviceCall) int {
		return cmp.Or(
			-compareBool(len(a.pendingRuns) > 0, len(b.pendingRuns) > 0),
			cmp.Compare(a.late, b.late), cmp.Compare(a.priority, b.priority), cmp.Compare(a.work, b.work), cmp.Compare(a.id, b.id),
		)
	})
	shortReserve := e.helpers.shortReserve(e.now)
	var kept []*adviceCall
	blocked := map[bool]bool{} // by whether calls are long: no helper is free for such a call
	for len(e.helpers.queue) > 0 {
		n := e.helpers.next()
		a := e.helpers.queue[n]
		e.helpers.queue = slices.Delete(e.helpers.queue, n, n+1)
		if !blocked[a.long()] {
			a.helper = e.helpers.pick(a, shortReserve)
			blocked[a.long()] = a.helper == ""
		}
		if a.helper == "" {
			kept = append(kept, a)
			if blocked[true] && blocked[false] {
				kept = append(kept, e.helpers.queue...)
				break
			}
			continue
		}
		if !a.long() {
			e.helpers.addShortWork(e.now, a.callMS)
		}
		e.helpers.turns.Charge(a.priority, float64(a.callMS))
		a.sentAt = e.now
		e.helpers.busy[a.helper] = append(e.helpers.busy[a.helper], a)
		e.adviceCalls[a.id] = a
		e.send(Advise{ID: a.id, Helper: a.helper, Step: a.step.name, Servers: a.servers})
	}
	e.helpers.queue, e.helpers.waiting = kept, len(kept)
}

// rankCall updates what a call is ordered by: it may have waited for long.
func (e *Engine) rankCall(a *adviceCall) {
	st := a.step
	a.late, a.work = e.lateness(st), 0
	if a.late == inTime {
		a.work = e.poolOf(st).cores(st.spec.Size) * float64(st.unfinished) * float64(e.meanTaskMS(st))
	}
}

// next returns the index of the queued call to send next. The queue is sorted. Calls with runs that occupy capacity and
// calls of the most urgent priority come first. The others of the same lateness take turns by priority: while there are
// fewer helpers than calls, the long calls of gangs would otherwise keep the rest from all servers, however many of these
// are free.
func (h *helpers) next() int {
	first := h.queue[0]
	if len(first.pendingRuns) > 0 || first.priority == 0 {
		return 0
	}
	heads := make(map[int]int) // by priority: index of the first call
	var waiting []int
	for n, a := range h.queue {
		if a.late != first.late {
			break
		}
		if _, ok := heads[a.priority]; !ok {
			heads[a.priority] = n
			waiting = append(waiting, a.priority)
		}
	}
	class, _ := h.turns.Next(waiting)
	return heads[class]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// pick returns the helper for a, or "" if none is free. A long call needs an idle helper and must leave
// shortReserve others idle; a short call may also queue behind another short one.
func (h *helpers) pick(a *adviceCall, shortReserve int) string {
	best, least, idle := "", maxCallsPerHelper, 0
	for _, name := range h.names {
		calls := h.busy[name]
		if len(calls) == 0 {
			idle++
		}
		if len(calls) < least && !slices.ContainsFunc(calls, (*adviceCall).long) {
			best, least = name, len(calls)
		}
	}
	if a.long() && (least > 0 || idle <= shortReserve) {
		return ""
	}
	return best
}

// dropCall releases the runs of a queued call whose job has ended.
func (e *Engine) dropCall(a *adviceCall) {
	a.step.adviceCache.pendingCalls--
	for _, r := range a.pendingRuns {
		e.abandon(r)
	}
}

// Ticket is the advice service's permission for a server to run a step.
type Ticket struct {
	Server string
	Ticket string
}

// AdviceReceived processes the answer to an Advise: the approved servers with tickets that are valid for
// validMS milliseconds (0: the queue's default). If ok is false, the call failed.
func (e *Engine) AdviceReceived(now Time, id int64, approved []Ticket, validMS int64, ok bool) {
	e.now = now
	a := e.adviceCalls[id]
	if a == nil {
		return
	}
	if !ok {
		e.failCall(a, "Failed")
		return
	}
	e.removeCall(a)
	queue := a.step.occ.job.spec.Queue
	if validMS == 0 {
		if q := e.queues[queue]; q.Advice != nil {
			validMS = q.Advice.ValidMS
		}
	}
	tickets := make(map[string]string, len(approved))
	for _, t := range approved {
		tickets[t.Server] = t.Ticket
	}
	for _, id := range a.servers {
		ap := approval{server: id, until: now + validMS, validMS: validMS}
		ap.ticket, ap.ok = tickets[id]
		if s := e.servers[id]; s != nil {
			ap.incarnation = s.info.Incarnation
		}
		a.step.adviceCache.store(ap)
	}
	e.updateApprovalRate(queue, float64(len(tickets))/float64(max(len(a.servers), 1)), len(a.pendingRuns) == 0)
	e.startApproved(a)
	e.placementDue = true
}

// startApproved assigns the runs of a whose servers are approved and releases the others. A gang is
// assigned as a whole or not at all.
func (e *Engine) startApproved(a *adviceCall) {
	usable := func(r *run) bool {
		ap := a.step.adviceCache.find(r.server.info.ID)
		return ap != nil && e.ticketValid(ap, r.server) && e.usable(r.server) && !r.server.overcommitted() && (r.state == runAwaitingTicket || r.state == runAssigned)
	}
	all := true
	for _, r := range a.pendingRuns {
		all = all && usable(r)
	}
	for _, r := range a.pendingRuns {
		if r.server.runs[r.name] != r {
			continue
		}
		if !usable(r) || !all && a.step.spec.Gang || a.step.occ.job.state.Final() {
			e.abandon(r)
			continue
		}
		if r.state == runAssigned && e.refreshTicket(r) {
			e.setState(r, runSent)
			e.sendStart(r)
			continue
		}
		e.assignRun(r, a.step.adviceCache.find(r.server.info.ID).ticket)
	}
}

// updateApprovalRate updates the moving average of the fraction of servers that is approved. Calls that
// only renew tickets (fresh is false) are left out.
func (e *Engine) updateApprovalRate(queue string, fraction float64, fresh bool) {
	if !fresh {
		return
	}
	if e.helpers.approvalRates == nil {
		e.helpers.approvalRates = make(map[string]float64)
	}
	old, ok := e.helpers.approvalRates[queue]
	if !ok {
		old = initialApprovalRate
	}
	e.helpers.approvalRates[queue] = old + approvalRateWeight*(fraction-old)
}

// approvalRate returns the fraction of servers that is expected to be approved, at least approvalRateWeight.
func (e *Engine) approvalRate(queue string) float64 {
	if p, ok := e.helpers.approvalRates[queue]; ok {
		return max(p, approvalRateWeight)
	}
	return initialApprovalRate
}

func (e *Engine) failCall(a *adviceCall, reason string) {
	e.log.WithFields(log.Fields{"Step": a.step.name, "Helper": a.helper, "Why": reason, "AfterMS": e.now - a.sentAt}).Info("AdviceFailed")
	e.removeCall(a)
	a.step.adviceCache.nextCall = e.now + adviceFailedPauseMS
	for _, r := range a.pendingRuns {
		e.abandon(r)
	}
}

func (e *Engine) removeCall(a *adviceCall) {
	delete(e.adviceCalls, a.id)
	e.helpers.busy[a.helper] = slices.DeleteFunc(e.helpers.busy[a.helper], func(b *adviceCall) bool { return a == b })
	a.step.adviceCache.pendingCalls--
}

// expireCalls fails the calls that have timed out.
func (e *Engine) expireCalls() {
	for _, a := range e.adviceCalls {
		if e.now-a.sentAt > maxCallsPerHelper*a.callMS+adviceTimeoutSlackMS {
			e.failCall(a, "Late")
		}
	}
}
