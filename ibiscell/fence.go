package ibiscell

import (
	"maps"
	"slices"
)

// A server may start again under its ID, and then carries out orders that were meant for its former incarnation: it knows
// nothing of before, and its clock begins anew, so a lease end on the former clock lies far ahead. What it does compare is the
// fencing token, of which it keeps the highest. So the orders to each incarnation have tokens of their own, higher than those to
// the incarnation before and than all of the leaders before. Once an incarnation has answered a renewal with such a token, which
// claims it, only orders that were meant for it take effect. Until then others may have. The runs that they have started show in
// that answer; a lease that they have granted does not, and is taken for the longest that a server grants.

const (
	fenceBits = 32 // of a fencing token are below the epoch; with 2^21 epochs it stays below 2^53, up to which JSON numbers are exact

	// orderReachMS is the time after which an order that the server does not hold back has reached it, or never will: the
	// call has ended, and with it the connection.
	orderReachMS  = 2000
	answerMS      = 50  // in which a server answers a start order, as a rule
	clockMarginMS = 200 // by which a server's clock in an answer may be behind what is expected from its last report
	ackOverdueMS  = 100 // after which starts wait until the ends of runs are acknowledged

	// A server may hold an order back for lateOrderMS, and its silence is noticed within silenceNoticedMS, after which no more
	// leases are granted to it. So formerLeasesMS after the birth of an incarnation, no lease is left of the orders to the
	// former one, also if the time of day is off by clockSkewMS.
	lateOrderMS      = 12_000
	silenceNoticedMS = 3_000
	formerLeasesMS   = silenceNoticedMS + lateOrderMS + defaultMaxLeaseMS*100/(100-clockDriftPercent) + clockSkewMS
)

// fences holds the fencing tokens of the orders to one incarnation of a server. Renewals and stops carry the highest that the
// incarnation is known to have seen. Starts carry a higher one, until it is known to have seen that too, so that an
// acknowledgement does nothing where a start has been carried out of which the leader does not know.
type fences struct {
	first  int64 // lowest token of the incarnation
	seen   int64
	starts int64 // of the latest start order
}

// openStart is a start order whose answer has not arrived, or was lost: it may be carried out yet.
type openStart struct {
	run   RunName
	fence int64
	at    Time // when it was sent
}

// newFences returns the tokens of the orders to a server that this leader has not known, or has removed.
func (e *Engine) newFences() fences {
	first := max(FencingToken(e.settings.Epoch, 1), e.lastFence+1)
	return fences{first: first, seen: first}
}

// FencingToken returns the nth fencing token of a leader. It is higher than all of the leaders before.
func FencingToken(epoch, n int64) int64 { return epoch<<fenceBits + n }

func (f *fences) highest() int64 { return max(f.seen, f.starts) }

// nextIncarnation raises the tokens above all of the incarnation so far.
func (f *fences) nextIncarnation() {
	f.first = f.highest() + 1
	f.seen = f.first
}

// start returns the token of a start order.
func (f *fences) start() int64 {
	if f.starts <= f.seen {
		f.starts = f.seen + 1
	}
	return f.starts
}

// saw notes that the server has seen a token.
func (f *fences) saw(token int64) { f.seen = max(f.seen, token) }

// fenced processes the refusal of an order whose token was lower than one that s has seen, and reports whether that may have been
// another leader's: this one had issued no higher one.
func (e *Engine) fenced(s *server, token int64) bool {
	if token < s.fences.highest() {
		s.fences.saw(s.fences.highest())
		return false
	}
	e.send(Deposed{Epoch: e.settings.Epoch})
	return true
}

// orderStop sends a stop order, with a token that is no lower than that of any start.
func (e *Engine) orderStop(s *server, name RunName) {
	s.fences.saw(s.fences.highest())
	e.send(Stop{Target: s.info.Target, Name: name, Fence: s.fences.seen})
}

// expectAnswers raises the token of the next renewal if a start order is on its way that is about to be carried out, after which
// s does nothing for a lower one.
func (e *Engine) expectAnswers(s *server) {
	for _, o := range s.openStarts {
		if e.now <= o.at+answerMS {
			s.fences.saw(o.fence)
		}
	}
}

// startAnswered notes the reply to a start order of r. The clock of the next incarnation begins anew, so it is behind
// that of the present one, by the age that this had reached when it ended.
func (e *Engine) startAnswered(r *run, fence int64, reply StartReply) {
	s := r.server
	switch reply.Outcome {
	case OrderUnknown:
		return
	case OrderDone, OrderStale, OrderLate, OrderNoRoom, OrderBadTicket:
		r.answered = true
		r.confirmed = reply.Outcome == OrderDone && s.claimed && reply.ClockMS+clockMarginMS >= s.clockNow(e.now)
		s.fences.saw(fence)
	}
	s.closeStart(r.name, fence)
}

// closeStart notes that the latest start order of a run with the given token has been carried out, or will not be.
func (s *server) closeStart(name RunName, fence int64) {
	for n, o := range slices.Backward(s.openStarts) {
		if o.run == name && o.fence == fence {
			s.openStarts = slices.Delete(s.openStarts, n, n+1)
			return
		}
	}
}

// dropOpenStarts drops the orders that can't be carried out any more, since s has answered later than they could reach it.
func (s *server) dropOpenStarts() {
	s.openStarts = slices.DeleteFunc(s.openStarts, func(o openStart) bool { return s.reportAskedAt > o.at+orderReachMS })
}

// markListed notes that the present incarnation has listed r.
func (e *Engine) markListed(r *run) {
	r.listed = true
	r.server.fences.saw(r.firstFence)
	if !r.repeated {
		r.server.closeStart(r.name, r.startFence)
	}
}

// ackHold says why the ends of runs on a server are not to be acknowledged now, although they are committed.
type ackHold int

const (
	ackFree     ackHold = iota
	ackUnlisted         // a start is on its way, or has been answered, and no report has listed it yet
	ackLost             // a start that may be carried out yet has had no answer
)

// acksDue reports whether s has listed an end whose effect is committed.
func (s *server) acksDue() bool { return s.oldestEnd != 0 && s.oldestEnd <= s.ackedEnd }

// ackHeld returns why ends of runs on s are not to be acknowledged now. Every incarnation numbers its ended runs from 1, so if the
// server has restarted since its last report, an acknowledgement makes the new incarnation forget ends that it has not listed. There
// are such ends only if a start order has been carried out there, and it does nothing then if that had a higher token.
func (e *Engine) ackHeld(s *server) ackHold {
	if !s.acksDue() {
		return ackFree
	}
	hold := ackFree
	for _, o := range s.openStarts {
		switch {
		case o.fence > s.fences.seen:
		case e.now <= o.at+answerMS:
			hold = ackUnlisted
		case e.now <= o.at+orderReachMS:
			return ackLost
		}
	}
	for _, r := range s.runs {
		if r.answered && !r.listed && r.firstFence <= s.fences.seen {
			return ackUnlisted
		}
	}
	return hold
}

// startsPutOff reports whether start orders to s have to wait until ends are acknowledged, which a constant flow of them would
// prevent.
func (e *Engine) startsPutOff(s *server) bool {
	return s.ackHeldSince != 0 && e.now-s.ackHeldSince > ackOverdueMS && e.ackHeld(s) == ackUnlisted
}

// maxLeaseMS returns the longest time on the engine's clock that a server grants a lease for, whatever the order says.
func (e *Engine) maxLeaseMS() int64 { return withClockDrift(e.settings.MaxLeaseMS) }

// formerLeasesEndBy returns the time by which all leases have expired that s, which has just been claimed, may have been granted
// by orders to its former incarnation.
func (e *Engine) formerLeasesEndBy(s *server) Time {
	end := e.now + e.maxLeaseMS()
	if s.info.Incarnation == 0 {
		return end
	}
	return min(end, s.info.Incarnation-e.unixOffset+formerLeasesMS)
}

// leaseEndsBy returns the time by which all leases that cover r have expired. The server may have restarted since it was last
// heard, and the next incarnation may have carried out the start of a run that the former one has neither listed nor confirmed,
// or a repeat of it.
func (e *Engine) leaseEndsBy(r *run) Time {
	s := r.server
	if r.leasedUntil != 0 {
		return max(s.leasesExpireBy, r.leasedUntil)
	}
	isOpen := func(o openStart) bool { return o.run == r.name }
	if r.sentAt != 0 && !r.listed && !r.confirmed || slices.ContainsFunc(s.openStarts, isOpen) {
		return max(s.leasesExpireBy, s.grantedAt+orderReachMS+e.maxLeaseMS())
	}
	return s.leasesExpireBy
}

// allLeasesEndBy returns the time by which all leases that cover runs of s have expired.
func (e *Engine) allLeasesEndBy(s *server) Time {
	end := s.leasesExpireBy
	for _, r := range s.runs {
		end = max(end, e.leaseEndsBy(r))
	}
	return end
}

// lapsedRuns returns the runs of s whose leases have expired.
func (e *Engine) lapsedRuns(s *server) []*run {
	var list []*run
	for r := range maps.Values(s.runs) {
		if e.now > e.leaseEndsBy(r) {
			list = append(list, r)
		}
	}
	return sortRuns(list)
}
