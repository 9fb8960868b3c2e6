package ibisconfig

import (
	"context"
	"slices"
	"time"
)

// denySetOperator replaces the operator's name in the audit log when a withdrawal is written by a store that
// did not accept it and so knows only the hash of the key.
const denySetOperator = "deny-set"

// maxSkippedCalls is the number of ApplyWithdrawals calls that leave a withdrawal to the store that accepted it.
const maxSkippedCalls = 3

// Deny adds a key to the deny set: the key is refused even while the table still lists it.
func (s *Store) Deny(h KeyHash) { s.MergeDenied([]KeyHash{h}) }

// Denied returns the deny set in ascending order.
func (s *Store) Denied() []KeyHash { return sortedHashes(s.Snapshot().Denied) }

// MergeDenied adds all keys of hashes to the deny set. The set only grows, up to MaxDenied keys. Malformed
// hashes are ignored.
func (s *Store) MergeDenied(hashes []KeyHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if !slices.ContainsFunc(hashes, func(h KeyHash) bool { return !old.Denied[h] }) {
		return
	}
	snap := old.clone()
	for _, h := range hashes {
		if hashPattern.MatchString(string(h)) && len(snap.Denied) < MaxDenied {
			snap.Denied[h] = true
		}
	}
	s.current.Store(snap.Indexed())
}

// DeferWithdrawal keeps the withdrawal of a denied key for ApplyWithdrawals to apply once the table is available
// again.
func (s *Store) DeferWithdrawal(h KeyHash, c Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingWithdrawals == nil {
		s.pendingWithdrawals = make(map[KeyHash]Change)
	}
	if _, ok := s.pendingWithdrawals[h]; !ok && len(s.pendingWithdrawals) < MaxDenied {
		s.pendingWithdrawals[h] = c
	}
}

// ApplyWithdrawals withdraws from the table every denied key that the configuration still lists. A withdrawal
// that this store accepted is applied at once. Others are left to the store that accepted them for
// maxSkippedCalls calls and then applied here, since that store may have failed. Several daemons may do so
// concurrently: they use the same change ID. Errors are those of Apply.
func (s *Store) ApplyWithdrawals(ctx context.Context, now time.Time) error {
	snap := s.Snapshot()
	for _, h := range sortedHashes(snap.Denied) {
		team, name, ok := snap.FindKey(h)
		if !ok {
			s.forgetWithdrawal(h)
			continue
		}
		c, ok := s.withdrawalFor(h)
		if !ok {
			continue
		}
		if c.ID == "" {
			c = Change{ID: "denied-" + string(h[:32]), Operator: denySetOperator, BasedOn: NoCondition, At: now}
			c.WithdrawKey = &WithdrawKey{Team: team, Name: name}
		}
		if _, err := s.Apply(ctx, c); err != nil && !NotFound.Has(err) {
			return err
		}
	}
	return nil
}

// withdrawalFor returns the change that this store accepted for a denied key. Without one it returns an empty
// change once the store that accepted the withdrawal has had maxSkippedCalls calls to apply it; until then ok
// is false.
func (s *Store) withdrawalFor(h KeyHash) (c Change, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.pendingWithdrawals[h]; ok {
		return c, true
	}
	if s.skippedCalls == nil {
		s.skippedCalls = make(map[KeyHash]int)
	}
	s.skippedCalls[h]++
	return Change{}, s.skippedCalls[h] > maxSkippedCalls
}

// forgetWithdrawal drops the state of a withdrawal that was written to the table.
func (s *Store) forgetWithdrawal(h KeyHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingWithdrawals, h)
	delete(s.skippedCalls, h)
}
