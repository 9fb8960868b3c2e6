// Package ibisshare divides a scarce capacity among teams over time, and decides which jobs to admit while there is not
// enough of it. Package ibiscell uses it.
//
// A Ledger holds the use of each team over the last seconds and compares it with the team's weighted share of what all
// active teams used. A Supply predicts how much capacity running tasks free, Ahead how much waiting work is served
// before a job, and Decide says whether to admit it. The package does no I/O, and uses neither a clock nor random numbers.
//
// Usage:
//
//	var l ibisshare.Ledger
//	l.Charge(now, "tuul-floor", 2, cores*elapsedMS)
//	ahead := better + ibisshare.Ahead(own, others)
//	d := ibisshare.Decide(&supply, ibisshare.Job{ID: id, AheadCoreMS: ahead, LengthMS: 1000, ObjectiveMS: 1750})
//	if !d.Accept {
//		// refuse the job, to be submitted again after d.RetryMS
//	}
package ibisshare

import (
	"math"
	"slices"
	"strings"
)

const (
	halfLifeMS     = 4000             // of a charge: about the length of a swing of the load
	activeMS       = 2 * halfLifeMS   // time since its last charge for which a team counts as active
	maxScale       = 1 << 20          // growth of the scale after which the uses are scaled down again
	negligible     = 1                // core-milliseconds below which an inactive team is forgotten
	creditFraction = 0.5              // largest fraction of its share that a team is counted below it, so that idle time is not saved up
	debtFraction   = 1.0              // the same above it, so that a team that was served a lot is not starved
	windowMS       = halfLifeMS / ln2 // time constant of the decay
	ln2            = 0.6931471805599453
)

// Ledger holds the decayed use of each team, in core-milliseconds. The zero value is empty. Times are in milliseconds
// and must not decrease.
type Ledger struct {
	entries []entry // by team
	base    int64   // time at which a charge has scale 1
	started bool

	asOf   int64 // time for which the sums hold
	valid  bool  // the sums hold for asOf
	total  float64
	weight float64
}

// entry is the use of one team.
type entry struct {
	team    string
	weight  float64
	scaled  float64 // decayed use, multiplied by the scale
	charged int64   // time of the last charge
}

// Charge adds a use of a team with the given weight. A charge of 0 marks a team that waits for capacity as active.
func (l *Ledger) Charge(now int64, team string, weight float64, coreMS float64) {
	if !l.started {
		l.base, l.started = now, true
	}
	scale := l.scale(now)
	if scale > maxScale {
		l.rebase(now, scale)
		scale = 1
	}
	n, found := l.find(team)
	if !found {
		l.entries = slices.Insert(l.entries, n, entry{team: team})
	}
	en := &l.entries[n]
	en.weight, en.charged = max(weight, minWeight), now
	en.scaled += max(coreMS, 0) * scale
	l.valid = false
}

const minWeight = 1e-9 // smallest weight, so that a share can be divided by it

// Excess returns the use of a team over the last seconds beyond its share, in core-milliseconds; negative: below. The
// share is the team's part, by weight, of what all active teams used. It is 0 for a team that is not active, and bounded
// by half the share below it and one share above it.
func (l *Ledger) Excess(now int64, team string) float64 {
	use, share := l.use(now, team)
	return min(max(use-share, -creditFraction*share), debtFraction*share)
}

// Ratio returns the use of a team as a multiple of its share; 1 for a team that is not active.
func (l *Ledger) Ratio(now int64, team string) float64 {
	use, share := l.use(now, team)
	if share <= 0 {
		return 1
	}
	return use / share
}

// Above returns the number of teams that are above their share, see AboveShare.
func (l *Ledger) Above(now int64) int {
	n := 0
	for k := range l.entries {
		if AboveShare(l.Ratio(now, l.entries[k].team)) {
			n++
		}
	}
	return n
}

// WindowMS returns the time constant of the decay: a steady use of one core leads to a use of so many core-milliseconds.
func WindowMS() float64 { return windowMS }

// Len returns the number of teams in memory.
func (l *Ledger) Len() int { return len(l.entries) }

func (l *Ledger) use(now int64, team string) (use, share float64) {
	n, found := l.find(team)
	if !found || !l.entries[n].active(now) {
		return 0, 0
	}
	l.sum(now)
	en := &l.entries[n]
	return en.scaled / l.scale(now), l.total * en.weight / l.weight
}

// sum computes the use and the weight of all active teams.
func (l *Ledger) sum(now int64) {
	if l.valid && l.asOf == now {
		return
	}
	l.asOf, l.valid, l.total, l.weight = now, true, 0, 0
	for n := range l.entries {
		if en := &l.entries[n]; en.active(now) {
			l.total += en.scaled
			l.weight += en.weight
		}
	}
	l.total /= l.scale(now)
}

func (en *entry) active(now int64) bool { return now-en.charged <= activeMS }

func (l *Ledger) find(team string) (int, bool) {
	return slices.BinarySearchFunc(l.entries, team, func(en entry, team string) int { return strings.Compare(en.team, team) })
}

// scale is the value of a charge at now relative to one at the base.
func (l *Ledger) scale(now int64) float64 { return math.Exp2(float64(now-l.base) / halfLifeMS) }

// rebase sets the base to now and forgets the inactive teams with a negligible use.
func (l *Ledger) rebase(now int64, scale float64) {
	l.base, l.valid = now, false
	for n := range l.entries {
		l.entries[n].scaled /= scale
	}
	l.entries = slices.DeleteFunc(l.entries, func(en entry) bool { return !en.active(now) && en.scaled < negligible })
}
