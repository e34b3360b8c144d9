package queue

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and length for the property tests, which flags on the
// command line override.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "200")
	flag.Parse()
	os.Exit(m.Run())
}
