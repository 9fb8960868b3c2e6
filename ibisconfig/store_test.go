package ibisconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"ibiscrank/ibistablefake"
)

func TestStoreIsEmptyUntilTableIsRead(t *testing.T) {
	table := ibistablefake.New()
	table.SetDown(true)
	s := NewStore(table).WithBootstrap(HashKey("first"))
	assert.Equal(t, s.Snapshot().Version, int64(0))
	assert.Assert(t, Unavailable.Has(s.Poll(t.Context())))
	_, ok := s.Snapshot().Operator("first")
	assert.Assert(t, !ok, "the bootstrap key is in force before the table was read")

	table.SetDown(false)
	assert.NilError(t, s.Poll(t.Context()))
	assert.Equal(t, s.Snapshot().Version, int64(1))
	name, ok := s.Snapshot().Operator("first")
	assert.Assert(t, ok && name == BootstrapOperator)

	mustApply(t, s, change(func(c *Change) {
		c.PutOperator = &PutOperator{Name: "nara", Key: Key{Name: "phone", Hash: HashKey("k")}}
	}))
	_, ok = s.Snapshot().Operator("first")
	assert.Assert(t, !ok, "the bootstrap key is still in force although there is an operator")
}

func TestEmptyTableUnderFaults(t *testing.T) {
	table := ibistablefake.New()
	table.Inject(ibistablefake.LostRequest, ibistablefake.Contended, ibistablefake.Late, ibistablefake.LostReply)
	s := NewStore(table)
	mustApply(t, s, putTeam("tuul-floor", 3))
	table.ApplyLate()
	assert.NilError(t, s.Poll(t.Context()))
	assert.Equal(t, s.Snapshot().Version, int64(2))
}

func TestChangesReachOtherStores(t *testing.T) {
	table := ibistablefake.New()
	a, b := NewStore(table), NewStore(table)
	mustApply(t, a, putTeam("tuul-floor", 3))
	mustApply(t, a, addKey("tuul-floor", "mill"))
	mustApply(t, a, change(func(c *Change) { c.SetAside = &SetAside{Server: "10.0.0.7:9000", Reason: "fails all"} }))
	assert.NilError(t, b.Poll(t.Context()))
	team, ok := b.Snapshot().Authenticate("mill")
	assert.Assert(t, ok && team == "tuul-floor")
	assert.Equal(t, b.Snapshot().SetAside["10.0.0.7:9000"], "fails all")

	mustApply(t, b, withdrawKey("tuul-floor", "mill"))
	mustApply(t, b, change(func(c *Change) { c.Return = &Return{Server: "10.0.0.7:9000"} }))
	assert.NilError(t, a.Poll(t.Context()))
	_, ok = a.Snapshot().Authenticate("mill")
	assert.Assert(t, !ok)
	assert.Equal(t, len(a.Snapshot().SetAside), 0)
	assert.DeepEqual(t, a.Snapshot().Teams, b.Snapshot().Teams)

	mustApply(t, b, change(func(c *Change) { c.DeleteTeam = "tuul-floor" }))
	assert.NilError(t, a.Poll(t.Context()))
	assert.Equal(t, len(a.Snapshot().Teams), 0)
}

func TestPutTeamKeepsKeys(t *testing.T) {
	s := NewStore(ibistablefake.New())
	mustApply(t, s, putTeam("tuul-floor", 3))
	mustApply(t, s, addKey("tuul-floor", "mill"))
	mustApply(t, s, putTeam("tuul-floor", 9))
	_, ok := s.Snapshot().Authenticate("mill")
	assert.Assert(t, ok)
	assert.Equal(t, s.Snapshot().Teams["tuul-floor"].Share, 9.0)
}

func TestStaleErrorReportsLastChange(t *testing.T) {
	table := ibistablefake.New()
	s := NewStore(table)
	readVersion := mustApply(t, s, putTeam("tuul-floor", 3)).Version
	mustApply(t, s, putTeam("tuul-floor", 4))
	c := putTeam("tuul-floor", 5)
	c.BasedOn = readVersion
	_, err := s.Apply(t.Context(), c)
	assert.Assert(t, Stale.Has(err), "%v", err)
	stale, ok := errors.AsType[*StaleError](err)
	assert.Assert(t, ok)
	assert.Equal(t, stale.Team.Share, 4.0)
	assert.Equal(t, stale.Last.Operator, "nara")
	assert.Assert(t, stale.Last.At.Equal(testTime))

	c = putTeam("tuul-floor", 5)
	c.BasedOn = 0
	_, err = s.Apply(t.Context(), c)
	assert.Assert(t, Stale.Has(err), "created a team that already exists: %v", err)
}

// A change whose reply was lost is retried with the same ID, by Apply or by the client. It must take effect once.
func TestChangeWithLostReplyTakesEffectOnce(t *testing.T) {
	table := ibistablefake.New()
	s := NewStore(table)
	mustApply(t, s, putTeam("tuul-floor", 3))
	before := s.Snapshot().Version
	table.Inject(ibistablefake.LostReply)
	res := mustApply(t, s, addKey("tuul-floor", "mill"))
	assert.DeepEqual(t, res, Result{Version: before + 1, Repeated: true})
	assert.Equal(t, s.Snapshot().Version, before+1)

	c := addKey("tuul-floor", "desk")
	first := mustApply(t, s, c)
	mustApply(t, s, putTeam("tuul-floor", 8))
	repeated := mustApply(t, NewStore(table), c)
	assert.DeepEqual(t, repeated, Result{Version: first.Version, Repeated: true})

	c.AddKey = &AddKey{Team: "tuul-floor", Key: Key{Name: "desk", Hash: HashKey("other")}}
	_, err := s.Apply(t.Context(), c)
	assert.Assert(t, Reused.Has(err), "%v", err)
}

func TestConcurrentChanges(t *testing.T) {
	const operators, keys = 5, 6
	table := ibistablefake.New()
	first := NewStore(table)
	mustApply(t, first, putTeam("tuul-floor", 1))
	mustApply(t, first, addKey("tuul-floor", "old"))
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			s := NewStore(table)
			for j := range keys {
				_, err := s.Apply(t.Context(), addKey("tuul-floor", fmt.Sprintf("key-%d-%d", i, j)))
				assert.Check(t, err)
			}
		})
	}
	wg.Go(func() {
		_, err := NewStore(table).Apply(t.Context(), withdrawKey("tuul-floor", "old"))
		assert.Check(t, err)
	})
	wg.Wait()
	assert.NilError(t, first.Poll(t.Context()))
	assert.Equal(t, len(first.Snapshot().Teams["tuul-floor"].Keys), operators*keys)
	assert.Equal(t, first.Snapshot().Version, int64(1+2+operators*keys+1))
	entries, err := first.Audit(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 10)
	assert.Equal(t, entries[0].Version, first.Snapshot().Version)
}

// A store that has not yet read the deletion of an operator must still refuse a change that the operator makes.
func TestChangeByDeletedOperatorIsRefused(t *testing.T) {
	table := ibistablefake.New()
	behind, other := NewStore(table), NewStore(table)
	put := func(name string) {
		mustApply(t, other, change(func(c *Change) {
			c.PutOperator = &PutOperator{Name: name, Key: Key{Name: "phone", Hash: HashKey(name)}}
		}))
	}
	put("nara")
	put("otgon")
	assert.NilError(t, behind.Poll(t.Context()))
	mustApply(t, other, change(func(c *Change) { c.DeleteOperator = "nara" }))
	_, ok := behind.Snapshot().Operator("nara")
	assert.Assert(t, ok, "the store has already read the deletion")
	c := putTeam("tuul-floor", 1)
	c.OperatorKey = HashKey("nara")
	_, err := behind.Apply(t.Context(), c)
	assert.Assert(t, Unauthorized.Has(err), "%v", err)
	c.OperatorKey = HashKey("otgon")
	mustApply(t, behind, c)
}

func TestPollBeyondChangeLogReadsAllRows(t *testing.T) {
	table := ibistablefake.New()
	a, b := NewStore(table), NewStore(table)
	mustApply(t, a, putTeam("gone", 1))
	assert.NilError(t, b.Poll(t.Context()))
	mustApply(t, a, change(func(c *Change) { c.DeleteTeam = "gone" }))
	for i := range ChangeLogLength + 3 {
		mustApply(t, a, putTeam("busy", float64(i+1)))
	}
	assert.NilError(t, b.Poll(t.Context()))
	assert.DeepEqual(t, a.Snapshot().Teams, b.Snapshot().Teams)
}

func TestAuditLogIsBounded(t *testing.T) {
	const retention, changes = 5, 20
	table := ibistablefake.New()
	s := NewStore(table)
	s.retention = retention
	for i := range changes {
		mustApply(t, s, putTeam("team", float64(i+1)))
	}
	// The head, the team, and an audit entry and a change row for each version that is kept.
	assert.Equal(t, table.Len(), 2+2*retention)
	entries, err := s.Audit(t.Context(), 100)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), retention)
	assert.Equal(t, entries[0].Version, s.Snapshot().Version)
}

func TestDenySet(t *testing.T) {
	table := ibistablefake.New()
	a, b := NewStore(table), NewStore(table)
	mustApply(t, a, putTeam("tuul-floor", 1))
	mustApply(t, a, addKey("tuul-floor", "mill"))
	table.SetDown(true)
	a.Deny(HashKey("mill"))
	_, ok := a.Snapshot().Authenticate("mill")
	assert.Assert(t, !ok)
	assert.Assert(t, b.Adopt(a.Snapshot()))
	assert.DeepEqual(t, b.Denied(), []KeyHash{HashKey("mill")})
	assert.Assert(t, !b.Adopt(a.Snapshot()), "the same version was adopted twice")

	accepted := withdrawKey("tuul-floor", "mill")
	a.DeferWithdrawal(HashKey("mill"), accepted)

	table.SetDown(false)
	assert.NilError(t, b.ApplyWithdrawals(t.Context(), testTime))
	assert.Equal(t, len(b.Snapshot().Teams["tuul-floor"].Keys), 1, "a store that did not accept the withdrawal wrote it first")
	assert.NilError(t, a.ApplyWithdrawals(t.Context(), testTime))
	entries, err := a.Audit(t.Context(), 1)
	assert.NilError(t, err)
	assert.Equal(t, entries[0].Change, accepted.ID)
	assert.Equal(t, entries[0].Operator, accepted.Operator)
	newStore := NewStore(table)
	assert.NilError(t, newStore.Poll(t.Context()))
	_, ok = newStore.Snapshot().Authenticate("mill")
	assert.Assert(t, !ok)
	_, err = a.Apply(t.Context(), change(func(c *Change) {
		c.AddKey = &AddKey{Team: "tuul-floor", Key: Key{Name: "again", Hash: HashKey("mill")}}
	}))
	assert.Assert(t, Invalid.Has(err), "a withdrawn key was added again: %v", err)
}

// If the store that accepted a withdrawal fails, another one must write it after maxSkippedCalls calls.
func TestWithdrawalOfFailedStoreIsWritten(t *testing.T) {
	table := ibistablefake.New()
	s := NewStore(table)
	mustApply(t, s, putTeam("tuul-floor", 1))
	mustApply(t, s, addKey("tuul-floor", "mill"))
	s.Deny(HashKey("mill"))
	for range maxSkippedCalls {
		assert.NilError(t, s.ApplyWithdrawals(t.Context(), testTime))
		assert.Equal(t, len(s.Snapshot().Teams["tuul-floor"].Keys), 1)
	}
	assert.NilError(t, s.ApplyWithdrawals(t.Context(), testTime))
	assert.Equal(t, len(s.Snapshot().Teams["tuul-floor"].Keys), 0)
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := NewStore(ibistablefake.New())
	mustApply(t, s, putTeam("tuul-floor", 1))
	mustApply(t, s, addKey("tuul-floor", "mill"))
	s.Deny(HashKey("x"))
	for name, roundTrip := range map[string]func(*Snapshot) (*Snapshot, error){
		"json": func(s *Snapshot) (*Snapshot, error) {
			b, err := json.Marshal(s)
			assert.NilError(t, err)
			got := new(Snapshot)
			return got, json.Unmarshal(b, got)
		},
		"cbor": func(s *Snapshot) (*Snapshot, error) {
			b, err := cbor.Marshal(s)
			assert.NilError(t, err)
			got := new(Snapshot)
			return got, cbor.Unmarshal(b, got)
		},
	} {
		got, err := roundTrip(s.Snapshot())
		assert.NilError(t, err, name)
		team, ok := got.Authenticate("mill")
		assert.Assert(t, ok && team == "tuul-floor", name)
		assert.DeepEqual(t, got.Denied, s.Snapshot().Denied)
	}
}

func TestInvalidChanges(t *testing.T) {
	s := NewStore(ibistablefake.New())
	mustApply(t, s, putTeam("tuul-floor", 1))
	mustApply(t, s, putTeam("tuul-desk", 1))
	mustApply(t, s, addKey("tuul-floor", "mill"))
	for name, tc := range map[string]struct {
		c    Change
		want func(error) bool
	}{
		"none":           {change(func(*Change) {}), Invalid.Has},
		"two":            {change(func(c *Change) { c.DeleteTeam, c.DeleteOperator = "a", "b" }), Invalid.Has},
		"share":          {putTeam("tuul-floor", 0), Invalid.Has},
		"name":           {putTeam("Tuul Floor", 1), Invalid.Has},
		"no such team":   {addKey("other", "k"), NotFound.Has},
		"key name twice": {addKey("tuul-floor", "mill"), Invalid.Has},
		"key of another": {addKey("tuul-desk", "mill"), Invalid.Has},
		"no such key":    {withdrawKey("tuul-floor", "desk"), NotFound.Has},
		"bootstrap":      {change(func(c *Change) { c.PutOperator = &PutOperator{Name: BootstrapOperator} }), Invalid.Has},
		"no reason":      {change(func(c *Change) { c.SetAside = &SetAside{Server: "a"} }), Invalid.Has},
		"not set aside":  {change(func(c *Change) { c.Return = &Return{Server: "a"} }), NotFound.Has},
		"path in server": {change(func(c *Change) { c.SetAside = &SetAside{Server: "a/b", Reason: "r"} }), Invalid.Has},
	} {
		_, err := s.Apply(t.Context(), tc.c)
		assert.Check(t, tc.want(err), "%s: %v", name, err)
	}
}

// TestVersionNeverDecreases drives three stores through random changes, polls, outages, faults and exchanges of
// snapshots. The version of a store must never decrease, and its snapshot must be the one of that version.
func TestVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := ibistablefake.New()
		stores := []*Store{NewStore(table), NewStore(table), NewStore(table)}
		assert.NilError(rt, stores[0].Poll(t.Context()))
		last := make([]int64, len(stores))
		shareByVersion := make(map[int64]float64) // share of the team by version
		n, down := 0, false
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(rt *rapid.T) {
				if down {
					return
				}
				n++
				res, err := stores[rapid.IntRange(0, 2).Draw(rt, "store")].Apply(t.Context(), putTeam("team", float64(n)))
				assert.NilError(rt, err)
				shareByVersion[res.Version] = float64(n)
			},
			"fault": func(rt *rapid.T) {
				table.Inject(rapid.SampledFrom([]ibistablefake.Fault{
					ibistablefake.LostReply, ibistablefake.LostRequest, ibistablefake.Late, ibistablefake.Contended,
				}).Draw(rt, "fault"))
			},
			"late": func(*rapid.T) { table.ApplyLate() },
			"down": func(*rapid.T) { down = !down; table.SetDown(down) },
			"poll": func(rt *rapid.T) { _ = stores[rapid.IntRange(0, 2).Draw(rt, "store")].Poll(t.Context()) },
			"adopt": func(rt *rapid.T) {
				stores[rapid.IntRange(0, 2).Draw(rt, "to")].Adopt(stores[rapid.IntRange(0, 2).Draw(rt, "from")].Snapshot())
			},
			"old": func(rt *rapid.T) {
				stores[0].Adopt(&Snapshot{Version: rapid.Int64Range(0, last[0]).Draw(rt, "version")})
			},
			"": func(rt *rapid.T) {
				for i, s := range stores {
					snap := s.Snapshot()
					assert.Assert(rt, snap.Version >= last[i])
					last[i] = snap.Version
					if snap.Version > 1 {
						assert.Equal(rt, snap.Teams["team"].Share, shareByVersion[snap.Version])
					}
				}
			},
		})
	})
}
