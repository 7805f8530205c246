package submit

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

const id = work.JobID("00000000000000aa")

// noPeers is a cell without other daemons.
type noPeers struct{}

func (noPeers) CallAddr(context.Context, string, peer.Method, any, any) (peer.Ref, error) {
	return peer.Ref{}, peer.ErrNotSent
}

func newService(s store.Transactor) *Service {
	storeTimeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	view := lead.New(lead.Options{Store: s, StoreTimeout: storeTimeout}).View()
	return New(Options{Self: "a", Store: s, StoreTimeout: storeTimeout, View: view, Peers: noPeers{}, Log: zerolog.Nop(),
		Leading: func() *dispatch.Host { return nil }})
}

func testJob() *work.Job {
	return &work.Job{Queue: work.Queue{Name: "q"}, Spec: "x", Steps: []work.Step{{Count: 1}}}
}

func stored(t *testing.T, m *kv.Memory, key string) bool {
	_, err := m.Get(t.Context(), key)
	if errors.Is(err, store.ErrNotFound) {
		return false
	}
	require.NoError(t, err)
	return true
}

func TestSpecsAreStoredApart(t *testing.T) {
	// With dozens of submissions a second and specs of some KB, the leader's watch of
	// submissions and each takeover would carry specs that the leader does not use: a leader
	// with a slow link would stop answering, and a takeover would read for seconds.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		const id = work.JobID("00000000000000aa")
		j := testJob()
		j.Spec = strings.Repeat("spec", 1000)
		require.NoError(t, newService(m).Submit(t.Context(), id, j))
		in, err := m.Get(t.Context(), dispatch.KeySubmission(id))
		require.NoError(t, err)
		require.Less(t, len(in.Value), 200)
		spec, err := m.Get(t.Context(), dispatch.KeySpec(id))
		require.NoError(t, err)
		require.Equal(t, j.Spec, string(spec.Value))
		require.NoError(t, newService(m).Submit(t.Context(), id, j), "submitted again, it is the same job")

		const bare = work.JobID("00000000000000bb")
		j = testJob()
		j.Spec = ""
		require.NoError(t, newService(m).Submit(t.Context(), bare, j))
		require.False(t, stored(t, m, dispatch.KeySpec(bare)))
	})
}

func TestRepeatedSubmissionIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		require.NoError(t, s.Submit(t.Context(), id, testJob()), "submitted again")
		state, err := s.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Queued, state)
		_, err = s.State(t.Context(), "00000000000000bb", "")
		require.ErrorIs(t, err, ErrNoJob)
	})
}

func TestRefusalIsTrueAndQuick(t *testing.T) {
	// While the store refuses every call, a caller must be told quickly that its job was not
	// accepted, and the job must not appear in the store later.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Down: true})
		start := time.Now()
		err := s.Submit(t.Context(), id, testJob())
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Positive(t, verdict.As(err).RetryAfterMillis)
		require.Less(t, time.Since(start), 100*time.Millisecond)
		m.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		require.False(t, stored(t, m, dispatch.KeySubmission(id)))
	})
}

func TestUnresponsiveStoreIsNotWrittenToTwice(t *testing.T) {
	// When the store does not answer, only the first submission may send a write. If each sent
	// one, its outcome would be uncertain, and callers would wait for more than a second each to
	// be told that their job may have been accepted. A read detects the outage as well and
	// leaves no outcome uncertain.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Hang: true})
		err := s.Submit(t.Context(), id, testJob())
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "the first has sent a write")
		for i := range 3 {
			start := time.Now()
			err = s.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), testJob())
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			require.LessOrEqual(t, time.Since(start), probeTimeout)
		}
		m.SetFaults(kv.Faults{})
		require.NoError(t, s.Submit(t.Context(), "00000000000000bb", testJob()))
	})
}

func TestLostAnswersNeverMakeAFalseRefusal(t *testing.T) {
	// A caller must not be told "not accepted" for a job that is in the store. The store loses
	// answers and requests and delays writes past their timeout, so that they take effect later.
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			m := kv.NewSeeded(seed)
			s := newService(m)
			m.SetFaults(kv.Faults{LoseAnswers: 0.4, LoseRequests: 0.2, Delay: 2 * time.Second, DelayChance: 0.3, Refuse: 0.2})
			verdicts := map[work.JobID]error{}
			for i := range 20 {
				key := work.JobID(fmt.Sprintf("%016x", i))
				verdicts[key] = s.Submit(t.Context(), key, testJob())
			}
			m.SetFaults(kv.Faults{})
			time.Sleep(time.Minute)
			for key, err := range verdicts {
				switch {
				case err == nil:
					require.True(t, stored(t, m, dispatch.KeySubmission(key)), "seed %d: %s was acknowledged", seed, key)
				case verdict.Of(err) == verdict.NotRun:
					require.False(t, stored(t, m, dispatch.KeySubmission(key)), "seed %d: %s was refused: %v", seed, key, err)
				}
			}
		})
	}
}

func TestCancelBeforeALateSubmission(t *testing.T) {
	// A job must not run whose caller was told that it does not exist: the write of a submission
	// is delayed, the caller cancels and gets ErrNoJob, then the write arrives. Without a mark
	// under the id the write would succeed.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Delay: 5 * time.Second})
		require.Equal(t, verdict.MayHaveRun, verdict.Of(s.Submit(t.Context(), id, testJob())))
		m.SetFaults(kv.Faults{})
		require.ErrorIs(t, s.Cancel(t.Context(), id, ""), ErrNoJob)
		time.Sleep(time.Minute)
		require.False(t, stored(t, m, dispatch.KeySubmission(id)))
		require.Equal(t, verdict.NotRun, verdict.Of(s.Submit(t.Context(), id, testJob())), "the id stays marked")
		_, err := s.State(t.Context(), id, "")
		require.ErrorIs(t, err, ErrNoJob)
	})
}

func TestCancelOfAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		require.NoError(t, s.Cancel(t.Context(), id, ""))
		require.NoError(t, s.Cancel(t.Context(), id, ""), "again")
		require.True(t, stored(t, m, dispatch.KeyCancel(id)))
	})
}

// acceptingPeers is a cell in which every other daemon accepts what is forwarded to it.
type acceptingPeers struct{}

func (acceptingPeers) CallAddr(_ context.Context, _ string, _ peer.Method, _, resp any) (peer.Ref, error) {
	if r, ok := resp.(*forwardReply); ok {
		r.Accepted = true
	}
	return peer.Ref{}, nil
}

// cellOf returns a service of daemon "a" whose view contains one other daemon.
func cellOf(t *testing.T, m *kv.Memory, peers PeerCaller) *Service {
	storeTimeout := &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var view *lead.View
	for _, name := range []string{"a", "b"} {
		e := lead.New(lead.Options{Self: lead.Member{Name: name, Peer: name}, Store: m, Log: zerolog.Nop(),
			StoreTimeout: &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}, RunTerm: func(t *lead.Term) { <-t.Context().Done() }})
		go func() { _ = e.Run(ctx) }()
		if name == "a" {
			view = e.View()
		}
	}
	time.Sleep(3 * time.Second)
	require.Len(t, view.Members(), 2)
	return New(Options{Self: "a", Store: m, StoreTimeout: storeTimeout, View: view, Peers: peers, Log: zerolog.Nop(),
		Leading: func() *dispatch.Host { return nil }})
}

func TestOthersAreAskedFirstWhenTheStoreDoesNotAnswer(t *testing.T) {
	// Submissions through a daemon that has lost its connection to the store must not take 0.3 s
	// longer than others for as long as the outage lasts: each waited for a read of the store
	// before another daemon was tried.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := cellOf(t, m, acceptingPeers{})
		m.SetFaults(kv.Faults{Hang: true})
		require.NoError(t, s.Submit(t.Context(), id, testJob()), "the first one detects the outage")
		start := time.Now()
		require.NoError(t, s.Submit(t.Context(), "00000000000000bb", testJob()))
		require.Less(t, time.Since(start), 10*time.Millisecond)
		m.SetFaults(kv.Faults{})
		time.Sleep(time.Second)
	})
}

func TestFirstSubmissionsAtADisconnectedDaemonAreForwarded(t *testing.T) {
	// In the first 0.8 s after a daemon loses its connection to the store, before any call has
	// failed, each submission there must not take 0.8 s, which makes short jobs late: other
	// daemons were tried only after two writes had timed out.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := cellOf(t, m, acceptingPeers{})
		require.NoError(t, s.Submit(t.Context(), "00000000000000ab", testJob()), "measures the usual response time")
		m.SetFaults(kv.Faults{Hang: true})
		for i := range 15 { // before the members' leases expire
			start := time.Now()
			require.NoError(t, s.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), testJob()))
			require.LessOrEqual(t, time.Since(start), minForwardDelay)
			time.Sleep(50 * time.Millisecond)
		}
		m.SetFaults(kv.Faults{})
		time.Sleep(2 * time.Second)
		_, _, err := s.get(t.Context(), probeKey) // stands for a renewal of the daemon's lease
		require.NoError(t, err)
		require.False(t, s.forwardFirst(), "it writes to the store again")
	})
}

func TestStoreThatBecomesSlowIsNotGivenUp(t *testing.T) {
	// The first submissions to a store that has just become slow, with 300 ms instead of the
	// usual 200 ms, must not take two or three of its response times: the first write was
	// abandoned, the store read, and the write repeated.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		m.SetFaults(kv.Faults{Delay: 300 * time.Millisecond})
		start := time.Now()
		require.NoError(t, s.Submit(t.Context(), "00000000000000bb", testJob()))
		require.LessOrEqual(t, time.Since(start), 310*time.Millisecond)
		time.Sleep(time.Second)
	})
}

func TestJobInABatchIsShownAsEnded(t *testing.T) {
	// A job whose final state is in the store in a batch, with its submission still there, must
	// not be shown as completed and, after the loss of its leader, as queued again.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		value, err := work.EncodeBatch([]work.JobProgress{{Job: id, Progress: work.Progress{State: work.Completed}}})
		require.NoError(t, err)
		_, err = m.Put(t.Context(), dispatch.PrefixBatches+"x", value, 0, 0)
		require.NoError(t, err)
		state, err := s.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Completed, state)
	})
}

func TestCancellationsDoNotOverloadAnUnavailableStore(t *testing.T) {
	// Without a pause, cancellations alone would read from the store 180 times a second during
	// an outage, and every call costs money.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		m.SetFaults(kv.Faults{Down: true})
		before := m.Counts().Total()
		require.Error(t, s.Cancel(t.Context(), id, ""))
		require.LessOrEqual(t, m.Counts().Total()-before, 6)
	})
}

// TestRequestWhoseTimeIsOverIsRefused guards against a request that panics, and whose caller gets no
// answer, when its context has ended before the first try, as after a suspension of the daemon.
func TestRequestWhoseTimeIsOverIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		time.Sleep(time.Minute)
		for name, err := range map[string]error{"submit": s.Submit(ctx, id, testJob()), "cancel": s.Cancel(ctx, id, "")} {
			require.Equal(t, verdict.NotRun, verdict.Of(err), name)
			require.Positive(t, verdict.As(err).RetryAfterMillis, name)
			require.ErrorIs(t, err, context.DeadlineExceeded, name)
			require.NotPanics(t, func() { _ = err.Error() }, name)
		}
		require.False(t, stored(t, m, dispatch.KeySubmission(id)))
		require.False(t, stored(t, m, dispatch.KeyState(id)))
	})
}

func TestRepetitionBesideAWriteInFlightIsNotCalledNotRun(t *testing.T) {
	// A caller whose connection broke repeats its submission while the first one is still being written.
	// The repetition, refused because the store fails by then, must not be called "not run": the first
	// write takes effect.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Delay: 150 * time.Millisecond})
		first := make(chan error, 1)
		go func() { first <- s.Submit(t.Context(), id, testJob()) }()
		time.Sleep(10 * time.Millisecond)
		m.SetFaults(kv.Faults{Down: true})
		err := s.Submit(t.Context(), id, testJob())
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		other := s.Submit(t.Context(), "00000000000000bb", testJob())
		require.Equal(t, verdict.NotRun, verdict.Of(other), "no write of this one is in flight")
		require.NoError(t, <-first)
		m.SetFaults(kv.Faults{})
		require.True(t, stored(t, m, dispatch.KeySubmission(id)))
	})
}

func TestRepetitionAfterAForwardedWriteIsNotCalledNotRun(t *testing.T) {
	// A daemon that has written a job for another one, without an answer of the store, must not call a
	// repetition of the same submission "not run".
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		sub, err := newSubmission(id, testJob())
		require.NoError(t, err)
		m.SetFaults(kv.Faults{LoseAnswers: 1})
		r, err := s.serveForward(t.Context(), offer{Key: string(id), Value: sub.full})
		require.NoError(t, err)
		require.True(t, r.(forwardReply).Uncertain)
		m.SetFaults(kv.Faults{Down: true})
		require.Equal(t, verdict.MayHaveRun, verdict.Of(s.Submit(t.Context(), id, testJob())))
		m.SetFaults(kv.Faults{})
		require.True(t, stored(t, m, dispatch.KeySubmission(id)))
	})
}

func TestForwardedRepetitionIsNotCalledNotRun(t *testing.T) {
	// A caller repeats its submission at a daemon that does not reach the store, and that forwards it to
	// the daemon whose write of the first one had no answer. That one must say that the job may be stored;
	// the caller would be told "not run" otherwise.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		forwarded := func(id work.JobID) forwardReply {
			sub, err := newSubmission(id, testJob())
			require.NoError(t, err)
			r, err := s.serveForward(t.Context(), offer{Key: string(id), Value: sub.full})
			require.NoError(t, err)
			return r.(forwardReply)
		}
		m.SetFaults(kv.Faults{LoseAnswers: 1})
		require.True(t, forwarded(id).Uncertain)
		m.SetFaults(kv.Faults{})
		require.True(t, stored(t, m, dispatch.KeySubmission(id)))
		m.SetFaults(kv.Faults{Down: true})
		require.Equal(t, forwardReply{StoreFails: true, Uncertain: true}, forwarded(id))
		require.Equal(t, forwardReply{StoreFails: true}, forwarded("00000000000000bb"), "no write of this one was sent")
	})
}
