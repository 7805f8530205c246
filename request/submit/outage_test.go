package submit

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/outage"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// daemonStore is the store as one daemon reaches it.
type daemonStore struct {
	*kv.Memory
	rejected atomic.Bool // the store refuses this daemon's calls
	// rejectAfter is the time in nanoseconds after which the store refuses this daemon's writes; 0: it
	// does not.
	rejectAfter atomic.Int64
}

func (r *daemonStore) refuse() error {
	if r.rejected.Load() {
		return fmt.Errorf("rejected: %w", store.ErrUnavailable)
	}
	return nil
}

func (r *daemonStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := r.refuse(); err != nil {
		return store.Entry{}, err
	}
	return r.Memory.Get(ctx, key)
}

func (r *daemonStore) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	if err := r.refuse(); err != nil {
		return 0, err
	}
	if after := r.rejectAfter.Load(); after > 0 {
		time.Sleep(time.Duration(after))
		return 0, fmt.Errorf("rejected: %w", store.ErrUnavailable)
	}
	return r.Memory.Commit(ctx, t)
}

func (r *daemonStore) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := r.refuse(); err != nil {
		return err
	}
	return r.Memory.RenewLease(ctx, id)
}

// daemons is a cell whose daemons share a store and forward to each other.
type daemons struct {
	kv     *kv.Memory
	all    []*Service
	stores []*daemonStore
	// died lists the daemons that do not answer other daemons, although they do what they are asked.
	died sync.Map
	// forwards counts the calls between daemons.
	forwards atomic.Int64
}

// CallAddr implements PeerCaller.
func (d *daemons) CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error) {
	if method != MethodForward {
		return peer.Ref{}, nil
	}
	d.forwards.Add(1)
	for _, s := range d.all {
		if s.o.Self != addr {
			continue
		}
		type reply struct {
			forwardReply
			err error
		}
		result := make(chan reply, 1)
		go func() {
			time.Sleep(time.Millisecond)
			answer, err := s.serveForward(context.WithoutCancel(ctx), req.(offer))
			if _, dead := d.died.Load(addr); !dead {
				result <- reply{answer.(forwardReply), err}
			}
		}()
		select {
		case <-ctx.Done():
			return peer.Ref{}, fmt.Errorf("no answer: %w", ctx.Err())
		case r := <-result:
			*resp.(*forwardReply) = r.forwardReply
			return peer.Ref{}, r.err
		}
	}
	return peer.Ref{}, peer.ErrNotSent
}

// newDaemons returns a cell of n daemons whose members know each other, after 3 s.
func newDaemons(t *testing.T, n int, off bool) *daemons {
	d := &daemons{kv: kv.New()}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	for i := range n {
		name := fmt.Sprint("daemon-", i)
		own := &daemonStore{Memory: d.kv}
		timeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
		e := lead.New(lead.Options{Self: lead.Member{Name: name, Peer: name}, Store: own, Log: zerolog.Nop(),
			StoreTimeout: timeout, RunTerm: func(t *lead.Term) { <-t.Context().Done() }})
		go func() { _ = e.Run(ctx) }()
		stats := &Stats{}
		d.stores = append(d.stores, own)
		d.all = append(d.all, New(Options{Self: name, Store: own, StoreTimeout: timeout, View: e.View(), Peers: d,
			Log: zerolog.Nop(), Stats: stats, Pacer: NewPacer(timeout, stats, off, zerolog.Nop()), Leading: func() *dispatch.Host { return nil }}))
	}
	time.Sleep(3 * time.Second)
	for _, s := range d.all {
		require.Len(t, s.o.View.Members(), n)
	}
	return d
}

// Behavior of callers: they wait 3 s for a submission and send it at most five times. A pause named by
// Retry-After is shortened to maxPauseShare of the time left.
const (
	callerTime    = 3 * time.Second
	callerTries   = 5
	maxPauseShare = 0.4
	// answerMargin is what the platform's adapter reserves for sending an answer.
	answerMargin = 30 * time.Millisecond
)

// callerStats counts what callers were told, by attempt, and what became of their jobs.
type callerStats struct {
	mu sync.Mutex
	// notRun, unknown and late are attempts that ended 503, 504, and after their caller's deadline.
	accepted, notRun, unknown, late int
	attempts                        int
	longest                         time.Duration
	held                            time.Duration       // total time of the attempts that were not accepted
	jobs, lost                      int                 // lost jobs were not accepted in any attempt
	wait                            time.Duration       // total time of the accepted jobs from their first attempt to the last
	refused                         map[work.JobID]bool // every attempt was refused as not run
}

func (c *callerStats) String() string {
	return fmt.Sprintf("jobs %d, accepted %d (mean wait %d ms), lost %d; attempts %d, not run %d, unknown %d, late %d; "+
		"longest %d ms, mean of the others %d ms",
		c.jobs, c.accepted, c.wait.Milliseconds()/int64(max(c.accepted, 1)), c.lost,
		c.attempts, c.notRun, c.unknown, c.late, c.longest.Milliseconds(),
		c.held.Milliseconds()/int64(max(c.notRun+c.unknown, 1)))
}

// call submits one job as a caller does.
func (c *callerStats) call(d *daemons, rng *rand.Rand, id work.JobID) {
	end := time.Now().Add(callerTime)
	began := time.Now()
	allNotRun, accepted := true, false
	for range callerTries {
		left := time.Until(end)
		if left <= 2*answerMargin {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), left-answerMargin)
		sent := time.Now()
		err := d.all[rng.IntN(len(d.all))].Submit(ctx, id, testJob())
		cancel()
		took := time.Since(sent)
		c.mu.Lock()
		c.attempts++
		c.longest = max(c.longest, took)
		pause := 50 * time.Millisecond
		switch {
		case err == nil:
			accepted = true
		case verdict.Of(err) == verdict.NotRun:
			c.notRun++
			c.held += took
			pause = (time.Duration(verdict.As(err).RetryAfterMillis)*time.Millisecond + time.Second - 1).Truncate(time.Second)
		default:
			allNotRun = false
			c.unknown++
			c.held += took
		}
		if took >= left-answerMargin {
			c.late++
		}
		c.mu.Unlock()
		if accepted {
			break
		}
		time.Sleep(min(pause, time.Duration(maxPauseShare*float64(time.Until(end)))))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs++
	switch {
	case accepted:
		c.accepted++
		c.wait += time.Since(began)
	default:
		c.lost++
		if allNotRun {
			c.refused[id] = true
		}
	}
}

// load has callers submit rate jobs per second for the given time, and returns once all have ended.
func (c *callerStats) load(d *daemons, rate float64, period time.Duration) {
	rng := rand.New(rand.NewPCG(7, 11))
	c.refused = map[work.JobID]bool{}
	var wg sync.WaitGroup
	for i, end := 0, time.Now().Add(period); time.Now().Before(end); i++ {
		own := rand.New(rand.NewPCG(uint64(i), 5))
		wg.Go(func() { c.call(d, own, work.JobID(fmt.Sprintf("%016x", i))) })
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
	}
	wg.Wait()
}

// checkTrue requires that no job is in the store whose attempts were all refused as not run.
func (c *callerStats) checkTrue(t *testing.T, d *daemons) {
	time.Sleep(time.Minute)
	for id := range c.refused {
		require.False(t, stored(t, d.kv, dispatch.KeySubmission(id)), "%s was refused as not run", id)
	}
}

// silentThenSlow simulates a store that does not answer for 5.3 s, is slow for 4.3 s, and then quick.
func silentThenSlow(t *testing.T, off bool) *callerStats {
	c := &callerStats{}
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(t, 8, off)
		go func() {
			time.Sleep(2 * time.Second)
			d.kv.SetFaults(kv.Faults{Hang: true, FreezeLeases: true})
			time.Sleep(5300 * time.Millisecond)
			d.kv.SetFaults(kv.Faults{Delay: 350 * time.Millisecond, FreezeLeases: true})
			time.Sleep(4300 * time.Millisecond)
			d.kv.SetFaults(kv.Faults{Delay: 3 * time.Millisecond})
		}()
		d.kv.SetFaults(kv.Faults{Delay: 3 * time.Millisecond})
		before := d.kv.Counts().Total()
		c.load(d, 80, 16*time.Second)
		calls := d.kv.Counts().Total() - before
		var probes, atOnce int64
		for _, s := range d.all {
			probes += s.stats.Probes.Value()
			atOnce += s.stats.RefusedAtOnce.Value()
		}
		t.Logf("pacing off %v: %s; forwards %d, calls of the store %d, probes %d, refused at once %d",
			off, c, d.forwards.Load(), calls, probes, atOnce)
		c.checkTrue(t, d)
	})
	return c
}

func TestOutageHoldsNoSubmissionToItsEnd(t *testing.T) {
	// While the store does not answer for 5.3 s and is then slow for 4.3 s, submissions must not be
	// held until their callers' time is over, and only those that were being written when the
	// outage began may end with an unknown outcome. No fewer jobs may be accepted for that.
	before, after := silentThenSlow(t, true), silentThenSlow(t, false)
	require.Zero(t, after.late)
	require.Less(t, after.unknown, before.unknown/2)
	require.Less(t, after.longest, time.Second)
	require.Less(t, after.held/time.Duration(after.notRun+after.unknown), 60*time.Millisecond)
	require.GreaterOrEqual(t, float64(after.accepted), 0.97*float64(before.accepted))
}

func TestDaemonThatTheStoreRejectsForwards(t *testing.T) {
	// The store rejects three of eight daemons: submissions there must be accepted through others
	// within milliseconds, for as long as it lasts, and those daemons stay ready.
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(t, 8, false)
		for _, own := range d.stores[:3] {
			own.rejected.Store(true)
		}
		for i := range 300 {
			s := d.all[i%3]
			start := time.Now()
			if err := s.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), testJob()); err != nil {
				require.Equal(t, verdict.NotRun, verdict.Of(err))
				require.Less(t, i, 150, "the first targets may be rejected as well, later ones are known to be")
			}
			require.Less(t, time.Since(start), 50*time.Millisecond)
			require.True(t, s.pacer.Ready())
			time.Sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, d.forwards.Load(), int64(330), "the daemon that accepted last is tried first")
		for _, own := range d.stores {
			own.rejected.Store(false)
		}
		time.Sleep(2 * time.Second)
		before := d.forwards.Load()
		require.NoError(t, d.all[0].Submit(t.Context(), "00000000000000bb", testJob()))
		require.Equal(t, before, d.forwards.Load(), "it writes to the store again")
	})
}

// failsAgain simulates a store that fails three times for 2 s, each time 0.5 s after its return.
func failsAgain(t *testing.T, off bool) *callerStats {
	c := &callerStats{}
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(t, 8, off)
		d.kv.SetFaults(kv.Faults{Delay: 3 * time.Millisecond})
		go func() {
			for range 3 {
				time.Sleep(500 * time.Millisecond)
				d.kv.SetFaults(kv.Faults{Hang: true, FreezeLeases: true})
				time.Sleep(2 * time.Second)
				d.kv.SetFaults(kv.Faults{Delay: 3 * time.Millisecond, FreezeLeases: true})
			}
		}()
		c.load(d, 80, 10*time.Second)
		t.Logf("pacing off %v: %s", off, c)
		c.checkTrue(t, d)
	})
	return c
}

func TestStoreThatFailsAgainRightAfterItsReturn(t *testing.T) {
	// Refusals must resume at the first failed call, and no submission may be held or left unknown for
	// longer than in the first outage.
	//
	// Accepted jobs are compared over several runs: those of one run vary by about 15, by the order
	// of the daemons' goroutines and the callers' return times.
	const runs = 4
	before, after := 0, 0 // accepted jobs
	for range runs {
		b, a := failsAgain(t, true), failsAgain(t, false)
		require.Zero(t, a.late)
		require.Less(t, a.longest, time.Second)
		require.Less(t, a.unknown, b.unknown/2)
		before, after = before+b.accepted, after+a.accepted
	}
	require.GreaterOrEqual(t, float64(after), 0.97*float64(before))
}

func TestTargetThatDiesAfterItHasWritten(t *testing.T) {
	// The job is in the store although no daemon confirms it: its caller must not be told that it was
	// not run, no other daemon may be asked as well, and the caller learns it before its time is over.
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(t, 4, false)
		d.stores[0].rejected.Store(true)
		time.Sleep(2 * time.Second)
		for _, s := range d.all[1:] {
			d.died.Store(s.o.Self, true)
		}
		start, before := time.Now(), d.forwards.Load()
		err := d.all[0].Submit(t.Context(), id, testJob())
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Equal(t, before+1, d.forwards.Load())
		require.Less(t, time.Since(start), forwardTimeout+outage.ProbeTimeout+10*time.Millisecond)
		require.True(t, stored(t, d.kv, dispatch.KeySubmission(id)))
	})
}

func TestResubmissionOfAStoredJobIsNotCalledNotRun(t *testing.T) {
	// Guards against telling a caller that repeats a submission in an outage that its job was not run,
	// although the first attempt has stored it, or may have.
	synctest.Test(t, func(t *testing.T) {
		for _, off := range []bool{false, true} {
			d := newDaemons(t, 1, off)
			const accepted, unanswered, other = "00000000000000a1", "00000000000000a2", "00000000000000a3"
			require.NoError(t, d.all[0].Submit(t.Context(), accepted, testJob()))
			d.kv.SetFaults(kv.Faults{Hang: true})
			require.Equal(t, verdict.MayHaveRun, verdict.Of(d.all[0].Submit(t.Context(), unanswered, testJob())))
			for range 3 {
				time.Sleep(time.Second)
				require.Equal(t, verdict.MayHaveRun, verdict.Of(d.all[0].Submit(t.Context(), accepted, testJob())))
				require.Equal(t, verdict.MayHaveRun, verdict.Of(d.all[0].Submit(t.Context(), unanswered, testJob())))
				require.Equal(t, verdict.NotRun, verdict.Of(d.all[0].Submit(t.Context(), other, testJob())))
			}
		}
	})
}

func TestSubmissionIsForwardedToFewDaemons(t *testing.T) {
	// Guards against a submission that is forwarded to more than outage.MaxTargets daemons: while its
	// own write is overdue, and again after that write has failed.
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(t, 8, false)
		for _, s := range d.stores[1:] {
			s.rejected.Store(true)
		}
		time.Sleep(500 * time.Millisecond)
		d.stores[0].rejectAfter.Store(int64(120 * time.Millisecond))
		before := d.forwards.Load()
		require.Error(t, d.all[0].Submit(t.Context(), id, testJob()))
		require.Positive(t, d.forwards.Load()-before)
		require.LessOrEqual(t, d.forwards.Load()-before, int64(outage.MaxTargets))
	})
}

func TestCallerWhoseDeadlineIsNearlyOver(t *testing.T) {
	// A caller must have its answer before its deadline, and a job whose write can not be answered in
	// time must not be written: its caller could not know of it.
	synctest.Test(t, func(t *testing.T) {
		d := newDaemons(t, 2, false)
		for _, faults := range []kv.Faults{{Hang: true}, {Delay: 350 * time.Millisecond}, {Down: true}} {
			d.kv.SetFaults(faults)
			for i, left := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 60 * time.Millisecond, 200 * time.Millisecond} {
				ctx, cancel := context.WithTimeout(t.Context(), left)
				start := time.Now()
				key := work.JobID(fmt.Sprintf("%016x", i))
				err := d.all[0].Submit(ctx, key, testJob())
				require.Error(t, err)
				require.Less(t, time.Since(start), left)
				cancel()
			}
			time.Sleep(3 * time.Second)
		}
		d.kv.SetFaults(kv.Faults{Delay: 350 * time.Millisecond})
		for i := range 5 {
			err := d.all[0].Submit(t.Context(), "00000000000000bb", testJob())
			require.True(t, i == 0 || err == nil, "only the first one may be refused, before the first answer: %v", err)
			time.Sleep(500 * time.Millisecond)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		const late = work.JobID("00000000000000cc")
		start := time.Now()
		err := d.all[0].Submit(ctx, late, testJob())
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Zero(t, time.Since(start))
		time.Sleep(time.Minute)
		require.False(t, stored(t, d.kv, dispatch.KeySubmission(late)))
	})
}

func TestFalseSuspicionOfTheStoreRefusesNobody(t *testing.T) {
	// After a suspension of the daemon its calls have timed out although the store answers: none of
	// the submissions that arrive then may be refused.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Hang: true})
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		_, _, err := s.get(ctx, probeKey)
		cancel()
		require.Error(t, err)
		require.True(t, s.o.StoreTimeout.Failing())
		m.SetFaults(kv.Faults{Delay: 3 * time.Millisecond})
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				if err := s.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), testJob()); err != nil {
					t.Errorf("job %d: %v", i, err)
				}
			})
		}
		wg.Wait()
		require.Equal(t, int64(1), s.stats.Probes.Value(), "they share one read")
	})
}

func TestSubmissionsOfOneMomentSendOneProbe(t *testing.T) {
	// Every call of the store is billed: two submissions that find a probe due at the same moment must not
	// both send one.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Hang: true})
		require.Error(t, s.Submit(t.Context(), id, testJob()))
		time.Sleep(2 * time.Second)
		before := s.stats.Probes.Value()
		r := outage.Request{Left: time.Second, Forwarded: true}
		first, _ := s.pacer.decide(s, r)
		second, _ := s.pacer.decide(s, r)
		require.True(t, first.Send)
		require.False(t, second.Send)
		require.Equal(t, before+1, s.stats.Probes.Value())
		time.Sleep(probeLife) // the probe ends
	})
}

func TestReturningCallersAreWrittenInTurn(t *testing.T) {
	// After an outage all callers return at once: their writes must not all be sent to the store at
	// once, and those that wait for a turn must be accepted in time.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Hang: true})
		for range 5 {
			require.Error(t, s.Submit(t.Context(), id, testJob()))
		}
		time.Sleep(2 * time.Second)
		m.SetFaults(kv.Faults{Delay: 100 * time.Millisecond})
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		before := m.Counts().Put
		var wg sync.WaitGroup
		var accepted atomic.Int64
		for i := range 100 {
			wg.Go(func() {
				if s.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), testJob()) == nil {
					accepted.Add(1)
				}
			})
		}
		time.Sleep(50 * time.Millisecond) // no write has been answered yet
		require.LessOrEqual(t, m.Counts().Put-before, 17)
		wg.Wait()
		require.Equal(t, int64(100), accepted.Load())
	})
}

func TestOutagesAreLoggedWithinBounds(t *testing.T) {
	// Each outage must be found in the log with its length and counts, but a store that fails and
	// returns all the time must not fill the log.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		var lines bytes.Buffer
		s.pacer.log = zerolog.New(&lines)
		for range 10 {
			m.SetFaults(kv.Faults{Down: true})
			for range 5 {
				require.Error(t, s.Submit(t.Context(), id, testJob()))
				time.Sleep(100 * time.Millisecond)
			}
			m.SetFaults(kv.Faults{})
			time.Sleep(200 * time.Millisecond)
			require.NoError(t, s.Submit(t.Context(), id, testJob()))
		}
		require.Equal(t, 2, strings.Count(lines.String(), "store does not answer"), "in 7 s: %s", &lines)
		require.Equal(t, 2, strings.Count(lines.String(), "store answers again"))
		require.Contains(t, lines.String(), `"refused":5`)
		require.Contains(t, lines.String(), `"not_logged":6`)
		require.Equal(t, int64(10), s.stats.Outages.Value())
	})
}

func TestCancellationsAreNotHeldInAnOutage(t *testing.T) {
	// While the store does not answer, a cancellation must be refused after one probe at most, not
	// repeat its reads until its time of 1.2 s is over.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		m.SetFaults(kv.Faults{Hang: true})
		require.Error(t, s.Cancel(t.Context(), id, ""))
		for range 20 {
			start := time.Now()
			err := s.Cancel(t.Context(), id, "")
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			require.LessOrEqual(t, time.Since(start), outage.ProbeTimeout)
			time.Sleep(10 * time.Millisecond)
		}
		m.SetFaults(kv.Faults{})
		time.Sleep(time.Second)
		require.NoError(t, s.Cancel(t.Context(), id, ""))
	})
}

func TestVerdictsAreTrueOverDaemons(t *testing.T) {
	// A caller must not be told "not run" for a job that a daemon to which it was forwarded has written
	// or still writes: answers, requests and daemons are lost at random, and writes arrive late.
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			d := newDaemons(t, 4, false)
			rng := rand.New(rand.NewPCG(seed, 3))
			answers := make([]error, 120)
			var wg sync.WaitGroup
			for i := range answers {
				if i%10 == 0 {
					faults := kv.Faults{LoseAnswers: 0.3 * rng.Float64(), LoseRequests: 0.2 * rng.Float64(), Refuse: 0.2 * rng.Float64(),
						Delay: time.Duration(rng.IntN(1500)) * time.Millisecond, DelayChance: 0.3, FreezeLeases: true}
					faults.Hang, faults.Down = rng.IntN(5) == 0, rng.IntN(5) == 0
					d.kv.SetFaults(faults)
					for _, own := range d.stores {
						own.rejected.Store(rng.IntN(3) == 0)
					}
					for _, s := range d.all {
						if rng.IntN(4) == 0 {
							d.died.Store(s.o.Self, true)
						} else {
							d.died.Delete(s.o.Self)
						}
					}
				}
				s, left := d.all[rng.IntN(len(d.all))], time.Duration(50+rng.IntN(3000))*time.Millisecond
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), left)
					defer cancel()
					start := time.Now()
					answers[i] = s.Submit(ctx, work.JobID(fmt.Sprintf("%016x", i)), testJob())
					if took := time.Since(start); took >= left {
						t.Errorf("seed %d: job %d was held for %v of %v", seed, i, took, left)
					}
				})
				time.Sleep(time.Duration(rng.IntN(150)) * time.Millisecond)
			}
			wg.Wait()
			d.kv.SetFaults(kv.Faults{})
			time.Sleep(time.Minute)
			for i, err := range answers {
				is := stored(t, d.kv, dispatch.KeySubmission(work.JobID(fmt.Sprintf("%016x", i))))
				switch {
				case err == nil:
					require.True(t, is, "seed %d: job %d was acknowledged", seed, i)
				case verdict.Of(err) == verdict.NotRun:
					require.False(t, is, "seed %d: job %d was refused: %v", seed, i, err)
					after := verdict.As(err).RetryAfterMillis
					require.True(t, after >= 1000 && after <= 10_000 && after%1000 == 0, "Retry-After of %d ms", after)
				}
			}
		})
	}
}
