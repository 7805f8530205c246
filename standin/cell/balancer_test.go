package cell

import (
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a balancer that says that no daemon is ready: connections that were opened at
// the same time advanced each other's turns, and one met the daemon that stops each time.
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
