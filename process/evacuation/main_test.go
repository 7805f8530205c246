package evacuation

import (
	"testing"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { rapidtest.Main(m) }
