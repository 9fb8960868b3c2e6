package ibisholder

import (
	"math/rand/v2"

	"ibiscrank/ibispeer"
	"ibiscrank/ibiswork"
)

// pickOwner chooses the owner to ask for places: the less loaded of two random owners that have room according
// to their digests. If none has room, it chooses among the owners with a large enough backend server. Within
// each group it skips the owner avoid if there is another one.
func (h *Holder) pickOwner(r ibiswork.Request, avoid string) (ibispeer.Member, bool) {
	var withRoom, capable []ibispeer.Member
	for _, m := range h.cfg.View().Members {
		l := m.Digest.Load
		if l.Servers == 0 || m.Digest.State == "Draining" || !r.Resources.FitsIn(l.LargestCapacity) {
			continue
		}
		capable = append(capable, m)
		if r.Resources.FitsIn(l.LargestFree) && r.Total().FitsIn(l.Capacity.Sub(l.Used)) && l.Queued == 0 {
			withRoom = append(withRoom, m)
		}
	}
	if m, ok := twoChoices(exclude(withRoom, avoid)); ok {
		return m, true
	}
	if m, ok := twoChoices(withRoom); ok {
		return m, true
	}
	if m, ok := twoChoices(exclude(capable, avoid)); ok {
		return m, true
	}
	return twoChoices(capable)
}

// exclude returns the members of list without the one with this ID.
func exclude(list []ibispeer.Member, id string) []ibispeer.Member {
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

// twoChoices returns the less loaded of two random members (power of two choices).
func twoChoices(list []ibispeer.Member) (ibispeer.Member, bool) {
	if len(list) == 0 {
		return ibispeer.Member{}, false
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if loadScore(b) < loadScore(a) {
		return b, true
	}
	return a, true
}

// loadScore returns the dominant share of an owner's used capacity, plus its queued requests per backend
// server.
func loadScore(m ibispeer.Member) float64 {
	l := m.Digest.Load
	return l.Used.Dominant(l.Capacity) + float64(l.Queued)/float64(max(l.Servers, 1))
}
