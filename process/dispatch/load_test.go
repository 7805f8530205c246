package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLargeStateGetsTimeToBeRead(t *testing.T) {
	// Symptom: a new leader reads the state for as long as its term lasts, and nothing is
	//   served.
	// Sequence: the state takes four seconds over a small link.
	// Cause: each reading was given up after three, and begun anew.
	var sum time.Duration
	for try, want := range []time.Duration{3, 6, 12, 24, 24, 24} {
		require.Equal(t, want*time.Second, loadBound(try))
		sum += loadBound(try)
	}
	require.Less(t, sum, 100*time.Second)
}
