package spec

import (
	"testing"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

// TestMain fixes the seed, so that runs are reproducible.
func TestMain(m *testing.M) { rapidtest.Main(m) }
