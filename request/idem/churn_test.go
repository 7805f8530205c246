package idem

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
)

const (
	churnDaemons = 3
	churnKeys    = 400
	churnTime    = 2 * time.Minute
)

var errRefused = errors.New("connection refused")

// churn sends keyed requests with retries under faults and counts the sends.
type churn struct {
	*cell
	r            *rand.Rand
	incarnations uint64

	mu      sync.Mutex
	ran     map[string]int  // number of sends that ran at the endpoint, by key
	answers map[string]bool // keys with an answer
	killed  map[*daemon]bool
}

// TestChurnSendsAtMostOnce retries non-idempotent keys at random daemons, with
// crashes, takeovers from owners that are not notified, and every fault of the
// store (see churn.fault). It guards against a key that runs twice, and against
// "not run" for a request that ran, because an intent was not durable, not read,
// or written after the fence.
func TestChurnSendsAtMostOnce(t *testing.T) {
	seeds := 6
	if os.Getenv("FENNEL_LONG") != "" {
		seeds = 200
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) { runChurn(t, uint64(seed)) })
	}
}

func runChurn(t *testing.T, seed uint64) {
	c := &churn{
		cell: newCell(t, churnDaemons, churnOptions), r: rand.New(rand.NewPCG(seed, 3)), incarnations: 1,
		ran: map[string]int{}, answers: map[string]bool{}, killed: map[*daemon]bool{},
	}
	defer c.close()
	for n := range Shards {
		c.own(n, c.daemons[n%churnDaemons])
	}
	var running sync.WaitGroup
	end := time.Now().Add(churnTime)
	for time.Now().Before(end) {
		if c.r.IntN(20) == 0 {
			c.fault()
		}
		k, d := c.r.IntN(churnKeys), c.daemons[c.r.IntN(churnDaemons)]
		draw := c.r.Float64()
		running.Go(func() { c.arrive(d, newRequest(fmt.Sprint(k)), draw) })
		time.Sleep(time.Duration(c.r.IntN(60)) * time.Millisecond)
	}
	running.Wait()
	c.kv.SetFaults(kv.Faults{})
	for key, n := range c.ran {
		require.LessOrEqual(t, n, 1, "seed %d: key %s ran %d times", seed, key, n)
	}
	require.Greater(t, len(c.answers), churnKeys/20, "seed %d: too few keys completed", seed)
	c.requireServing()
}

func churnOptions(o *Options) {
	o.HeadSize = 8
	o.WritesPerSecond = 50 * float64(len(o.Members.Members()))
}

// arrive makes one arrival at d, which may no longer be the key owner.
func (c *churn) arrive(d *daemon, r Request, draw float64) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 3*time.Second)
	defer cancel()
	a, answer, err := d.Begin(ctx, r)
	switch {
	case answer != nil:
		if string(answer.Body) != r.Key.Text {
			c.t.Errorf("key %s got the answer of %s", r.Key.Text, answer.Body)
		}
	case err != nil:
	case draw < 0.05:
		time.Sleep(time.Second) // suspended before its intent
		c.run(ctx, d, r, a, draw)
	default:
		c.run(ctx, d, r, a, draw)
	}
}

func (c *churn) run(ctx context.Context, d *daemon, r Request, a *Attempt, draw float64) {
	defer a.Close()
	if err := a.Intend(ctx); err != nil {
		if verdict.Of(err) != verdict.NotRun {
			c.t.Errorf("a refused intent must be not run: %v", err)
		}
		a.Fail(err)
		return
	}
	time.Sleep(time.Duration(draw * float64(200*time.Millisecond)))
	if c.isKilled(d) {
		return // the process crashed after its intent, before or after sending
	}
	switch {
	case draw < 0.2:
		a.Fail(&verdict.Error{Verdict: verdict.NotRun, Err: errRefused})
	case draw < 0.3:
		c.count(r)
		a.Fail(&verdict.Error{Verdict: verdict.MayHaveRun, Err: errRefused})
	default:
		c.count(r)
		c.mu.Lock()
		c.answers[r.Key.Text] = true
		c.mu.Unlock()
		a.Finish(&Answer{Status: 200, Body: []byte(r.Key.Text)})
	}
}

func (c *churn) count(r Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran[r.Key.Text]++
}

func (c *churn) isKilled(d *daemon) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed[d]
}

func (c *churn) fault() {
	i := c.r.IntN(churnDaemons)
	switch c.r.IntN(8) {
	case 0:
		c.kill(i)
	case 1, 2:
		// The old owner is not notified: it is suspended or partitioned.
		c.own(c.r.IntN(Shards), c.daemons[i])
	case 3:
		n := c.r.IntN(Shards)
		old := c.daemons[c.r.IntN(churnDaemons)]
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_ = old.Releasing(ctx, resource(n))
		}()
	case 4:
		c.kv.SetFaults(kv.Faults{LoseAnswers: 0.3, LoseRequests: 0.2, Delay: 30 * time.Millisecond})
	case 5:
		c.kv.SetFaults(kv.Faults{Delay: 1500 * time.Millisecond, DelayChance: 0.3, LoseAnswers: 0.2})
	case 6:
		c.kv.SetFaults([]kv.Faults{{Down: true}, {Hang: true}}[c.r.IntN(2)])
	case 7:
		c.kv.SetFaults(kv.Faults{})
	}
}

// kill stops a daemon and starts its next incarnation. Its shards go to random
// daemons.
func (c *churn) kill(i int) {
	old := c.daemons[i]
	c.mu.Lock()
	c.killed[old] = true
	c.mu.Unlock()
	old.stop()
	c.incarnations++
	c.add(i, c.incarnations, churnOptions)
	for n := range Shards {
		if c.claims.Claim(resource(n)).Owner == old.ref {
			c.own(n, c.daemons[c.r.IntN(churnDaemons)])
		}
	}
}

// requireServing asserts that a new key can run in every shard again.
func (c *churn) requireServing() {
	time.Sleep(time.Minute)
	for n := range Shards {
		d := c.daemons[n%churnDaemons]
		c.own(n, d)
		time.Sleep(10 * time.Second)
		r := newRequest("new")
		for r.shard() != n {
			r.Key.Text += "x"
		}
		a := begun(c.t, d, r)
		require.NoError(c.t, a.Intend(c.t.Context()))
		a.Finish(&Answer{Status: 200})
	}
}
