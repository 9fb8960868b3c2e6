package ibisallot

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ibiscrank/ibiswork"
)

// Headroom is what a daemon holds beyond its need, so that it can admit tasks between two rounds.
const (
	headroomUsedDivisor  = 4 // headroom is 1/4 of the use,
	headroomLimitDivisor = 4 // or 1/4 of an even share of the limit, whichever is more
	maxIdleHeadrooms     = 3 // an idle team holding more than this many headrooms beyond its need keeps only one
)

// dimension is the input of the decision on one team's allotment of one resource (CPU, memory and so on).
type dimension struct {
	limit           int64 // across all daemons
	daemons         int64 // number of live incarnations
	total           int64 // of all allotments in the row and of other holders' use beyond theirs
	recorded        int64 // own allotment in the row
	held            int64 // own allotment that has not been released, at most recorded
	used            int64
	unmet           int64 // own refused demand, beyond used
	othersUnmet     int64 // unmet demand of other live daemons
	waiters         int64 // number of other live daemons with unmet demand
	waitersHeld     int64 // sum of the waiters' allotments
	precedingUnmet  int64 // indivisible part of othersUnmet that has precedence over own demand
	unusedAtRefusal int64 // own unused allotment when demand was refused; above 0: unmet is indivisible
	idle            bool  // no growth of use, new demand or write for idleAfter
}

// decide returns the new allotment, and how much of it to release as tasks end. It never raises the sum of the
// row above the limit; if the sum already exceeds a lowered limit, it can only fall.
func (d dimension) decide() (target, toRelease int64) {
	unused := max(0, d.held-d.used)
	if excess := d.total - d.limit; excess > 0 {
		release := min(unused, excess)
		return d.held - release, excess - release
	}
	if d.othersUnmet > 0 {
		return d.decideContended(unused)
	}
	need := d.used + d.unmet
	headroom := max(d.used/headroomUsedDivisor, d.limit/(headroomLimitDivisor*d.daemons))
	switch {
	case need > 0 && d.held < need+(headroom+1)/2:
		return min(d.maxAllotment(), max(d.held, need+headroom)), 0
	case d.idle && d.held > need+maxIdleHeadrooms*headroom:
		return need + headroom, 0
	}
	return d.held, 0
}

// maxAllotment returns the largest allotment that keeps the sum of the row within the limit, and at least
// the present one.
func (d dimension) maxAllotment() int64 { return max(d.held, d.limit-(d.total-d.recorded)) }

// decideContended decides while other daemons have unmet demand. Allotment beyond the own need is released at
// once. Above an even share of the limit, more is released as tasks end. Demand that is refused although some
// allotment is unused is indivisible, such as a gang: the daemon with precedence collects allotment for it
// and the others release theirs. Otherwise two daemons that each need the whole limit would keep half each.
func (d dimension) decideContended(unused int64) (target, toRelease int64) {
	evenShare := d.limit / d.daemons
	need := d.used + d.unmet
	free := max(0, d.limit-(d.total-d.recorded)-d.held)
	if surplus := d.held - need; surplus > 0 {
		return d.held - min(surplus, d.othersUnmet), 0
	}
	if d.precedingUnmet == 0 && d.unusedAtRefusal > 0 {
		return min(d.maxAllotment(), need), 0
	}
	release := min(unused, max(d.precedingUnmet, min(d.othersUnmet, d.held-evenShare)))
	if release > 0 || d.held > evenShare {
		return d.held - release, max(0, min(d.othersUnmet-release, d.held-evenShare-release))
	}
	return max(d.held, min(d.maxAllotment(), need, max(min(d.fairShare(), d.held+free), d.held+free-d.othersUnmet))), 0
}

// fairShare returns an even share, rounded up, of what the daemons without unmet demand leave of the limit. It
// is at least an even share of the whole limit. If that doesn't divide evenly, some daemon may take one more
// than an even share, and releases it as tasks end.
func (d dimension) fairShare() int64 {
	pool := d.limit - (d.total - d.recorded - d.waitersHeld)
	return max(d.limit/d.daemons, (pool+d.waiters)/(d.waiters+1))
}

// toArray returns the amounts of r in a fixed order, so that each resource can be decided on by itself.
func toArray(r ibiswork.Resources) [4]int64 {
	return [4]int64{r.MilliCPU, r.MemoryMB, r.Accelerators, r.Slots}
}

// fromArray is the inverse of toArray.
func fromArray(a [4]int64) ibiswork.Resources {
	return ibiswork.Resources{MilliCPU: a[0], MemoryMB: a[1], Accelerators: a[2], Slots: a[3]}
}

// teamState is the input of one daemon's decision on one team.
type teamState struct {
	row             Row
	self            string
	live            []string // IDs of the live incarnations, self included
	limit           ibiswork.Resources
	held            ibiswork.Resources
	used            ibiswork.Resources
	unmet           ibiswork.Resources
	unusedAtRefusal ibiswork.Resources
	lost            ibiswork.Resources // the write moves it to a new lost holder
	idle            bool
	rewrite         bool  // write the row even if nothing changes
	turn            int64 // number of the current turn, which determines the precedence of the daemons
}

// precedes reports whether the indivisible demand of another daemon has precedence over that of this daemon.
func (s teamState) precedes(inc string) bool { return inc != s.self && s.rank(inc) < s.rank(s.self) }

// rank orders the daemons; the lowest rank has precedence. The order is pseudo-random for each team and turn.
func (s teamState) rank(inc string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", s.row.Team, s.turn, inc))
}

// waiters returns, for each resource, the number of other live daemons with unmet demand and the sum of their
// allotments.
func (s teamState) waiters() (n, held [4]int64) {
	for inc, wanted := range s.row.Wanted {
		if inc == s.self || !slices.Contains(s.live, inc) {
			continue
		}
		w, h := toArray(wanted), toArray(s.row.Held[inc])
		for i := range w {
			if w[i] > 0 {
				n[i]++
				held[i] += h[i]
			}
		}
	}
	return n, held
}

// decision is the outcome for one team: the row, whether and how urgently to write it, and how much of the
// target to release as tasks end.
type decision struct {
	row       Row
	target    ibiswork.Resources
	toRelease ibiswork.Resources
	write     bool
	urgent    bool
}

// decide returns the decision for all resources of the team.
func (s teamState) decide() decision {
	prev := s.row
	s.row = s.row.Shrink(s.self, s.held).coverFromLost(s.self, s.used)
	s.held = s.row.Held[s.self]
	var preceding ibiswork.Resources
	for inc, a := range s.row.Wanted {
		if s.row.Whole[inc] && s.precedes(inc) && slices.Contains(s.live, inc) {
			preceding = preceding.Add(a)
		}
	}
	limit, total, recorded :=
		toArray(s.limit), toArray(s.row.Sum().Sub(s.row.Over[s.self]).Add(s.lost)), toArray(s.row.Held[s.self])
	held, used, unmet := toArray(s.held), toArray(s.used), toArray(s.unmet)
	othersUnmet, precedingUnmet, unusedAtRefusal :=
		toArray(s.row.wantedByOthers(s.self, s.live)), toArray(preceding), toArray(s.unusedAtRefusal)
	waiters, waitersHeld := s.waiters()
	var target, toRelease, wanted [4]int64
	for i := range limit {
		target[i], toRelease[i] = dimension{
			limit: limit[i], daemons: int64(max(1, len(s.live))), total: total[i], recorded: recorded[i], held: held[i],
			used: used[i], unmet: unmet[i],
			othersUnmet: othersUnmet[i], waiters: waiters[i], waitersHeld: waitersHeld[i],
			precedingUnmet: precedingUnmet[i], unusedAtRefusal: unusedAtRefusal[i], idle: s.idle,
		}.decide()
		wanted[i] = max(0, min(used[i]+unmet[i], limit[i])-target[i])
	}
	d := decision{target: fromArray(target), toRelease: fromArray(toRelease)}
	d.row = s.row.withHeld(s.self, d.target).withOveruse(s.self, s.used)
	d.write = s.rewrite || d.target != prev.Held[s.self] || d.row.Over[s.self] != prev.Over[s.self]
	w := fromArray(wanted)
	if whole := !w.IsZero() && !s.unusedAtRefusal.IsZero(); demandChanged(w, prev.Wanted[s.self]) ||
		whole != prev.Whole[s.self] {
		d.row = d.row.withWanted(s.self, w, whole)
		d.write = true
	}
	d.urgent = s.rewrite || !s.unmet.IsZero() || !nonNegative(prev.Held[s.self].Sub(d.target)).IsZero()
	return d
}

// demandChanged reports whether the demand in the row must be updated: some amount became zero or nonzero, or
// changed by more than a factor of two.
func demandChanged(now, recorded ibiswork.Resources) bool {
	n, r := toArray(now), toArray(recorded)
	for i := range n {
		if (n[i] == 0) != (r[i] == 0) || n[i] > 2*r[i] || 2*n[i] < r[i] {
			return true
		}
	}
	return false
}
