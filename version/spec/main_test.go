package spec

import (
	"testing"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

// TestMain fixes the seed so that every run gives the same verdict.
func TestMain(m *testing.M) { rapidtest.Main(m) }
