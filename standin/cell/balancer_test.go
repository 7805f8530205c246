package cell

import (
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestEachConnectionTriesEveryDaemon guards against a false report that no daemon is ready:
// connections opened at the same time advanced each other's position in the order, and one of
// them met the stopping daemon at each try.
func TestEachConnectionTriesEveryDaemon(t *testing.T) {
	b := &Balancer{}
	var all sync.WaitGroup
	for range 200 {
		all.Go(func() {
			turns := b.turns(3)
			slices.Sort(turns)
			assert.Equal(t, []int{0, 1, 2}, turns)
		})
	}
	all.Wait()
	assert.Empty(t, b.turns(0))
}
