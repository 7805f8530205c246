package submit

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/epochworker"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// soonForgotten is how long the leader of a keepCell keeps ended jobs. It drops them within 2 s after that.
const soonForgotten = 3 * time.Second

// keepCell is a cell of one worker with a leader that forgets jobs soon after their end, and a daemon at
// which they are submitted.
type keepCell struct {
	*Service
	t     *testing.T
	kv    *kv.Memory
	fleet *epochworker.Fleet
	host  atomic.Pointer[dispatch.Host]
	// offerDelay is how long notifications of the leader are on their way.
	offerDelay time.Duration
	stop       func()
}

// delayedStore is a store whose writes are delayed before they take effect.
type delayedStore struct {
	*kv.Memory
	delay func(store.Txn) time.Duration
}

func (d *delayedStore) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	time.Sleep(d.delay(t))
	return d.Memory.Commit(ctx, t)
}

// CallAddr implements PeerCaller: the leader's daemon takes offers, and answers nothing else.
func (c *keepCell) CallAddr(_ context.Context, _ string, method peer.Method, req, _ any) (peer.Ref, error) {
	if method != MethodOffer {
		return peer.Ref{}, peer.ErrNotSent
	}
	time.Sleep(c.offerDelay)
	leader := &Service{o: Options{Leading: c.host.Load}}
	_, err := leader.serveOffer(context.Background(), req.(offer))
	return peer.Ref{}, err
}

func newKeepCell(t *testing.T) *keepCell {
	return newSlowKeepCell(t, func(store.Txn) time.Duration { return 0 })
}

// newSlowKeepCell returns a keepCell in which the leader's writes are delayed.
func newSlowKeepCell(t *testing.T, delay func(store.Txn) time.Duration) *keepCell {
	c := &keepCell{t: t, kv: kv.New()}
	c.fleet = epochworker.New(epochworker.Options{Lease: 6 * time.Second, GangTimeout: 3 * time.Second, StopDelay: 200 * time.Millisecond, Delay: time.Millisecond,
		Work: func(work.TaskID, uint64, runner.WorkerID) epochworker.Behaviour {
			return epochworker.Behaviour{Takes: 500 * time.Millisecond}
		}})
	c.fleet.Add(runner.Worker{Ref: runner.Ref{ID: "w", Address: "w"}, Service: "s", Capacity: work.Resources{CPU: 4000, Memory: 4000}})
	storeTimeout := func() *store.AdaptiveTimeout {
		return &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	elect := func(name string, s store.Transactor) *lead.Elector {
		timeout := storeTimeout()
		var e *lead.Elector
		e = lead.New(lead.Options{Self: lead.Member{Name: name, Peer: name}, Store: s, StoreTimeout: timeout, Log: zerolog.Nop(), RunTerm: func(term *lead.Term) {
			h := dispatch.NewHost(dispatch.HostOptions{Store: s, StoreTimeout: timeout, Runner: c.fleet, Directory: c.fleet, View: e.View(), Log: zerolog.Nop(),
				Bounds: dispatch.Bounds{Lease: 6 * time.Second, MaxLease: 6 * time.Second, Gang: 3 * time.Second, Keep: soonForgotten}}, term)
			c.host.Store(h)
			h.Run()
		}})
		go func() {
			_ = e.Run(ctx)
			ended <- struct{}{}
		}()
		time.Sleep(3 * time.Second)
		return e
	}
	elect("leader", &delayedStore{c.kv, delay})
	view := elect("daemon", c.kv).View()
	leader, known := view.Leader()
	require.True(t, known)
	require.Equal(t, "leader", leader.Member.Name)
	c.Service = New(Options{Self: "daemon", Peer: "daemon", Store: c.kv, StoreTimeout: storeTimeout(), View: view, Peers: c, Log: zerolog.Nop(),
		Leading: func() *dispatch.Host { return nil }})
	c.stop = func() {
		cancel()
		<-ended
		<-ended
	}
	return c
}

// run submits a job and waits until it is shown as completed.
func (c *keepCell) run() *work.Job {
	j := &work.Job{Queue: work.Queue{Name: "q", Service: "s", Attempts: 2, Slack: 2}, Accepted: time.Now().UnixMilli(),
		Steps: []work.Step{{Count: 1, Size: work.Resources{CPU: 1000, Memory: 100}, Estimate: time.Second}}}
	c.fleet.AddJob(id, j)
	require.NoError(c.t, c.Submit(c.t.Context(), id, j))
	c.await(func() bool { return c.state() == work.Completed })
	return j
}

// state returns the state of the job in the store; 0 if it has none.
func (c *keepCell) state() work.State {
	p, err := c.progress(c.t.Context(), id)
	require.NoError(c.t, err)
	if p == nil {
		return 0
	}
	return p.State
}

func (c *keepCell) await(reached func() bool) {
	for range 3000 {
		if reached() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(c.t, "not reached in time")
}

// requireOneRun checks that the job's task has been started once, some time later.
func (c *keepCell) requireOneRun() {
	time.Sleep(20 * time.Second)
	c.stop()
	require.Empty(c.t, c.fleet.Violations())
	starts, _ := c.fleet.Counts()
	require.Equal(c.t, 1, starts)
}

// TestDuplicateOfAJobThatIsBeingForgottenStartsNothing guards against a job that runs a second time: its
// submission is repeated when the leader has dropped it and its state is still in the store.
func TestDuplicateOfAJobThatIsBeingForgottenStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var removing atomic.Bool
		c := newSlowKeepCell(t, func(x store.Txn) time.Duration {
			if !slices.Contains(x.Deletes, dispatch.KeyState(id)) {
				return 0
			}
			removing.Store(true)
			return 100 * time.Millisecond
		})
		j := c.run()
		c.await(removing.Load)
		require.Equal(t, work.Completed, c.state())
		require.NoError(t, c.Submit(t.Context(), id, j))
		c.requireOneRun()
	})
}

// TestLateOfferOfAForgottenJobStartsNothing guards against a job that runs a second time: the notification of
// the leader is on its way until the job, of which the leader has learned from the store, is forgotten.
func TestLateOfferOfAForgottenJobStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newKeepCell(t)
		c.offerDelay = 4 * soonForgotten
		c.run()
		c.requireOneRun()
	})
}

// TestMarkOfACancelledIDIsRemoved guards against keys that stay while one daemon leads: a cancellation of an id
// that was never submitted marks the id, so that a late submission starts nothing.
func TestMarkOfACancelledIDIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newKeepCell(t)
		defer c.stop()
		require.ErrorIs(t, c.Cancel(t.Context(), id, ""), ErrNoJob)
		time.Sleep(soonForgotten - time.Second)
		require.Equal(t, verdict.NotRun, verdict.Of(c.Submit(t.Context(), id, testJob())), "a late submission")
		_, err := c.State(t.Context(), id, "")
		require.ErrorIs(t, err, ErrNoJob)
		time.Sleep(10 * time.Second)
		for _, prefix := range []string{dispatch.PrefixJobs, dispatch.PrefixState} {
			require.Empty(t, c.kv.Entries(prefix))
		}
		c.run()
	})
}

// TestStateIsNotThatOfAForgottenJob guards against a job that is shown as completed before anything of it has run, while
// no leader answers: a job under its id was forgotten, and a batch still has its end.
func TestStateIsNotThatOfAForgottenJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		value, err := work.EncodeBatch([]work.JobProgress{{Job: id, Progress: work.Progress{State: work.Completed}}})
		require.NoError(t, err)
		_, err = m.Put(t.Context(), dispatch.PrefixBatches+"x", value, 0, 0)
		require.NoError(t, err)
		s := newService(m)
		require.NoError(t, s.Submit(t.Context(), id, testJob()))
		state, err := s.State(t.Context(), id, "")
		require.NoError(t, err)
		require.Equal(t, work.Queued, state)
	})
}
