// Package ibisseed runs a package's property tests (pgregory.net/rapid) with a fixed seed, so that every run
// generates the same values. The flag -rapid.seed selects another seed.
//
// Usage, in a test file:
//
//	func TestMain(m *testing.M) { ibisseed.Main(m) }
package ibisseed

import (
	"flag"
	"os"
	"testing"
)

// Seed is the default seed. It is a string because it is assigned to a flag.
const Seed = "20261203"

// Main parses the flags, sets -rapid.seed to Seed if it is not set or zero (rapid's value for a random seed),
// runs the tests of m and exits with their result.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(Seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
