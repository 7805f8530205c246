package versions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/history"
	"fennelshunt.example/fennelshunt/version/spec"
)

// TestVersionsOnlyRiseAndConverge guards against a daemon that reverts to an older version, or
// stays behind permanently, because it takes a late head, or a peer that is behind, for the
// newest. Files are applied on any daemon while the store goes down and comes back, answers and
// messages are lost, and daemons are cut off, suspended and replaced.
func TestVersionsOnlyRiseAndConverge(t *testing.T) {
	seeds := uint64(4)
	if os.Getenv("FENNEL_LONG") != "" {
		seeds = 200
	}
	for seed := range seeds {
		inBubble(t, 6, func(c *cell) { runRandom(t, c, rand.New(rand.NewPCG(seed, 5))) })
	}
}

// runRandom makes 150 random steps, then removes all faults and checks convergence.
func runRandom(t *testing.T, c *cell, random *rand.Rand) {
	var applied uint64
	for range 150 {
		applied = max(applied, step(c, random))
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		c.check()
	}
	c.kv.SetFaults(kv.Faults{})
	c.net.SetLoss(0)
	for i := range c.daemons {
		c.net.Resume(c.daemons[i].view.Self().Ref)
		for j := range i {
			c.net.Heal(c.daemons[i].id, c.daemons[j].id)
		}
	}
	time.Sleep(PropagationLimit)
	c.check()
	latest, err := c.daemons[0].applier.Latest(context.Background())
	require.NoError(t, err)
	require.GreaterOrEqual(t, latest.Version, applied)
	for _, d := range c.daemons {
		require.Equal(t, latest.Version, d.replicator.Current().Version, "%s stays behind", d.id)
		require.True(t, spec.SameContent(latest.Config, d.replicator.Current()), "%s has other content", d.id)
	}
	require.Empty(t, Lagging(c.daemons[1].replicator.Survey(context.Background()), latest.Version))
}

// step makes one random change and returns the version applied, if any.
func step(c *cell, random *rand.Rand) uint64 {
	i, j := random.IntN(len(c.daemons)), random.IntN(len(c.daemons))
	d := c.daemons[i]
	switch random.IntN(12) {
	case 0:
		c.kv.SetFaults(kv.Faults{Down: true})
	case 1:
		c.kv.SetFaults(kv.Faults{LoseAnswers: 0.3, LoseRequests: 0.1, Delay: 50 * time.Millisecond})
	case 2, 3:
		c.kv.SetFaults(kv.Faults{})
	case 4:
		c.net.SetLoss(random.Float64() * 0.2)
	case 5:
		c.net.Cut(d.id, c.daemons[j].id)
	case 6:
		c.net.Heal(d.id, c.daemons[j].id)
	case 7:
		c.net.Pause(d.view.Self().Ref)
	case 8:
		c.net.Resume(d.view.Self().Ref)
	case 9:
		c.net.Resume(d.view.Self().Ref)
		c.replace(i)
	default:
		return apply(c, d, random)
	}
	return 0
}

// apply applies a random file on d.
func apply(c *cell, d *daemon, random *rand.Rand) uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	name, count := fmt.Sprintf("f%d", random.IntN(5)), 1+random.IntN(1000)
	base := d.replicator.Current().Version
	file := fileOf(name, count)
	if random.IntN(6) == 0 {
		file = &spec.File{Name: name}
	}
	a, err := d.applier.Apply(ctx, file, base, history.By{Author: "x"})
	if err != nil {
		return 0 // a fault, or the base is older than the latest version
	}
	return a.Version
}
