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

// TestCallersOfAServiceThatRecoveredReturnSoon guards against callers that are sent away for ten
// seconds, beside idle slots, because their service had no slots for two seconds: when its slots
// have changed their owner, on a daemon that has just started, and on one that knows the service.
func TestCallersOfAServiceThatRecoveredReturnSoon(t *testing.T) {
	t.Run("just started", func(t *testing.T) { testRecovery(t, 0) })
	t.Run("in service", func(t *testing.T) { testRecovery(t, 5*time.Second) })
}

// testRecovery simulates a service that has no slots for two seconds, after the given time.
func testRecovery(t *testing.T, before time.Duration) {
	const (
		arrivals = 200 // per second; the slots serve 9,600
		work     = 5 * time.Millisecond
		timeout  = 5 * time.Second
		stall    = 2 * time.Second
		// startsInStall is how many requests start while the slots are without an owner: the
		// daemon holds a few credits of its own.
		startsInStall = 6
	)
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{})
		slots := make(chan struct{}, 48)
		begin := time.Now()
		time.AfterFunc(before, func() {
			for range cap(slots) {
				slots <- struct{}{}
			}
			for range startsInStall {
				time.Sleep(stall / (startsInStall + 1))
				<-slots
				slots <- struct{}{} // taken again at once by the next owner's holders
			}
		})
		time.AfterFunc(before+stall, func() {
			for range cap(slots) {
				<-slots
			}
		})
		var mu sync.Mutex
		longest, tries, calls := time.Duration(0), 0, 0
		call := func() {
			arrived := time.Now()
			for {
				deadline := time.Now().Add(timeout)
				err := func() error {
					ctx, cancel := context.WithDeadline(context.Background(), deadline)
					defer cancel()
					pass, err := c.Enter(ctx, Request{Service: "s", Deadline: deadline})
					if err != nil {
						return err
					}
					defer func() { pass.Done(Completed) }()
					select {
					case slots <- struct{}{}:
					case <-ctx.Done():
						return refuse(503, CodeDeadline, errDeadline, time.Second)
					}
					defer func() { <-slots }()
					pass.Started()
					time.Sleep(work)
					return nil
				}()
				mu.Lock()
				tries++
				if err == nil {
					calls++
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
		for time.Since(begin) < before+10*time.Second {
			wg.Go(call)
			time.Sleep(time.Second / arrivals)
		}
		wg.Wait()
		t.Logf("%d calls, %.2f tries each, longest %v", calls, float64(tries)/float64(calls), longest)
		require.Less(t, longest, stall+timeout, "a refusal costs a caller more than its own time limit")
	})
}
