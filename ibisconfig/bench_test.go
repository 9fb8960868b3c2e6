package ibisconfig

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibistablefake"
)

// largeStore returns a store whose snapshot has 140 teams with 8 keys each.
func largeStore(b *testing.B) *Store {
	s := NewStore(ibistablefake.New())
	assert.NilError(b, s.Poll(b.Context()))
	snap := s.Snapshot().clone()
	for i := range 140 {
		t := Team{Name: fmt.Sprint("team-", i), Share: 1, Version: 1}
		for j := range 8 {
			t = t.WithKey(Key{Name: fmt.Sprint("key-", j), Hash: HashKey(fmt.Sprintf("%d/%d", i, j))})
		}
		snap.Teams[t.Name] = t
	}
	s.current.Store(snap.Indexed())
	return s
}

func BenchmarkAuthenticate(b *testing.B) {
	s := largeStore(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Snapshot().Authenticate("70/3"); !ok {
			b.Fatal("a valid key was refused")
		}
	}
}

func BenchmarkApply(b *testing.B) {
	s := largeStore(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Apply(b.Context(), putTeam("team-70", 2)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPollUnchanged(b *testing.B) {
	s := largeStore(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Poll(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
