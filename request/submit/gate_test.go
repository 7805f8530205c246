package submit

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
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
	"fennelshunt.example/fennelshunt/process/loadshed"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/work"
)

// leaderPeers is a cell whose leader answers offers with a digest after a delay.
type leaderPeers struct {
	digest func() *loadshed.Digest
	delay  time.Duration
}

func (p *leaderPeers) CallAddr(_ context.Context, _ string, _ peer.Method, _, resp any) (peer.Ref, error) {
	time.Sleep(p.delay)
	if r, ok := resp.(*offerReply); ok {
		r.Load = p.digest()
	}
	return peer.Ref{}, nil
}

// overloaded is a digest by which gangs wait for two minutes.
func overloaded(epoch uint64) *loadshed.Digest {
	return &loadshed.Digest{Epoch: epoch, Cores: 1000, Proxies: 10, Classes: []loadshed.ClassLoad{
		{Class: loadshed.Class{Priority: 1}, Work: loadshed.Waiting{InTime: 3000, Late: 9000}, Rate: 100, Advice: 0.75}}}
}

// gateCell is a daemon of a cell that is led by another one.
type gateCell struct {
	*Service
	store *kv.Memory
	peers *leaderPeers
	log   *bytes.Buffer
}

// newGateCell returns a daemon that has just received a digest.
func newGateCell(t *testing.T, change func(*Options)) gateCell {
	c := gateCell{store: kv.New(), peers: &leaderPeers{}, log: &bytes.Buffer{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	var view *lead.View
	for i, name := range []string{"b", "a"} {
		e := lead.New(lead.Options{Self: lead.Member{Name: name, Peer: name}, Store: c.store, Log: zerolog.Nop(),
			StoreTimeout: &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond},
			RunTerm:      func(t *lead.Term) { <-t.Context().Done() }})
		go func() { _ = e.Run(ctx) }()
		time.Sleep(3 * time.Second)
		if i == 1 {
			view = e.View()
		}
	}
	leader, known := view.Leader()
	require.True(t, known)
	require.Equal(t, "b", leader.Member.Name)
	c.peers.digest = func() *loadshed.Digest { return overloaded(view.Epoch()) }
	o := Options{Self: "a", Store: c.store, View: view, Peers: c.peers, Log: zerolog.New(c.log),
		StoreTimeout: &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond},
		Leading:      func() *dispatch.Host { return nil }}
	if change != nil {
		change(&o)
	}
	c.Service = New(o)
	c.refresh(t)
	return c
}

// refresh has the daemon receive a digest with the answer to its notification of an urgent job.
func (c gateCell) refresh(t *testing.T) {
	urgent := gangJob()
	urgent.Queue.Priority = 0
	id := work.JobID(fmt.Sprintf("%016x", time.Now().UnixNano()))
	require.NoError(t, c.Submit(t.Context(), id, urgent), "urgent work does not wait for gangs")
	synctest.Wait()
}

func gangJob() *work.Job {
	return &work.Job{Queue: work.Queue{Name: "wide", Priority: 1, Slack: 2}, Account: "", Spec: "x",
		Steps: []work.Step{{Count: 4, Gang: true, Estimate: 5 * time.Second, Size: work.Resources{CPU: 1000}}}}
}

func requireRefused(t *testing.T, err error) {
	t.Helper()
	require.Error(t, err)
	e := verdict.As(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, http.StatusTooManyRequests, e.Status)
	require.Equal(t, CodeOverloaded, e.Code)
	require.GreaterOrEqual(t, e.RetryAfterMillis, int64(1000))
	require.LessOrEqual(t, e.RetryAfterMillis, int64(3000))
}

func TestHopelessJobIsRefusedBeforeItIsWritten(t *testing.T) {
	// Guards against a refused job that is in the store all the same, against a caller that waits for
	// its refusal, and against a refusal whose reason cannot be found in the counters and the log.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		start := time.Now()
		requireRefused(t, c.Submit(t.Context(), id, gangJob()))
		require.Less(t, time.Since(start), 50*time.Millisecond)
		time.Sleep(time.Minute)
		require.False(t, stored(t, c.store, dispatch.KeySubmission(id)))
		require.Equal(t, `{"wide advice": 1}`, c.Stats().RefusedForLoad.String())
		for _, part := range []string{`"queue":"wide"`, `"reason":"advice"`,
			`"wait_ms":{"room":30000,"advice":90000,"quota":0}`, `"digest_age_ms":0`, `"retry_after_s":`} {
			require.Contains(t, c.log.String(), part)
		}
	})
}

func TestRefusalsNeedAFreshDigest(t *testing.T) {
	// Guards against refusing by a load that is over, or by the digest of an earlier leader.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		time.Sleep(loadshed.MaxAge)
		requireRefused(t, c.Submit(t.Context(), id, gangJob()))
		time.Sleep(time.Millisecond)
		require.NoError(t, c.Submit(t.Context(), id, gangJob()), "the digest is too old")
		require.Positive(t, c.Stats().DigestsOutdated.Value())
	})
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		c.peers.delay = 1100 * time.Millisecond // the age counts from the sending of the request
		c.refresh(t)
		time.Sleep(1200 * time.Millisecond)
		require.NoError(t, c.Submit(t.Context(), id, gangJob()))
		time.Sleep(2 * time.Second) // until the answers are in
	})
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		c.peers.digest = func() *loadshed.Digest { return nil } // as from a leader in its first second
		c.refresh(t)
		time.Sleep(1001 * time.Millisecond)
		require.NoError(t, c.Submit(t.Context(), id, gangJob()))
	})
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		epoch := c.o.View.Epoch()
		c.peers.digest = func() *loadshed.Digest { return overloaded(epoch + 1) }
		c.refresh(t)
		require.NoError(t, c.Submit(t.Context(), id, gangJob()), "this daemon does not know the leader that made the digest")
	})
}

func TestLeaderThatIsGoneRefusesNothing(t *testing.T) {
	// Guards against refusing by a digest whose leader is no longer known to this daemon.
	synctest.Test(t, func(t *testing.T) {
		var unknown *lead.View
		c := newGateCell(t, func(o *Options) {
			unknown = lead.New(lead.Options{Store: o.Store, StoreTimeout: o.StoreTimeout}).View()
		})
		requireRefused(t, c.Submit(t.Context(), id, gangJob()))
		c.o.View = unknown
		require.NoError(t, c.Submit(t.Context(), id, gangJob()))
	})
}

func TestStoredJobIsNotRefused(t *testing.T) {
	// Guards against telling a caller that its job was not accepted although an earlier attempt, at
	// this or another daemon, has stored it.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		other := newService(c.store)
		require.NoError(t, other.Submit(t.Context(), id, gangJob()))
		require.NoError(t, c.Submit(t.Context(), id, gangJob()))
		require.Equal(t, int64(1), c.Stats().RefusalsDropped.Value())
		c.refresh(t)
		require.NoError(t, c.Submit(t.Context(), id, gangJob()))
	})
}

func TestUnansweredWriteForbidsARefusal(t *testing.T) {
	// Guards against a job that was refused and is then stored by an earlier write of this daemon.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		time.Sleep(1001 * time.Millisecond)
		c.store.SetFaults(kv.Faults{Delay: 20 * time.Second, DelayChance: 1})
		require.Equal(t, verdict.MayHaveRun, verdict.Of(c.Submit(t.Context(), id, gangJob())))
		c.store.SetFaults(kv.Faults{})
		require.Eventually(t, func() bool {
			_, _, err := c.get(t.Context(), probeKey)
			return err == nil && !c.o.StoreTimeout.Failing()
		}, 10*time.Second, 10*time.Millisecond)
		require.False(t, stored(t, c.store, dispatch.KeySubmission(id)), "the write is still on its way")
		c.takeDigest(overloaded(c.o.View.Epoch()), time.Now())
		requireRefused(t, c.Submit(t.Context(), "00000000000000bb", gangJob()))
		if err := c.Submit(t.Context(), id, gangJob()); err != nil {
			require.NotEqual(t, CodeOverloaded, verdict.As(err).Code)
		}
		time.Sleep(time.Minute)
		require.True(t, stored(t, c.store, dispatch.KeySubmission(id)))
	})
}

func TestRefusalComesAtOnceOrNotAtAll(t *testing.T) {
	// Guards against a caller that waits, until the end of its time, for the reads that precede a
	// refusal: while the store is slow, the job is handled as without admission control.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		c.store.SetFaults(kv.Faults{Delay: 200 * time.Millisecond})
		start := time.Now()
		stored, err := c.storedBefore(t.Context(), id)
		require.Error(t, err)
		require.False(t, stored)
		require.LessOrEqual(t, time.Since(start), 50*time.Millisecond)
		require.NoError(t, c.Submit(t.Context(), id, gangJob()))
	})
}

func TestUnreadableStoreForbidsARefusal(t *testing.T) {
	// Guards against a refusal for load of a job that may be in the store: if the read fails, the job
	// must be handled as without admission control.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		c.store.SetFaults(kv.Faults{Down: true})
		err := c.Submit(t.Context(), id, gangJob())
		require.Equal(t, CodeStore, verdict.As(err).Code)
		require.Equal(t, http.StatusServiceUnavailable, verdict.As(err).Status)
		c.store.SetFaults(kv.Faults{})
		time.Sleep(time.Second)
	})
}

func TestSwitchTurnsRefusalsOff(t *testing.T) {
	// Guards against refusals for load with the policy no_load_shedding.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, func(o *Options) { o.NoLoadShedding = true })
		require.NoError(t, c.Submit(t.Context(), id, gangJob()))
	})
}

func TestLogOfRefusalsIsBounded(t *testing.T) {
	// Guards against a log line per refusal under overload, and against refusals that are not counted.
	synctest.Test(t, func(t *testing.T) {
		c := newGateCell(t, nil)
		for i := range 1000 {
			requireRefused(t, c.Submit(t.Context(), work.JobID(fmt.Sprintf("%016x", i)), gangJob()))
		}
		require.LessOrEqual(t, strings.Count(c.log.String(), "submission refused for load"), refusalLines)
		require.Equal(t, `{"wide advice": 1000}`, c.Stats().RefusedForLoad.String())
	})
}

func TestRememberedIDsAreBounded(t *testing.T) {
	// Guards against memory that grows with the submissions, and against an id that is forgotten while
	// a write of it may still take effect.
	var r recentIDs
	for i := range 5 * maxAdmitted {
		r.add(work.JobID(fmt.Sprint(i)), 0)
	}
	require.LessOrEqual(t, len(r.newer)+len(r.older), 2*maxAdmitted)
	require.True(t, r.has(work.JobID(fmt.Sprint(5*maxAdmitted-1))))
	r.add("x", 0)
	r.add("y", admittedFor)
	require.True(t, r.has("x"), "remembered for admittedFor at least")
}
