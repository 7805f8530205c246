package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
	"fennelshunt.example/fennelshunt/request/verdict"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// testService is a service with a fixed number of slots and a fixed time per request, in virtual
// time.
type testService struct {
	c     *Controller
	slots chan struct{}
	work  time.Duration
	// grant is the time until the grant of a free slot arrives.
	grant time.Duration

	mu     sync.Mutex
	served map[string]int
	late   map[string]int // refused after waiting
	early  map[string]int // refused on arrival
}

func newTestService(slots int, work time.Duration, o Options) *testService {
	return &testService{c: New(o), slots: make(chan struct{}, slots), work: work,
		served: map[string]int{}, late: map[string]int{}, early: map[string]int{}}
}

// request takes one request through admission, slot and work.
func (s *testService) request(team string, timeout time.Duration) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	pass, err := s.c.Enter(ctx, Request{Service: "s", Team: team, Deadline: start.Add(timeout)})
	s.mu.Lock()
	switch {
	case err == nil:
	case time.Since(start) == 0:
		s.early[team]++
	default:
		s.late[team]++
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	outcome := Other
	defer func() { pass.Done(outcome) }()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	time.Sleep(s.grant)
	pass.Started()
	time.Sleep(s.work)
	<-s.slots
	outcome = Late
	if time.Since(start) <= timeout {
		outcome = Completed
		s.mu.Lock()
		s.served[team]++
		s.mu.Unlock()
	}
	return nil
}

// load sends n requests of a team at a fixed interval.
func (s *testService) load(wg *sync.WaitGroup, team string, n int, every, timeout time.Duration) {
	wg.Go(func() {
		for range n {
			wg.Go(func() { _ = s.request(team, timeout) })
			time.Sleep(every)
		}
	})
}

func TestFloodOfOneTeamDoesNotStarveAnother(t *testing.T) {
	// One team offers ten times what the service can serve, another a tenth of it. With a single
	// queue in order of arrival the second team's requests would time out.
	synctest.Test(t, func(t *testing.T) {
		s := newTestService(8, 40*time.Millisecond, Options{}) // 200 requests/s
		var wg sync.WaitGroup
		s.load(&wg, "flood", 20000, 500*time.Microsecond, time.Second)
		s.load(&wg, "quiet", 200, 50*time.Millisecond, time.Second)
		wg.Wait()
		require.GreaterOrEqual(t, s.served["quiet"], 198, "late %v, early %v", s.late, s.early)
		total := s.served["flood"] + s.served["quiet"]
		require.GreaterOrEqual(t, total, 1900, "of 2000 that the service can serve in 10 s")
		require.Less(t, s.late["flood"], s.early["flood"]/20, "refusals come late")
	})
}

func TestGoodputUnderOverload(t *testing.T) {
	// Guards against a service that at twice its capacity serves only half of what it could,
	// because requests wait so long that they are answered too late. More requests arrive than
	// the slots can serve, for five seconds.
	const slots, work = 32, 50 * time.Millisecond
	for _, timeout := range []time.Duration{120 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second} {
		for _, times := range []int{2, 5} {
			t.Run(fmt.Sprint(timeout, times), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newTestService(slots, work, Options{})
					every := work / time.Duration(slots*times)
					n := int(5 * time.Second / every)
					var wg sync.WaitGroup
					s.load(&wg, "a", n, every, timeout)
					wg.Wait()
					capacity := n / times
					refused := s.early["a"] + s.late["a"]
					t.Logf("good %.1f %%, refused on arrival %.1f %%, ran late %d", 100*float64(s.served["a"])/float64(capacity),
						100*float64(s.early["a"])/float64(refused), n-s.served["a"]-refused)
					require.GreaterOrEqual(t, s.served["a"], capacity*95/100)
					require.GreaterOrEqual(t, s.early["a"], refused*95/100)
				})
			})
		}
	}
}

func TestInfeasibleRequestsAreRefusedBeforeTheirDeadline(t *testing.T) {
	// Requests wait, then every instance hangs. If the wait were estimated on arrival only,
	// callers would wait for their whole deadline until they are told that nothing ran.
	synctest.Test(t, func(t *testing.T) {
		s := newTestService(1, 10*time.Millisecond, Options{Window: 1})
		var wg sync.WaitGroup
		s.load(&wg, "a", 50, 8*time.Millisecond, 500*time.Millisecond)
		wg.Wait()
		s.slots <- struct{}{} // no slot is released any more
		for range 40 {
			wg.Go(func() { _ = s.request("a", 2*time.Second) })
		}
		synctest.Wait()
		require.Positive(t, s.c.Waiting("s"))
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		waiting := s.c.Waiting("s")
		wg.Wait()
		require.Less(t, waiting, 5, "after three quarters of the time")
	})
}

// TestSlowGrantsHoldNothingBackWhileSlotsAreFree guards against callers that are refused while
// slots are idle: slow starts reduce the window, and a small window makes starts slow.
func TestSlowGrantsHoldNothingBackWhileSlotsAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestService(48, 5*time.Millisecond, Options{Saturated: func(string) bool { return false }})
		s.grant = 200 * time.Millisecond // 48 slots serve 234 requests/s at this delay
		var wg sync.WaitGroup
		s.load(&wg, "a", 2000, 5*time.Millisecond, time.Second)
		wg.Wait()
		require.GreaterOrEqual(t, s.served["a"], 1990, "late %v, early %v", s.late, s.early)
	})
}

func TestRefusalsHaveARetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Options{CallerRate: 10, CallerBurst: 2, Members: func() int { return 4 }})
		require.NoError(t, c.Limit("t", "a", 0))
		require.NoError(t, c.Limit("t", "a", 0))
		err := c.Limit("t", "a", 0)
		e := verdict.As(err)
		require.Equal(t, CodeCallerRate, e.Code)
		require.Equal(t, verdict.NotRun, e.Verdict)
		require.InDelta(t, 112, e.RetryAfterMillis, 13, "100 ms and a quarter of jitter")
		require.NoError(t, c.Limit("t", "b", 0), "another caller")
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, c.Limit("t", "a", 0))

		passed := 0
		for i := range 100 {
			if c.Limit("u", fmt.Sprint(i), 80) == nil {
				passed++
			}
		}
		require.Equal(t, 20, passed, "a quarter of the team's rate on each of four daemons")
	})
}

func TestQueueInvariants(t *testing.T) {
	// Random teams, deadlines, cancellations and outcomes: every request gets one answer, the
	// limits hold, and nothing remains in the queue.
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		window := rapid.IntRange(1, 5).Draw(rt, "window")
		limit := rapid.IntRange(1, 10).Draw(rt, "queue")
		synctest.Test(t, func(t *testing.T) {
			c := New(Options{Window: window, MaxQueue: limit})
			var wg sync.WaitGroup
			answers := 0
			var mu sync.Mutex
			for _, s := range steps {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
					defer cancel()
					pass, err := c.Enter(ctx, Request{Service: "s", Team: s.team, Deadline: time.Now().Add(s.deadline)})
					mu.Lock()
					answers++
					mu.Unlock()
					if err != nil {
						require.Equal(t, verdict.NotRun, verdict.Of(err))
						require.Positive(t, verdict.As(err).RetryAfterMillis)
						return
					}
					time.Sleep(s.work)
					if s.starts {
						pass.Started()
					}
					pass.Done(s.outcome)
				})
				time.Sleep(s.gap)
				synctest.Wait()
				checkQueue(t, c.queue("s"), window, limit)
			}
			wg.Wait()
			require.Equal(t, len(steps), answers)
			q := c.queue("s")
			require.Zero(t, q.admitted)
			require.Zero(t, q.waiting)
			require.Empty(t, q.teams)
		})
	})
}

type step struct {
	team                         string
	deadline, timeout, work, gap time.Duration
	starts                       bool
	outcome                      Outcome
}

func drawStep(t *rapid.T) step {
	ms := func(name string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
	}
	return step{
		team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), deadline: ms("deadline", 300),
		timeout: ms("patience", 300), work: ms("work", 60), gap: ms("gap", 5),
		starts: rapid.Bool().Draw(t, "starts"), outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "end")),
	}
}

func checkQueue(t *testing.T, q *queue, window, limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	require.GreaterOrEqual(t, q.admitted, 0)
	require.LessOrEqual(t, q.admitted, window)
	require.LessOrEqual(t, q.waiting, limit)
	sum := 0
	for name, team := range q.teams {
		require.Equal(t, name, team.name)
		require.Positive(t, team.tree.Len(), "an empty team is kept")
		sum += team.tree.Len()
	}
	require.Equal(t, q.waiting, sum)
}
