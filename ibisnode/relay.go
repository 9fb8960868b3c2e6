package ibisnode

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"ibiscrank/ibiscell"
)

// A relay makes calls to backend servers for the leader: at hundreds of servers these calls take more CPU time and
// bytes than the leader's VM has. It decides nothing. An order is carried out as the leader issued it, with its
// fencing token and its lease end, or its outcome is unknown, just as if the leader had made the call over a slow network.

const (
	defaultDirectServers = 64 // backend servers that one daemon calls; a leader with more has relays make the calls
	// relayTimeout is how long a daemon may go without a ping before it is no longer used as a relay.
	relayTimeout = 600 * time.Millisecond
	// relayReply is how much later than its own timeout the outcome of an order is expected from a relay.
	relayReply = 300 * time.Millisecond
	// relayWait is how long a new leader with many servers holds its first orders back, until relays are linked.
	relayWait = 400 * time.Millisecond
)

// A relay none of whose orders is answered by a server for relayFailingAfter, with relayFailures orders at least, is not
// used for relayPause.
const (
	relayFailures     = 5
	relayFailingAfter = time.Second
	relayPause        = 5 * time.Second
)

// pendingOrder is an order that a relay has been given.
type pendingOrder struct {
	command  ibiscell.Command
	sentAt   ibiscell.Time
	deadline ibiscell.Time // after which its outcome is unknown
}

// relaySet chooses the relay for each backend server. It is owned by the engine's goroutine.
type relaySet struct {
	relays   []*link
	wanted   int               // number of relays that the servers call for; 0: the leader makes the calls itself
	domains  map[string]string // failure domain of each listed server
	assigned map[string]*link  // cache of choose
	held     []ibiscell.Command
}

// choose returns the relay for a server, or nil if there is none. Of the relays in the server's failure domain, or of
// all if it has none, it takes the one with the highest weighted rendezvous score: when a relay is lost, only its
// servers move.
func (s *relaySet) choose(server string) *link {
	if l, ok := s.assigned[server]; ok {
		return l
	}
	domain := s.domains[server]
	local := slices.ContainsFunc(s.relays, func(l *link) bool { return l.FailureDomain == domain })
	var chosen *link
	best := math.Inf(-1)
	for _, l := range s.relays {
		if local && l.FailureDomain != domain {
			continue
		}
		h := float64(xxhash.Sum64String(server+"@"+l.Name)>>11+1) / (1 << 53)
		if score := -l.Power / math.Log(h); score > best {
			chosen, best = l, score
		}
	}
	if s.assigned == nil {
		s.assigned = make(map[string]*link)
	}
	s.assigned[server] = chosen
	return chosen
}

// setServers takes over the list of backend servers.
func (s *relaySet) setServers(list []ibiscell.ServerInfo, direct int) {
	s.wanted = 0
	if len(list) > direct {
		s.wanted = (len(list) + direct - 1) / direct
	}
	s.domains = make(map[string]string, len(list))
	for _, info := range list {
		s.domains[info.ID] = info.FailureDomain
	}
	s.assigned = nil
}

// updateRelays chooses the daemons that are used as relays: those on the strongest VMs that have sent a ping lately
// and are not being stopped.
func (t *term) updateRelays() {
	var list []*link
	if t.relays.wanted > 0 || t.scout.link != nil {
		candidates := t.relayCandidates()
		t.updateScout(candidates)
		list = candidates[:min(len(candidates), t.relays.wanted)]
	}
	if slices.Equal(list, t.relays.relays) {
		return
	}
	t.relays.relays, t.relays.assigned = list, nil
	t.n.gauge("Relays", len(list))
	t.log.WithFields(log.Fields{"Relays": len(list), "Wanted": t.relays.wanted}).Info("RelaysChanged")
}

// relayCandidates returns the links to daemons that can be relays, the best first.
func (t *term) relayCandidates() []*link {
	now := t.n.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	byName := make(map[string]*link)
	strongest := t.n.settings.Power
	for l := range t.links {
		if l.draining.Load() || now < l.asideUntil || now-l.pingAt.Load() > relayTimeout.Milliseconds() {
			continue
		}
		if other := byName[l.Name]; other == nil || other.pingAt.Load() < l.pingAt.Load() {
			byName[l.Name] = l
		}
		strongest = max(strongest, l.Power)
	}
	var list []*link
	for _, l := range byName {
		if l.Power >= weakPowerRatio*strongest {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b *link) int { return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.hash(), b.hash())) })
	return list
}

// dispatch carries out commands of the engine: orders to backend servers through relays if there are any.
func (t *term) dispatch(commands []ibiscell.Command) {
	if len(t.relays.held) > 0 && t.relaysReady() {
		commands = append(t.relays.held, commands...)
		t.relays.held = nil
	}
	writers := make(map[*link]*ordersWriter)
	for _, c := range commands {
		target, ok := orderTarget(c)
		if !ok {
			t.execute(c)
			continue
		}
		if !t.relaysReady() {
			t.relays.held = append(t.relays.held, c)
			continue
		}
		l := t.relays.choose(target.ID)
		if l == nil {
			t.execute(c)
			continue
		}
		w := writers[l]
		if w == nil {
			w = newOrdersWriter(l, t.row.Epoch, t.n.clock.Now())
			writers[l] = w
		}
		w.add(c)
	}
	for l, w := range writers {
		t.sendOrders(l, w)
	}
}

// relaysReady reports whether orders can be sent: relays are linked, or not needed, or waited for long enough.
func (t *term) relaysReady() bool {
	return 2*len(t.relays.relays) >= t.relays.wanted || t.n.clock.Now()-t.startedAt > relayWait.Milliseconds()
}

// orderTarget returns the backend server that c is to be sent to; ok is false if c is not an order to one.
func orderTarget(c ibiscell.Command) (target ibiscell.Target, ok bool) {
	switch c := c.(type) {
	case ibiscell.Start:
		return c.Target, true
	case ibiscell.Stop:
		return c.Target, true
	case ibiscell.Renew:
		return c.Target, true
	}
	return ibiscell.Target{}, false
}

// sendOrders gives orders to a relay.
func (t *term) sendOrders(l *link, w *ordersWriter) {
	now := t.n.clock.Now()
	commands := w.commands()
	l.mu.Lock()
	w.orders.First = l.lastOrder + 1
	for _, c := range commands {
		l.lastOrder++
		wait := orderTimeout
		if renew, ok := c.(ibiscell.Renew); ok {
			wait = renewTimeout + time.Duration(renew.WaitMS)*time.Millisecond
		}
		l.pending[l.lastOrder] = pendingOrder{command: c, sentAt: now, deadline: now + (wait + relayReply).Milliseconds()}
	}
	l.mu.Unlock()
	metrics.GetOrRegisterCounter("RelayOrders", t.n.registry).Inc(int64(len(commands)))
	if !l.out.put(&frame{Orders: []orders{w.orders}}) {
		go t.expireOrders(l, math.MaxInt64)
	}
}

// expireOrders reports the orders whose deadline is before now as unanswered.
func (t *term) expireOrders(l *link, now ibiscell.Time) {
	var expired []ibiscell.Command
	l.mu.Lock()
	for n, p := range l.pending {
		if p.deadline < now {
			expired = append(expired, p.command)
			delete(l.pending, n)
		}
	}
	l.mu.Unlock()
	if len(expired) == 0 {
		return
	}
	metrics.GetOrRegisterCounter("RelayOrdersUnanswered", t.n.registry).Inc(int64(len(expired)))
	t.log.WithFields(log.Fields{"Relay": l.Name, "Orders": len(expired)}).Info("RelayOrdersUnanswered")
	t.enqueue(func(e *ibiscell.Engine) {
		for _, c := range expired {
			t.applyResult(e, l, pendingOrder{command: c}, &orderResult{Outcome: ibiscell.OrderUnknown})
		}
	})
}

// handleResults passes the outcomes of a relay's orders on to the engine. Those of orders that have expired are
// dropped.
func (t *term) handleResults(l *link, results []orderResult) {
	for _, r := range results {
		if r.Report != nil {
			l.running[r.Report.Target] = r.Report.expand(l.running[r.Report.Target])
		}
	}
	found := make([]pendingOrder, 0, len(results))
	kept := results[:0]
	l.mu.Lock()
	for _, r := range results {
		if p, ok := l.pending[r.N]; ok {
			delete(l.pending, r.N)
			found, kept = append(found, p), append(kept, r)
		}
	}
	l.mu.Unlock()
	t.enqueue(func(e *ibiscell.Engine) {
		for n := range kept {
			t.applyResult(e, l, found[n], &kept[n])
		}
	})
}

// applyResult passes the outcome of an order that l was given on to the engine.
func (t *term) applyResult(e *ibiscell.Engine, l *link, p pendingOrder, r *orderResult) {
	now := t.n.clock.Now()
	t.recordRelayOutcome(l, now, r.Outcome)
	switch c := p.command.(type) {
	case ibiscell.Start:
		e.Started(now, c.Target, c.Name, c.Fence, ibiscell.StartReply{Outcome: r.Outcome, ClockMS: r.ClockMS})
	case ibiscell.Stop:
		e.Stopped(now, c.Target, c.Name, c.Fence, r.Outcome)
	case ibiscell.Renew:
		if r.Outcome == ibiscell.OrderDone && r.Report != nil {
			e.Renewed(now, r.Report.report(&c, p.sentAt))
			return
		}
		outcome := r.Outcome
		if outcome == ibiscell.OrderDone {
			outcome = ibiscell.OrderUnknown // a relay must send a report
		}
		e.RenewFailed(now, c.Target, c.Fence, outcome)
	}
}

// recordRelayOutcome sets a relay aside that reaches no server.
func (t *term) recordRelayOutcome(l *link, now ibiscell.Time, outcome ibiscell.OrderOutcome) {
	if outcome != ibiscell.OrderUnknown && outcome != ibiscell.OrderUnreachable {
		l.failures = 0
		return
	}
	if l.failures == 0 {
		l.failingSince = now
	}
	l.failures++
	if l.failures >= relayFailures && now-l.failingSince > relayFailingAfter.Milliseconds() && now >= l.asideUntil {
		l.failures, l.asideUntil = 0, now+relayPause.Milliseconds()
		t.log.WithFields(log.Fields{"Relay": l.Name, "ForMS": relayPause.Milliseconds()}).Warn("RelaySetAside")
	}
}

// relayOrders carries out the leader's orders.
func (f *follower) relayOrders(ctx context.Context, o *orders) {
	f.targets = append(f.targets, o.Targets...)
	if now := f.leaderNow(); now > o.At+orderTimeout.Milliseconds() {
		f.n.log.WithFields(log.Fields{"Leader": f.leader.Name, "Orders": o.count(), "AgeMS": now - o.At}).Warn("RelayOrdersTooOld")
		f.refuseOrders(o)
		return
	}
	n := o.First
	for _, r := range o.Renewals {
		if target, ok := f.target(r.Target); ok {
			go f.relayRenew(ctx, n, r.Target, ibiscell.Renew{
				Target: target, Fence: ibiscell.FencingToken(o.Epoch, r.Fence), LeaseEndMS: r.LeaseEndMS, Acked: r.Acked, WaitMS: r.WaitMS,
			})
		} else {
			f.putResult(orderResult{N: n, Outcome: ibiscell.OrderUnreachable})
		}
		n++
	}
	for _, s := range o.Starts {
		if target, ok := f.target(s.Target); ok && s.Spec >= 0 && s.Spec < len(o.Specs) {
			c := ibiscell.Start{
				Target: target, Name: ibiscell.RunName{Task: s.Task, Run: s.Run}, Spec: o.Specs[s.Spec], LeaseEndMS: s.LeaseEndMS,
				Fence: ibiscell.FencingToken(o.Epoch, s.Fence), Checkpoint: s.Checkpoint, Ticket: s.Ticket,
			}
			go f.relayCall(ctx, n, func(ctx context.Context) ibiscell.StartReply { return f.n.servers.Start(ctx, c) })
		} else {
			f.putResult(orderResult{N: n, Outcome: ibiscell.OrderUnreachable})
		}
		n++
	}
	for _, s := range o.Stops {
		if target, ok := f.target(s.Target); ok {
			c := ibiscell.Stop{Target: target, Name: ibiscell.RunName{Task: s.Task, Run: s.Run}, Fence: ibiscell.FencingToken(o.Epoch, s.Fence)}
			go f.relayCall(ctx, n, func(ctx context.Context) ibiscell.StartReply {
				return ibiscell.StartReply{Outcome: f.n.servers.Stop(ctx, c)}
			})
		} else {
			f.putResult(orderResult{N: n, Outcome: ibiscell.OrderUnreachable})
		}
		n++
	}
}

// target returns the target with an index that the leader has used; ok is false if the leader has not named it.
func (f *follower) target(n int) (t ibiscell.Target, ok bool) {
	if n < 0 || n >= len(f.targets) {
		f.n.log.WithFields(log.Fields{"Leader": f.leader.Name, "Target": n, "Targets": len(f.targets)}).Error("RelayOrderInvalid")
		return t, false
	}
	return f.targets[n], true
}

// refuseOrders answers orders that are not carried out.
func (f *follower) refuseOrders(o *orders) {
	for k := range o.count() {
		f.putResult(orderResult{N: o.First + uint64(k), Outcome: ibiscell.OrderUnreachable})
	}
}

func (f *follower) relayRenew(ctx context.Context, n uint64, target int, c ibiscell.Renew) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout+time.Duration(c.WaitMS)*time.Millisecond)
	defer cancel()
	report, outcome := f.n.servers.Renew(ctx, c)
	metrics.GetOrRegisterCounter("OrdersHold", f.n.registry).Inc(1)
	if outcome != ibiscell.OrderDone {
		f.putResult(orderResult{N: n, Outcome: outcome})
		return
	}
	rec := newReportRecord(target, &report)
	f.mu.Lock()
	defer f.mu.Unlock() // results must be sent in the order in which they are based on each other
	f.running[target] = rec.reduce(f.running[target])
	f.putResult(orderResult{N: n, Outcome: outcome, Report: rec})
}

func (f *follower) relayCall(ctx context.Context, n uint64, call func(context.Context) ibiscell.StartReply) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply := call(ctx)
	f.putResult(orderResult{N: n, Outcome: reply.Outcome, ClockMS: reply.ClockMS})
}

// putResult sends a result to the leader. After the link has closed, the leader takes the outcome for unknown.
func (f *follower) putResult(r orderResult) { f.out.put(&frame{Results: []orderResult{r}}) }

// leaderNow returns a lower bound of the leader's clock. It also advances while this VM is suspended.
func (f *follower) leaderNow() ibiscell.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastPong.Now == 0 {
		return 0
	}
	return f.lastPong.Now + f.n.clock.Now() - f.pongAt
}
