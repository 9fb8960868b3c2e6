package ibisjournal

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that runs are reproducible. The flag -rapid.seed
// overrides it, and zero chooses a random seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
