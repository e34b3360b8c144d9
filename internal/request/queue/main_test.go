package queue

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and length of the property tests unless the command
// names others.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "200")
	flag.Parse()
	os.Exit(m.Run())
}
