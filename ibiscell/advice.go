package ibiscell

import (
	"cmp"
	"math"
	"slices"

	"github.com/apex/log"
)

const (
	ticketMarginMS   = 60   // for the commit and the start between the placement and the server's check
	askPauseMS       = 250  // between calls for one step that is short of approved servers
	askFailedPauseMS = 120  // after a call that failed
	askSlackMS       = 1500 // beyond its expected time, after which a call counts as failed
	longCallMS       = 200  // calls above it leave helpers to the shorter ones
	shortLoadMS      = 1000 // time constant of the average of the work of short calls
	shortReserve     = 2    // times their average work, in helpers, is kept for short calls
	callsAtHelper    = 2    // one is under way, the next waits at the service
	maxAskedServers  = 100  // the platform's bound for one call
	approvalStart    = 0.5  // expected part of approved servers before anything is known
	approvalWeight   = 0.1  // of one call in the moving average
)

// approval is what the advice service has said of one server for one step.
type approval struct {
	server string
	born   int64
	ok     bool
	ticket string
	until  Time // of the ticket
}

// advised is what is known of the servers that may run a step. Whether a server may run it never changes;
// its ticket ages.
type advised struct {
	known  []approval
	index  map[string]int
	asking int
	nextAt Time
}

func (a *advised) find(server string) *approval {
	n, ok := a.index[server]
	if !ok {
		return nil
	}
	return &a.known[n]
}

func (a *advised) learn(ap approval) {
	if a.index == nil {
		a.index = make(map[string]int)
	}
	if n, ok := a.index[ap.server]; ok {
		a.known[n] = ap
		return
	}
	a.index[ap.server] = len(a.known)
	a.known = append(a.known, ap)
}

func (a *advised) forgetTicket(server string) {
	if ap := a.find(server); ap != nil {
		ap.until = 0
	}
}

// valid reports whether the ticket can be used for a start that is placed now, on this life of the server.
func (ap *approval) valid(s *server, now Time) bool {
	return ap.ok && ap.born == s.info.Born && now+ticketMarginMS < ap.until
}

// ask is one call to the advice service, waiting for a helper or under way.
type ask struct {
	id       int64
	step     *step
	servers  []string
	reserved []*run // keep room while their tickets are asked for
	late     lateness
	priority int
	callMS   int64
	helper   string
	sentAt   Time
}

// helpers are the daemons that may call the advice service. It takes one call at a time of each VM.
type helpers struct {
	names    []string
	busy     map[string][]*ask // the calls that each is at
	queue    []*ask
	approved map[string]float64 // part of the named servers that is approved, by queue
	shortMS  float64            // work of short calls in the last while
	shortAt  Time
}

// long reports whether a is so long that it must not keep short calls waiting.
func (a *ask) long() bool { return a.callMS > longCallMS }

// noteShort adds ms to the average work of short calls.
func (h *helpers) noteShort(now Time, ms int64) {
	h.shortMS = h.shortMS*math.Exp(-float64(now-h.shortAt)/shortLoadMS) + float64(ms)
	h.shortAt = now
}

// spared is how many helpers are kept from long calls.
func (h *helpers) spared(now Time) int {
	h.noteShort(now, 0)
	return min(int(math.Ceil(shortReserve*h.shortMS/shortLoadMS)), len(h.names)-1)
}

// SetHelpers names the daemons that may call the advice service.
func (e *Engine) SetHelpers(now Time, names []string) {
	e.now = now
	e.helpers.names = slices.Clone(names)
	for name, calls := range e.helpers.busy {
		if !slices.Contains(names, name) {
			for _, a := range slices.Clone(calls) {
				e.askFailed(a, "HelperLost")
			}
		}
	}
}

// ask queues a call for st.
func (e *Engine) ask(st *step, servers []string, reserved []*run) {
	q := e.queues[st.occ.job.spec.Queue]
	e.lastAsk++
	a := &ask{
		id: e.lastAsk, step: st, servers: servers, reserved: reserved, priority: q.Priority, late: e.lateness(st),
		callMS: q.Advice.CallMS(len(servers)), sentAt: e.now,
	}
	st.advised.asking++
	st.advised.nextAt = e.now + askPauseMS
	e.helpers.queue = append(e.helpers.queue, a)
}

// dispatchAdvice gives waiting calls to helpers. Calls that keep room go first, then those of work that can
// still be in time, then the most urgent. Long calls leave some helpers to the short ones, which do not wait
// behind them.
func (e *Engine) dispatchAdvice() {
	if len(e.helpers.queue) == 0 {
		return
	}
	if e.helpers.busy == nil {
		e.helpers.busy = make(map[string][]*ask)
	}
	slices.SortStableFunc(e.helpers.queue, func(a, b *ask) int {
		return cmp.Or(-compareBool(len(a.reserved) > 0, len(b.reserved) > 0), cmp.Compare(a.late, b.late), cmp.Compare(a.priority, b.priority))
	})
	spared := e.helpers.spared(e.now)
	kept := e.helpers.queue[:0]
	for _, a := range e.helpers.queue {
		if a.step.occ.job.state.Final() {
			e.askDropped(a)
			continue
		}
		if a.helper = e.helpers.free(a, spared); a.helper == "" {
			kept = append(kept, a)
			continue
		}
		if !a.long() {
			e.helpers.noteShort(e.now, a.callMS)
		}
		a.sentAt = e.now
		e.helpers.busy[a.helper] = append(e.helpers.busy[a.helper], a)
		e.asks[a.id] = a
		e.send(Advise{ID: a.id, Helper: a.helper, Step: a.step.name, Servers: a.servers})
	}
	e.helpers.queue = kept
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// free chooses the helper for a, or none. A long call takes an idle helper while enough others are left; a
// short one may also wait behind another short one.
func (h *helpers) free(a *ask, spared int) string {
	best, least, idle := "", callsAtHelper, 0
	for _, name := range h.names {
		calls := h.busy[name]
		if len(calls) == 0 {
			idle++
		}
		if len(calls) < least && !slices.ContainsFunc(calls, (*ask).long) {
			best, least = name, len(calls)
		}
	}
	if a.long() && (least > 0 || idle <= spared) {
		return ""
	}
	return best
}

func (e *Engine) askDropped(a *ask) {
	a.step.advised.asking--
	for _, r := range a.reserved {
		e.release(r)
	}
}

// Ticket is the advice service's word that a server may run a step.
type Ticket struct {
	Server string
	Ticket string
}

// Advised takes the answer to Advise; ok is false when the call failed.
func (e *Engine) Advised(now Time, id int64, approved []Ticket, validMS int64, ok bool) {
	e.now = now
	a := e.asks[id]
	if a == nil {
		return
	}
	if !ok {
		e.askFailed(a, "Failed")
		return
	}
	e.askEnded(a)
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
		ap := approval{server: id, until: now + validMS}
		ap.ticket, ap.ok = tickets[id]
		if s := e.servers[id]; s != nil {
			ap.born = s.info.Born
		}
		a.step.advised.learn(ap)
	}
	e.learnRate(queue, float64(len(tickets))/float64(max(len(a.servers), 1)), len(a.reserved) == 0)
	e.useReserved(a)
	e.replace = true
}

// useReserved assigns the runs whose servers are approved, and gives up the others. Members of a gang go
// together or not at all.
func (e *Engine) useReserved(a *ask) {
	usable := func(r *run) bool {
		ap := a.step.advised.find(r.server.info.ID)
		return ap != nil && ap.valid(r.server, e.now) && e.usable(r.server) && r.state == runReserved
	}
	all := true
	for _, r := range a.reserved {
		all = all && usable(r)
	}
	for _, r := range a.reserved {
		if r.server.runs[r.name] != r {
			continue
		}
		if usable(r) && (all || !a.step.spec.Gang) && !a.step.occ.job.state.Final() {
			e.assignRun(r, a.step.advised.find(r.server.info.ID).ticket)
			continue
		}
		e.release(r)
	}
}

// learnRate follows the part of the servers that is approved, from calls that did not only renew tickets.
func (e *Engine) learnRate(queue string, part float64, fresh bool) {
	if !fresh {
		return
	}
	if e.helpers.approved == nil {
		e.helpers.approved = make(map[string]float64)
	}
	old, ok := e.helpers.approved[queue]
	if !ok {
		old = approvalStart
	}
	e.helpers.approved[queue] = old + approvalWeight*(part-old)
}

func (e *Engine) approvalRate(queue string) float64 {
	if p, ok := e.helpers.approved[queue]; ok {
		return max(p, approvalWeight)
	}
	return approvalStart
}

func (e *Engine) askFailed(a *ask, why string) {
	e.log.WithFields(log.Fields{"Step": a.step.name, "Helper": a.helper, "Why": why, "AfterMS": e.now - a.sentAt}).Info("AdviceFailed")
	e.askEnded(a)
	a.step.advised.nextAt = e.now + askFailedPauseMS
	for _, r := range a.reserved {
		e.release(r)
	}
}

func (e *Engine) askEnded(a *ask) {
	delete(e.asks, a.id)
	e.helpers.busy[a.helper] = slices.DeleteFunc(e.helpers.busy[a.helper], func(b *ask) bool { return a == b })
	a.step.advised.asking--
}

// expireAsks gives up calls that have taken far longer than the service takes.
func (e *Engine) expireAsks() {
	for _, a := range e.asks {
		if e.now-a.sentAt > callsAtHelper*a.callMS+askSlackMS {
			e.askFailed(a, "Late")
		}
	}
}
