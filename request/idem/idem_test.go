package idem

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
)

func TestSecondArrivalGetsTheSameAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, nil)
		defer c.close()
		d, r := c.daemons[0], newRequest("a")
		c.own(r.shard(), d)
		a := begun(t, d, r)
		joined := make(chan *Answer)
		go func() {
			_, answer, _ := d.Begin(context.Background(), r)
			joined <- answer
		}()
		synctest.Wait()
		require.NoError(t, a.Intend(t.Context()))
		answer := &Answer{Status: 200, Body: []byte("two pallets")}
		a.Finish(answer)
		require.Same(t, answer, <-joined)
		_, again, err := d.Begin(t.Context(), r)
		require.NoError(t, err)
		require.Same(t, answer, again)

		other := r
		other.Fingerprint++
		requireCode(t, d, other, CodeMismatch, verdict.NotRun)
		elsewhere := r
		elsewhere.Key.Team = "authority"
		c.own(elsewhere.shard(), d)
		if elsewhere.shard() != r.shard() {
			begun(t, d, elsewhere).Fail(&verdict.Error{Verdict: verdict.NotRun, Err: errors.New("refused")})
		}
		time.Sleep(DefaultAnswerRetention + 2*sweepInterval)
		requireCode(t, d, r, CodeAnswerNotKept, verdict.Ran)
	})
}

func TestLargeAnswerIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, func(o *Options) { o.MaxAnswer = 10 })
		defer c.close()
		d, r := c.daemons[0], newRequest("a")
		c.own(r.shard(), d)
		a := begun(t, d, r)
		require.NoError(t, a.Intend(t.Context()))
		a.Finish(&Answer{Status: 200, Body: make([]byte, 11)})
		requireCode(t, d, r, CodeAnswerNotKept, verdict.Ran)
	})
}

func TestNewOwnerReadsTheOutcomes(t *testing.T) {
	// Guards against a request that is sent again after its key owner crashed
	// between intent and answer: the caller retries, and the new owner has not read
	// the intent.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2, nil)
		defer c.close()
		first, second := c.daemons[0], c.daemons[1]
		unknown, ran, refused := newRequest("u"), newRequest("r"), newRequest("n")
		for _, r := range []Request{unknown, ran, refused} {
			c.own(r.shard(), first)
		}
		attempts := map[string]*Attempt{}
		for _, r := range []Request{unknown, ran, refused} {
			a := begun(t, first, r)
			require.NoError(t, a.Intend(t.Context()))
			attempts[r.Key.Text] = a
		}
		attempts["r"].Finish(&Answer{Status: 200})
		attempts["n"].Fail(&verdict.Error{Verdict: verdict.NotRun, Err: errors.New("connection refused")})
		time.Sleep(2 * DefaultOutcomeFlush)
		first.stop()
		for _, r := range []Request{unknown, ran, refused} {
			c.own(r.shard(), second)
		}
		requireCode(t, second, unknown, CodeOutcomeUnknown, verdict.MayHaveRun)
		requireCode(t, second, ran, CodeAnswerNotKept, verdict.Ran)
		a := begun(t, second, refused)
		require.NoError(t, a.Intend(t.Context()))
	})
}

func TestPausedOwnerIsFenced(t *testing.T) {
	// Guards against a request that two daemons send: the old owner of its key begins
	// it and is suspended before its intent, a new owner takes over and runs it, and
	// the old one resumes while it still assumes that it owns the shard.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2, nil)
		defer c.close()
		first, second, r := c.daemons[0], c.daemons[1], newRequest("a")
		c.own(r.shard(), first)
		old := begun(t, first, r)
		synctest.Wait()
		c.own(r.shard(), second)
		a := begun(t, second, r)
		require.NoError(t, a.Intend(t.Context()))
		err := old.Intend(t.Context())
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
	})
}

func TestStoreDownRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 1, nil)
		defer c.close()
		d, r := c.daemons[0], newRequest("a")
		c.own(r.shard(), d)
		require.NoError(t, begun(t, d, r).Intend(t.Context()))
		for _, f := range []kv.Faults{{Down: true}, {Hang: true}} {
			c.kv.SetFaults(f)
			for range 10 {
				r := sameShardRequest(r)
				a := begun(t, d, r)
				began := time.Now()
				err := a.Intend(t.Context())
				var e *verdict.Error
				require.ErrorAs(t, err, &e)
				require.Equal(t, verdict.NotRun, e.Verdict)
				require.Positive(t, e.RetryAfterMillis)
				require.LessOrEqual(t, time.Since(began), 2*DefaultWriteTimeout)
				a.Fail(err)
			}
			c.kv.SetFaults(kv.Faults{})
			time.Sleep(5 * time.Second)
		}
		r = sameShardRequest(r)
		require.Eventually(t, func() bool {
			a := begun(t, d, r)
			err := a.Intend(t.Context())
			if err != nil {
				a.Fail(err)
			}
			return err == nil
		}, time.Minute, time.Second)
	})
}

func TestLostAnswerOfAnIntent(t *testing.T) {
	// Guards against a request that is sent after it got "not run", and against a
	// key that can never be used again. The store writes an intent, but the
	// response is lost, and that of the read-back too, so that it is uncertain
	// whether the intent is in the log. The caller retries, at the same owner and at
	// a new one.
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2, nil)
		defer c.close()
		first, second, r := c.daemons[0], c.daemons[1], newRequest("a")
		c.own(r.shard(), first)
		require.NoError(t, begun(t, first, sameShardRequest(r)).Intend(t.Context()))
		c.kv.SetFaults(kv.Faults{LoseAnswers: 1})
		a := begun(t, first, r)
		err := a.Intend(t.Context())
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		a.Fail(err)
		c.kv.SetFaults(kv.Faults{})
		// The new owner reads the intent and cannot tell that nothing was sent.
		c.own(r.shard(), second)
		requireCode(t, second, r, CodeOutcomeUnknown, verdict.MayHaveRun)
	})
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2, nil)
		defer c.close()
		first, second, r := c.daemons[0], c.daemons[1], newRequest("a")
		c.own(r.shard(), first)
		require.NoError(t, begun(t, first, sameShardRequest(r)).Intend(t.Context()))
		c.kv.SetFaults(kv.Faults{LoseAnswers: 1})
		a := begun(t, first, r)
		a.Fail(a.Intend(t.Context()))
		c.kv.SetFaults(kv.Faults{})
		// The same owner has a record that nothing was sent, and removes the intent
		// from the log with its next write; then a new owner may run the key too.
		time.Sleep(4 * DefaultOutcomeFlush)
		c.own(r.shard(), second)
		begun(t, second, r).Close()
	})
}

// sameShardRequest returns a request with another key of the same shard.
func sameShardRequest(r Request) Request {
	o := r
	for o.Key == r.Key || o.shard() != r.shard() {
		o.Key.Text += "x"
	}
	return o
}

func TestReleaseMakesOutcomesDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t, 2, nil)
		defer c.close()
		first, second, r := c.daemons[0], c.daemons[1], newRequest("a")
		c.own(r.shard(), first)
		a := begun(t, first, r)
		require.NoError(t, a.Intend(t.Context()))
		released := make(chan error, 1)
		go func() { released <- first.Releasing(context.Background(), resource(r.shard())) }()
		synctest.Wait()
		requireCode(t, first, sameShardRequest(r), CodeOwnerNotReady, verdict.NotRun)
		a.Finish(&Answer{Status: 200})
		require.NoError(t, <-released)
		c.own(r.shard(), second)
		requireCode(t, second, r, CodeAnswerNotKept, verdict.Ran)
	})
}
