package ibisholder

import (
	"math/rand/v2"

	"ibiscrank/ibispeer"
	"ibiscrank/ibiswork"
)

// pick chooses the owner to ask for places: of two at random that have room by their digests, the one
// with the shorter queue for its size; without any that has room, of two that could ever have it. The
// owner that was asked last is passed over when there is another.
func (h *Holder) pick(r ibiswork.Request, last string) (ibispeer.Member, bool) {
	var room, able []ibispeer.Member
	for _, m := range h.cfg.View().Members {
		l := m.Digest.Load
		if l.Servers == 0 || m.Digest.State == "Draining" || !r.Resources.FitsIn(l.Biggest) {
			continue
		}
		able = append(able, m)
		if r.Resources.FitsIn(l.Largest) && r.Total().FitsIn(l.Capacity.Sub(l.Used)) && l.Queued == 0 {
			room = append(room, m)
		}
	}
	if m, ok := twoChoices(without(room, last)); ok {
		return m, true
	}
	if m, ok := twoChoices(room); ok {
		return m, true
	}
	if m, ok := twoChoices(without(able, last)); ok {
		return m, true
	}
	return twoChoices(able)
}

func without(list []ibispeer.Member, id string) []ibispeer.Member {
	if id == "" {
		return list
	}
	var rest []ibispeer.Member
	for _, m := range list {
		if m.ID() != id {
			rest = append(rest, m)
		}
	}
	return rest
}

// twoChoices takes the less loaded of two members drawn at random.
func twoChoices(list []ibispeer.Member) (ibispeer.Member, bool) {
	if len(list) == 0 {
		return ibispeer.Member{}, false
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if pressure(b) < pressure(a) {
		return b, true
	}
	return a, true
}

// pressure is how full an owner is, with its queue counted by the request.
func pressure(m ibispeer.Member) float64 {
	l := m.Digest.Load
	return l.Used.Dominant(l.Capacity) + float64(l.Queued)/float64(max(l.Servers, 1))
}
