package ibislease

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run draws the same cases. The flag -rapid.seed
// sets another seed; 0 means a random one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
