// Package ibisseed gives the property tests of a package a fixed seed, so that every run draws the same
// values unless the command line names another seed.
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

// Seed is the seed of property tests when -rapid.seed does not name another.
const Seed = "20261203"

// Main runs the tests of a package and exits.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set(Seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
