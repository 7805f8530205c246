package spec

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
