package ibisallot

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ibiscrank/ibiswork"
)

// Parts of an amount, as divisors.
const (
	headUsed  = 4 // headroom is a quarter of what is used,
	headLimit = 4 // or a quarter of an even part of the limit, whichever is more
	idleHeads = 3 // headrooms that an idle team may keep before the rest is given back
)

// kind is the state of one team's allotment for one kind of capacity, and its decision.
type kind struct {
	limit   int64 // of the whole fleet
	daemons int64 // live incarnations
	sum     int64 // of all allotments in the row, and of the use of others beyond theirs
	row     int64 // the own allotment in the row
	held    int64 // of that, what has not been given up yet
	used    int64
	unmet   int64 // own demand beyond used that was refused
	others  int64 // unmet demand of other daemons
	wanters int64 // other daemons with unmet demand
	theirs  int64 // what these hold
	first   int64 // of these, indivisible demand that goes before that of this daemon
	lump    int64 // what was unused when the own demand was refused
	idle    bool  // nothing has changed for a while
}

// decide returns the allotment to hold from now on, and how much of it to give up as tasks end. The sum
// of the row stays at most the limit unless it was above it before, in which case it only falls.
func (k kind) decide() (target, yield int64) {
	unused := max(0, k.held-k.used)
	if over := k.sum - k.limit; over > 0 {
		give := min(unused, over)
		return k.held - give, over - give
	}
	if k.others > 0 {
		return k.share(unused)
	}
	need := k.used + k.unmet
	head := max(k.used/headUsed, k.limit/(headLimit*k.daemons))
	switch {
	case need > 0 && k.held < need+(head+1)/2:
		return min(k.room(), max(k.held, need+head)), 0
	case k.idle && k.held > need+idleHeads*head:
		return need + head, 0
	}
	return k.held, 0
}

// room is the largest allotment that keeps the sum within the limit.
func (k kind) room() int64 { return max(k.held, k.limit-(k.sum-k.row)) }

// share decides while other daemons lack capacity. What is not needed here is given up at once. Above an
// even part of the limit, more is given up as tasks end. Demand that is refused while some capacity is
// unused is indivisible, as of a gang: the first in order collects for it, and the others give theirs up,
// so that two daemons which each need the whole do not keep half each.
func (k kind) share(unused int64) (target, yield int64) {
	even := k.limit / k.daemons
	need := k.used + k.unmet
	free := max(0, k.limit-(k.sum-k.row)-k.held)
	if spare := k.held - need; spare > 0 {
		return k.held - min(spare, k.others), 0
	}
	if k.first == 0 && k.lump > 0 {
		return min(k.room(), need), 0
	}
	give := min(unused, max(k.first, min(k.others, k.held-even)))
	if give > 0 || k.held > even {
		return k.held - give, max(0, min(k.others-give, k.held-even-give))
	}
	return max(k.held, min(k.room(), need, max(min(k.fair(), k.held+free), k.held+free-k.others))), 0
}

// fair is an even part, rounded up, of what the daemons without unmet demand leave of the limit. It is at
// least an even part of the limit. Of a rest that does not divide, some daemon may take one more than an
// even part, and gives it up as tasks end.
func (k kind) fair() int64 {
	pool := k.limit - (k.sum - k.row - k.theirs)
	return max(k.limit/k.daemons, (pool+k.wanters)/(k.wanters+1))
}

// amounts lists the kinds of capacity.
func amounts(r ibiswork.Resources) [4]int64 {
	return [4]int64{r.MilliCPU, r.MemoryMB, r.Accelerators, r.Slots}
}

func resources(a [4]int64) ibiswork.Resources {
	return ibiswork.Resources{MilliCPU: a[0], MemoryMB: a[1], Accelerators: a[2], Slots: a[3]}
}

// state is what one daemon knows of one team when it decides.
type state struct {
	row    Row
	self   string
	live   []string // includes self
	limit  ibiswork.Resources
	held   ibiswork.Resources
	used   ibiswork.Resources
	unmet  ibiswork.Resources
	lump   ibiswork.Resources
	lost   ibiswork.Resources // which the write passes to another holder
	idle   bool
	repeat bool  // write the row even when nothing changes
	turn   int64 // the order of the daemons differs from turn to turn
}

// before reports whether the indivisible demand of another daemon goes before that of this one.
func (s state) before(inc string) bool { return inc != s.self && s.rank(inc) < s.rank(s.self) }

func (s state) rank(inc string) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s\x00%d\x00%s", s.row.Team, s.turn, inc))
}

// wanters counts the other live daemons with unmet demand, and adds up what they hold, for each kind.
func (s state) wanters() (n, held [4]int64) {
	for inc, wanted := range s.row.Wanted {
		if inc == s.self || !slices.Contains(s.live, inc) {
			continue
		}
		w, h := amounts(wanted), amounts(s.row.Held[inc])
		for i := range w {
			if w[i] > 0 {
				n[i]++
				held[i] += h[i]
			}
		}
	}
	return n, held
}

// decision is the row to write, if it differs, and what to give up as tasks end.
type decision struct {
	row    Row
	target ibiswork.Resources
	yield  ibiswork.Resources
	write  bool
	urgent bool
}

func (s state) decide() decision {
	before := s.row
	s.row = s.row.Shrink(s.self, s.held).covered(s.self, s.used)
	s.held = s.row.Held[s.self]
	var first ibiswork.Resources
	for inc, a := range s.row.Wanted {
		if s.row.Whole[inc] && s.before(inc) && slices.Contains(s.live, inc) {
			first = first.Add(a)
		}
	}
	limit, sum, row := amounts(s.limit), amounts(s.row.Sum().Sub(s.row.Over[s.self]).Add(s.lost)), amounts(s.row.Held[s.self])
	held, used, unmet := amounts(s.held), amounts(s.used), amounts(s.unmet)
	others, ahead, lump := amounts(s.row.wantedByOthers(s.self, s.live)), amounts(first), amounts(s.lump)
	wanters, theirs := s.wanters()
	var target, yield, wanted [4]int64
	for i := range limit {
		target[i], yield[i] = kind{
			limit: limit[i], daemons: int64(max(1, len(s.live))), sum: sum[i], row: row[i], held: held[i],
			used: used[i], unmet: unmet[i], others: others[i], wanters: wanters[i], theirs: theirs[i], first: ahead[i], lump: lump[i], idle: s.idle,
		}.decide()
		wanted[i] = max(0, min(used[i]+unmet[i], limit[i])-target[i])
	}
	d := decision{target: resources(target), yield: resources(yield)}
	d.row = s.row.with(s.self, d.target).withUsed(s.self, s.used)
	d.write = s.repeat || d.target != before.Held[s.self] || d.row.Over[s.self] != before.Over[s.self]
	w := resources(wanted)
	if whole := !w.IsZero() && !s.lump.IsZero(); differs(w, before.Wanted[s.self]) || whole != before.Whole[s.self] {
		d.row = d.row.withWanted(s.self, w, whole)
		d.write = true
	}
	d.urgent = s.repeat || !s.unmet.IsZero() || !positive(before.Held[s.self].Sub(d.target)).IsZero()
	return d
}

// differs reports whether the demand on record is so far from the present one that it is written again.
func differs(now, recorded ibiswork.Resources) bool {
	n, r := amounts(now), amounts(recorded)
	for i := range n {
		if (n[i] == 0) != (r[i] == 0) || n[i] > 2*r[i] || 2*n[i] < r[i] {
			return true
		}
	}
	return false
}
