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

// nobody is a cell without other daemons.
type nobody struct{}

func (nobody) CallAddr(context.Context, string, peer.Method, any, any) (peer.Ref, error) {
	return peer.Ref{}, peer.ErrNotSent
}

func newService(s store.Transactor) *Service {
	patience := &store.Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	view := lead.New(lead.Options{Store: s, Patience: patience}).View()
	return New(Options{Self: "a", Store: s, Patience: patience, View: view, Peers: nobody{}, Log: zerolog.Nop(),
		Leading: func() *dispatch.Host { return nil }})
}

func aJob() *work.Job {
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
	// Symptom: a leader with a small link answers nobody; a takeover reads for seconds.
	// Sequence: dozens of jobs a second are handed in, with specs of some KB.
	// Cause: the leader's watch of hand-ins, and each takeover, brought their specs, which
	//   it has no use for.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		const id = work.JobID("00000000000000aa")
		j := aJob()
		j.Spec = strings.Repeat("spec", 1000)
		require.NoError(t, newService(m).Submit(t.Context(), id, j))
		in, err := m.Get(t.Context(), dispatch.KeyIn(id))
		require.NoError(t, err)
		require.Less(t, len(in.Value), 200)
		spec, err := m.Get(t.Context(), dispatch.KeySpec(id))
		require.NoError(t, err)
		require.Equal(t, j.Spec, string(spec.Value))
		require.NoError(t, newService(m).Submit(t.Context(), id, j), "handed in again, it is the same job")

		const bare = work.JobID("00000000000000bb")
		j = aJob()
		j.Spec = ""
		require.NoError(t, newService(m).Submit(t.Context(), bare, j))
		require.False(t, stored(t, m, dispatch.KeySpec(bare)))
	})
}

func TestHandInIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, aJob()))
		require.NoError(t, s.Submit(t.Context(), id, aJob()), "the same again")
		state, err := s.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Queued, state)
		_, err = s.State(t.Context(), "00000000000000bb", "")
		require.ErrorIs(t, err, ErrNoJob)
	})
}

func TestRefusalIsTrueAndQuick(t *testing.T) {
	// Symptom looked for: a caller is told that its job was not accepted, and it
	//   is, now or later; or the refusal comes late.
	// Sequence: the store refuses every call.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Down: true})
		start := time.Now()
		err := s.Submit(t.Context(), id, aJob())
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Positive(t, verdict.As(err).RetryAfterMillis)
		require.Less(t, time.Since(start), 100*time.Millisecond)
		m.SetFaults(kv.Faults{})
		time.Sleep(time.Minute)
		require.False(t, stored(t, m, dispatch.KeyIn(id)))
	})
}

func TestSilentStoreIsNotWrittenToTwice(t *testing.T) {
	// Symptom: with the store gone, callers wait for more than a second each and
	//   are told that their job may have been accepted.
	// Sequence: one hand-in finds that the store does not answer; others follow.
	// Cause: each sent a write of its own, whose outcome then was open. A read
	//   tells as much and leaves nothing open.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Hang: true})
		err := s.Submit(t.Context(), id, aJob())
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "the first has sent a write")
		for i := range 3 {
			start := time.Now()
			err = s.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), aJob())
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			require.LessOrEqual(t, time.Since(start), probeTimeout)
		}
		m.SetFaults(kv.Faults{})
		require.NoError(t, s.Submit(t.Context(), "00000000000000bb", aJob()))
	})
}

func TestLostAnswersNeverMakeAFalseRefusal(t *testing.T) {
	// Symptom looked for: "not accepted" for a job that is in the store.
	// Sequence: the store loses answers, requests and delays writes past their
	//   timeout, so that they take effect later.
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			m := kv.NewSeeded(seed)
			s := newService(m)
			m.SetFaults(kv.Faults{LoseAnswers: 0.4, LoseRequests: 0.2, Delay: 2 * time.Second, DelayChance: 0.3, Refuse: 0.2})
			verdicts := map[work.JobID]error{}
			for i := range 20 {
				key := work.JobID(fmt.Sprintf("%016x", i))
				verdicts[key] = s.Submit(t.Context(), key, aJob())
			}
			m.SetFaults(kv.Faults{})
			time.Sleep(time.Minute)
			for key, err := range verdicts {
				switch {
				case err == nil:
					require.True(t, stored(t, m, dispatch.KeyIn(key)), "seed %d: %s was acknowledged", seed, key)
				case verdict.Of(err) == verdict.NotRun:
					require.False(t, stored(t, m, dispatch.KeyIn(key)), "seed %d: %s was refused: %v", seed, key, err)
				}
			}
		})
	}
}

func TestCancelBeforeALateHandIn(t *testing.T) {
	// Symptom: a job runs whose caller was told that it does not exist.
	// Sequence: the write of a hand-in is delayed on its way; the caller cancels
	//   and is told that there is no such job; the write arrives.
	// Cause: without a mark under the id the write finds it free.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		m.SetFaults(kv.Faults{Delay: 5 * time.Second})
		require.Equal(t, verdict.MayHaveRun, verdict.Of(s.Submit(t.Context(), id, aJob())))
		m.SetFaults(kv.Faults{})
		require.ErrorIs(t, s.Cancel(t.Context(), id, ""), ErrNoJob)
		time.Sleep(time.Minute)
		require.False(t, stored(t, m, dispatch.KeyIn(id)))
		require.Equal(t, verdict.NotRun, verdict.Of(s.Submit(t.Context(), id, aJob())), "the id stays given up")
		_, err := s.State(t.Context(), id, "")
		require.ErrorIs(t, err, ErrNoJob)
	})
}

func TestCancelOfAJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, aJob()))
		require.NoError(t, s.Cancel(t.Context(), id, ""))
		require.NoError(t, s.Cancel(t.Context(), id, ""), "again")
		require.True(t, stored(t, m, dispatch.KeyCancel(id)))
	})
}

// helpful is a cell in which every other daemon writes what it is handed.
type helpful struct{}

func (helpful) CallAddr(_ context.Context, _ string, _ peer.Method, _, resp any) (peer.Ref, error) {
	if r, ok := resp.(*handedOver); ok {
		r.Accepted = true
	}
	return peer.Ref{}, nil
}

// cellOf returns a service of daemon "a" whose view shows another daemon.
func cellOf(t *testing.T, m *kv.Memory, peers Caller) *Service {
	patience := &store.Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var view *lead.View
	for _, name := range []string{"a", "b"} {
		e := lead.New(lead.Options{Self: lead.Member{Name: name, Peer: name}, Store: m, Log: zerolog.Nop(),
			Patience: &store.Patience{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}, Lead: func(t *lead.Term) { <-t.Context().Done() }})
		go func() { _ = e.Run(ctx) }()
		if name == "a" {
			view = e.View()
		}
	}
	time.Sleep(3 * time.Second)
	require.Len(t, view.Members(), 2)
	return New(Options{Self: "a", Store: m, Patience: patience, View: view, Peers: peers, Log: zerolog.Nop(),
		Leading: func() *dispatch.Host { return nil }})
}

func TestOthersAreAskedFirstWhenTheStoreDoesNotAnswer(t *testing.T) {
	// Symptom: hand-ins through a daemon that is cut off from the store take 0.3 s
	//   more than others, for as long as that lasts.
	// Cause: each waited for a read of the store before another daemon was asked.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := cellOf(t, m, helpful{})
		m.SetFaults(kv.Faults{Hang: true})
		require.NoError(t, s.Submit(t.Context(), id, aJob()), "the first finds out")
		start := time.Now()
		require.NoError(t, s.Submit(t.Context(), "00000000000000bb", aJob()))
		require.Less(t, time.Since(start), 10*time.Millisecond)
		m.SetFaults(kv.Faults{})
		time.Sleep(time.Second)
	})
}

func TestFirstHandInsAtADaemonThatIsCutOffGoThroughOthers(t *testing.T) {
	// Symptom: for the first 0.8 s after a daemon is cut off from the store, each hand-in
	//   there takes 0.8 s, and quick jobs are late.
	// Sequence: the store answers nothing; the hand-ins come before any call has failed.
	// Cause: others were asked only once two writes had gone unanswered.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := cellOf(t, m, helpful{})
		require.NoError(t, s.Submit(t.Context(), "00000000000000ab", aJob()), "the usual answer is known")
		m.SetFaults(kv.Faults{Hang: true})
		for i := range 15 { // while the members' leases have not run out
			start := time.Now()
			require.NoError(t, s.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), aJob()))
			require.LessOrEqual(t, time.Since(start), othersMin)
			time.Sleep(50 * time.Millisecond)
		}
		m.SetFaults(kv.Faults{})
		time.Sleep(2 * time.Second)
		_, _, err := s.get(t.Context(), probeKey) // as each renewal of the daemon's lease
		require.NoError(t, err)
		require.False(t, s.othersFirst(), "it writes itself again")
	})
}

func TestStoreThatBecomesSlowIsNotGivenUp(t *testing.T) {
	// Symptom: the first hand-ins take two or three answers of a store that has just
	//   become slow.
	// Sequence: it answers in 300 ms; the usual time for an answer is 200 ms.
	// Cause: the first write was given up, the store read, and the write repeated.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, aJob()))
		m.SetFaults(kv.Faults{Delay: 300 * time.Millisecond})
		start := time.Now()
		require.NoError(t, s.Submit(t.Context(), "00000000000000bb", aJob()))
		require.LessOrEqual(t, time.Since(start), 310*time.Millisecond)
		time.Sleep(time.Second)
	})
}

func TestJobInABundleIsShownAsEnded(t *testing.T) {
	// Symptom looked for: a job is shown as completed, and after the loss of its
	//   leader as queued again.
	// Sequence: its end is in the store in a bundle, its hand-in still there.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, aJob()))
		value, err := work.EncodeBundle([]work.JobProgress{{Job: id, Progress: work.Progress{State: work.Completed}}})
		require.NoError(t, err)
		_, err = m.Put(t.Context(), dispatch.PrefixBundle+"x", value, 0, 0)
		require.NoError(t, err)
		state, err := s.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Completed, state)
	})
}

func TestCancellationsDoNotPressAStoreThatIsAway(t *testing.T) {
	// Symptom: in an outage cancellations alone read from the store 180 times a
	//   second, and every call is paid for.
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, aJob()))
		m.SetFaults(kv.Faults{Down: true})
		before := m.Counts().Total()
		require.Error(t, s.Cancel(t.Context(), id, ""))
		require.LessOrEqual(t, m.Counts().Total()-before, 6)
	})
}
