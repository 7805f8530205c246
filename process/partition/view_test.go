package partition

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/cellview"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// sink records the states that a view applies and checks their order.
type sink struct {
	t         *testing.T
	mu        sync.Mutex
	epoch     uint64
	seq       uint64
	workers   map[worker.ID]plan.WorkerState
	endpoints []plan.Endpoint
	partial   int
}

func (s *sink) Apply(st plan.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	require.GreaterOrEqual(s.t, st.Epoch, s.epoch)
	if st.Epoch > s.epoch {
		require.True(s.t, st.Full, "a new owner starts with a full state")
	} else {
		require.Greater(s.t, st.Seq, s.seq)
	}
	s.epoch, s.seq = st.Epoch, st.Seq
	if st.Full || s.workers == nil {
		s.workers = make(map[worker.ID]plan.WorkerState)
	} else {
		s.partial++
	}
	for _, w := range st.Workers {
		require.False(s.t, w.Partial)
		s.workers[w.ID] = w
	}
	if st.EndpointsChanged {
		s.endpoints = st.Endpoints
	}
}

// matches reports whether the sink equals the owner's full state, except for the
// ages of tasks.
func (s *sink) matches(full plan.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(full.Workers) != len(s.workers) || !slices.Equal(full.Endpoints, s.endpoints) {
		return false
	}
	for _, w := range full.Workers {
		seen := s.workers[w.ID]
		if seen.Reserved != w.Reserved || seen.Unusable != w.Unusable || !slices.Equal(refsOf(seen), refsOf(w)) {
			return false
		}
	}
	return true
}

func refsOf(w plan.WorkerState) []string {
	var refs []string
	for _, t := range w.Tasks {
		refs = append(refs, t.Ref.Task.String())
	}
	slices.SortFunc(refs, strings.Compare)
	return refs
}

func TestViewShowsWhatTheOwnerHolds(t *testing.T) {
	inBubble(t, 2, 3, small.Times(20), func(c *cell) {
		d := c.ready()
		caller, _ := c.net.Node(peer.Ref{ID: "viewer", Incarnation: 1})
		seen := &sink{t: t}
		view := cellview.New(cellview.Options{
			Directory: c.daemons[0].manager, Caller: caller, Partitions: c.daemons[0].racks.Partitions,
			Listed: c.daemons[0].racks.Changed, Sinks: []cellview.Sink{seen}, Log: zerolog.Nop(),
		})
		go func() { _ = view.Serve(c.ctx) }()
		rng := rand.New(rand.NewPCG(1, 1))
		for i := range 300 {
			s := step(i, workerID(rng.IntN(3)))
			if i%3 == 0 {
				s = service(i, s.Worker)
			}
			s.Start.RunTime = spec.Duration(time.Duration(1+rng.IntN(20)) * time.Second)
			c.author.commit(d, s)
			if i%3 == 0 {
				_ = c.author.call(d, plan.MethodStop, plan.Stop{
					Partition: testPartition, Author: c.author.authorship(), Mode: plan.StopNow, DrainMillis: 2000,
					Tasks: []worker.Ref{{Task: taskID(rng.IntN(i + 1)), Attempt: 1}},
				}, nil)
			}
			if i == 150 {
				require.NoError(t, d.manager.Leave(c.ctx))
				d = c.ready()
			}
			time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		}
		c.eventually(20*time.Second, "same", func() bool { return seen.matches(c.state(d)) })
		require.Greater(t, seen.partial, 100)
	})
}
