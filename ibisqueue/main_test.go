package ibisqueue_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed, unless the command line names another.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261203")
	}
	os.Exit(m.Run())
}
