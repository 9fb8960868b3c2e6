package ibisconfig

import (
	"context"
	"slices"
	"time"
)

// denySetOperator stands in the audit list for the operator of a withdrawal when the daemon that
// accepted it could not write it down.
const denySetOperator = "deny-set"

// maxSkips is how many calls of WriteDenied leave a withdrawal to the store that accepted it.
const maxSkips = 3

// Deny refuses a key from now on, whatever the table says.
func (s *Store) Deny(h KeyHash) { s.MergeDenied([]KeyHash{h}) }

// Denied lists the denied keys in order.
func (s *Store) Denied() []KeyHash { return keysOf(s.Snapshot().Denied) }

// MergeDenied denies all keys of hs. The set only grows, up to MaxDenied.
func (s *Store) MergeDenied(hs []KeyHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if !slices.ContainsFunc(hs, func(h KeyHash) bool { return !old.Denied[h] }) {
		return
	}
	snap := old.clone()
	for _, h := range hs {
		if hashForm.MatchString(string(h)) && len(snap.Denied) < MaxDenied {
			snap.Denied[h] = true
		}
	}
	s.current.Store(snap.Indexed())
}

// ApplyLater keeps a withdrawal that is in force by the deny set, for WriteDenied to make when the table
// is back.
func (s *Store) ApplyLater(h KeyHash, c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.later == nil {
		s.later = make(map[KeyHash]Change)
	}
	if _, ok := s.later[h]; !ok && len(s.later) < MaxDenied {
		s.later[h] = c
	}
}

// WriteDenied withdraws in the table every denied key that the configuration still holds: at once with
// the change that this store accepted, or after some calls without one, in case the store that accepted
// it is gone. Several daemons may do so at once.
func (s *Store) WriteDenied(ctx context.Context, at time.Time) error {
	snap := s.Snapshot()
	for _, h := range keysOf(snap.Denied) {
		team, name, ok := snap.KeyOf(h)
		if !ok {
			s.written(h)
			continue
		}
		c, ok := s.withdrawalOf(h)
		if !ok {
			continue
		}
		if c.ID == "" {
			c = Change{ID: "denied-" + string(h[:32]), Operator: denySetOperator, BasedOn: NoCondition, At: at}
			c.WithdrawKey = &WithdrawKey{Team: team, Name: name}
		}
		if _, err := s.Apply(ctx, c); err != nil && !NotFound.Has(err) {
			return err
		}
	}
	return nil
}

// withdrawalOf is the change that this store accepted for a denied key, an empty one when another store
// has had its time, or nothing yet.
func (s *Store) withdrawalOf(h KeyHash) (c Change, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.later[h]; ok {
		return c, true
	}
	if s.skipped == nil {
		s.skipped = make(map[KeyHash]int)
	}
	s.skipped[h]++
	return Change{}, s.skipped[h] > maxSkips
}

// written forgets how a withdrawal was to be made.
func (s *Store) written(h KeyHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.later, h)
	delete(s.skipped, h)
}
