package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// cpuModel is a single CPU that executes one thing at a time.
type cpuModel struct{ turn chan struct{} }

func (p cpuModel) use(d time.Duration) {
	p.turn <- struct{}{}
	time.Sleep(d)
	<-p.turn
}

// TestRefusedCallersDoNotKeepAServiceDown guards against a service that stays down after a short
// stall or burst because its CPU time is spent on refusing callers that retry too soon.
func TestRefusedCallersDoNotKeepAServiceDown(t *testing.T) {
	t.Run("stall", func(t *testing.T) { testRetries(t, true) })
	t.Run("burst", func(t *testing.T) { testRetries(t, false) })
}

// testRetries simulates a minute of a service whose CPU also handles the refusals.
func testRetries(t *testing.T, stalls bool) {
	const (
		arrivals    = 160 // per second, of 200 that the CPU can handle
		tryCost     = time.Millisecond
		workCost    = 4 * time.Millisecond
		timeout     = 2 * time.Second
		load        = 60 * time.Second
		disturbance = 5 * time.Second // duration of the stall, or of the additional burst
	)
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{})
		cpu := cpuModel{make(chan struct{}, 1)}
		slots := make(chan struct{}, 16)
		var mu sync.Mutex
		tries, served, longest := 0, 0, time.Duration(0)
		try := func() error {
			cpu.use(tryCost)
			deadline := time.Now().Add(timeout)
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			pass, err := c.Enter(ctx, Request{Service: "s", Deadline: deadline})
			if err != nil {
				return err
			}
			outcome := Other
			defer func() { pass.Done(outcome) }()
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return refuse(503, CodeDeadline, errDeadline, time.Second)
			}
			defer func() { <-slots }()
			pass.Started()
			cpu.use(workCost)
			if outcome = Completed; ctx.Err() != nil {
				outcome = Late
			}
			return ctx.Err()
		}
		call := func() {
			arrived := time.Now()
			for {
				err := try()
				mu.Lock()
				tries++
				if err == nil {
					served++
					longest = max(longest, time.Since(arrived))
				}
				mu.Unlock()
				if err == nil {
					return
				}
				time.Sleep(max(time.Duration(verdict.As(err).RetryAfterMillis)*time.Millisecond, minRetryAfter))
			}
		}
		var wg sync.WaitGroup
		time.AfterFunc(10*time.Second, func() {
			if stalls {
				cpu.use(disturbance)
				return
			}
			for range int(arrivals * disturbance.Seconds()) {
				wg.Go(call)
				time.Sleep(time.Millisecond)
			}
		})
		for range int(arrivals * load.Seconds()) {
			wg.Go(call)
			time.Sleep(time.Second / arrivals)
		}
		mu.Lock()
		good := served
		mu.Unlock()
		wg.Wait()
		t.Logf("at the end of the load %d of %d served; %.1f tries each, longest %v", good, served, float64(tries)/float64(served), longest)
		require.GreaterOrEqual(t, good, int(arrivals*(load-disturbance).Seconds()), "the backlog has not grown")
	})
}
