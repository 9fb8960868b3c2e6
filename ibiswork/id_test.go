package ibiswork

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestIDCheck(t *testing.T) {
	for _, tc := range []struct{ name, id, want string }{
		{"Fresh", string(NewID()), ""},
		{"Empty", "", "not a UUID"},
		{"UpperCase", "01A23DDD-7F3B-7572-BFBB-9668ABCF663E", "canonical lower-case form"},
		{"Version4", "7c9e6679-7425-40de-944b-e07fc1f90ae7", "version 4"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if err := ID(tc.id).Check(); tc.want == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, tc.want)
			}
		})
	}
}

// An instant never contradicts the order of the IDs, also within one millisecond.
func TestInstantAgreesWithBefore(t *testing.T) {
	ids := make([]ID, 2000)
	for i := range ids {
		ids[i] = NewID()
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.SampledFrom(ids).Draw(t, "a"), rapid.SampledFrom(ids).Draw(t, "b")
		if a.Instant().Before(b.Instant()) {
			assert.Assert(t, a.Before(b), "%s and %s", a, b)
		}
	})
}

func TestShardIsInRange(t *testing.T) {
	for range 100 {
		s := NewID().Shard(7)
		assert.Assert(t, s >= 0 && s < 7)
	}
}
