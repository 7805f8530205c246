package ownership

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// sendOrders sends the starts that an owner has accepted for a worker.
func (m *model) sendOrders(o, w int) {
	owner := m.owners[o]
	if owner.epoch == 0 {
		return
	}
	n := owner.nodes[w]
	if !n.fenced || n.call != 0 {
		return
	}
	for task := range modelTasks {
		attempt, ok := n.orders[task]
		if !ok {
			continue
		}
		delete(n.orders, task)
		n.tasks[task] = &modelHeld{attempt, startSent}
		lease := n.lease
		m.request(o, w, func() func(*modelNode) { return m.start(w, lease, task, attempt) })
		return
	}
}

// start handles a start at a worker.
func (m *model) start(w, lease, task, attempt int) func(*modelNode) {
	worker := m.workers[w]
	if !worker.leases[lease].valid {
		return func(n *modelNode) {
			delete(n.tasks, task)
			n.fenced, n.step = false, 0
			m.ended(task, attempt)
		}
	}
	m.starts++
	worker.running[task] = modelRun{lease, attempt}
	return func(n *modelNode) {
		if held := n.tasks[task]; held != nil && held.attempt == attempt {
			held.state = confirmedRunning
		}
	}
}

// sync is a heartbeat, from which the owner learns which of its tasks have ended.
func (m *model) sync(o, w int) {
	owner := m.owners[o]
	if owner.epoch == 0 || !owner.nodes[w].fenced || owner.nodes[w].call != 0 {
		return
	}
	lease := owner.nodes[w].lease
	m.request(o, w, func() func(*modelNode) {
		if !m.workers[w].leases[lease].valid {
			return func(n *modelNode) { n.fenced, n.step = false, 0 }
		}
		running := maps.Clone(m.workers[w].running)
		return func(n *modelNode) {
			for task, held := range n.tasks { // in any order: they are independent
				if held.state == confirmedRunning && running[task].attempt != held.attempt {
					delete(n.tasks, task)
					m.ended(task, held.attempt)
				}
			}
		}
	})
}

// ended reports to the owner of the jobs that an attempt does not run any more.
func (m *model) ended(task, attempt int) {
	if m.tasks[task].attempt == attempt {
		m.tasks[task].held = false
	}
}

// propose sends a plan for a task that is known not to run.
func (m *model) propose(o, w, task int) {
	if m.tasks[task].held || m.fencedBy == 0 {
		return
	}
	m.seq++
	attempt := m.seq
	m.tasks[task] = modelTask{held: true, worker: w, attempt: attempt}
	m.send(func() {
		owner := m.owners[o]
		stale := m.g.planNumbers && attempt < owner.minSeq
		if owner.epoch == 0 || stale || !owner.nodes[w].fenced || owner.holds(task) {
			return // the answer may be lost: only a fence resolves this
		}
		owner.nodes[w].orders[task] = attempt
	})
}

func (o *modelOwner) holds(task int) bool {
	for _, n := range o.nodes {
		if _, ok := n.orders[task]; ok || n.tasks[task] != nil {
			return true
		}
	}
	return false
}

// sendFence asks an owner which tasks it holds. The owner answers after it has confirmed
// its claim.
func (m *model) sendFence(o int) {
	m.seq++
	seq := m.seq
	m.send(func() {
		owner, me := m.owners[o], m.refOf(o)
		if owner.epoch == 0 {
			return
		}
		owner.minSeq = max(owner.minSeq, seq)
		epoch := owner.epoch
		m.send(func() {
			if m.g.fenceConfirmed && !m.confirmed(o, epoch) {
				return
			}
			m.send(func() {
				if m.refOf(o) == me && m.owners[o].epoch == epoch {
					m.fenceAnswered(m.owners[o], seq)
				}
			})
		})
	})
}

func (m *model) fenceAnswered(owner *modelOwner, seq int) {
	if owner.epoch < m.fencedBy {
		return
	}
	m.fencedBy = owner.epoch
	for task := range m.tasks {
		t := &m.tasks[task]
		n := owner.nodes[t.worker]
		unaccounted := n.step < 2 && len(n.tasks) == 0 && !n.accounted && !n.fenced
		if t.held && t.attempt < seq && !owner.holds(task) && !unaccounted && (n.fenced || n.accounted) {
			t.held = false
		}
	}
}

// expireEarlier lets the leases of earlier owners at a worker expire, once each owner has
// certainly stopped, and marks the worker as accounted for. The owner's own leases there,
// to which it may have moved tasks without receiving an answer, expire as well: the wait
// starts with its own last call.
func (m *model) expireEarlier(o, w int) {
	owner := m.owners[o]
	if owner.epoch == 0 || owner.nodes[w].fenced || owner.nodes[w].call != 0 {
		return
	}
	for _, l := range append(slices.Clone(owner.earlier), m.refOf(o)) {
		if l.incarnation == m.owners[l.owner].incarnation && l.owner != o {
			if m.g.waitForEarlier {
				return
			}
			continue
		}
		for id, lease := range m.workers[w].leases {
			if lease.holder == l {
				m.expire(w, id)
			}
		}
	}
	owner.nodes[w].step = 0
	if len(owner.nodes[w].tasks) == 0 {
		owner.nodes[w].accounted = true
	}
}

// expire ends a lease and, after that, the tasks under it.
func (m *model) expire(w, id int) {
	worker := m.workers[w]
	worker.leases[id].valid = false
	for task, run := range worker.running {
		if run.lease == id {
			delete(worker.running, task)
		}
	}
}

// finishOrExpire ends a task, or lets any lease expire.
func (m *model) finishOrExpire(w, task int, pick func(int) int) {
	worker := m.workers[w]
	if pick(2) == 0 {
		delete(worker.running, task)
		return
	}
	ids := make([]int, 0, len(worker.leases))
	for id, l := range worker.leases {
		if l.valid {
			ids = append(ids, id)
		}
	}
	if len(ids) > 0 {
		slices.Sort(ids)
		worker.leases[ids[pick(len(ids))]].valid = false
	}
}

// recordFenced records in the store that every earlier owner is fenced or accounted for.
func (m *model) recordFenced(o int) {
	owner := m.owners[o]
	if owner.epoch == 0 || !m.confirmed(o, owner.epoch) {
		return
	}
	for _, n := range owner.nodes {
		if !n.fenced && !n.accounted {
			return
		}
	}
	m.claim.earlier = nil
}

// TestProtocolModelNeverRunsATaskTwice lets rapid choose every step.
func TestProtocolModelNeverRunsATaskTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }
		m := newModel(allGuards, pick)
		for range rapid.IntRange(500, 3000).Draw(rt, "steps") {
			m.act(pick)
			if m.doubleRun != "" {
				rt.Fatal(m.doubleRun)
			}
		}
	})
}

// search runs the model with random steps. It returns how many runs it took to find a
// double run, 0 if none was found, and how many starts took effect.
func search(g guards, runs, steps int) (found, starts int) {
	for run := 1; run <= runs; run++ {
		rng := rand.New(rand.NewPCG(uint64(run), 1))
		m := newModel(g, rng.IntN)
		for range steps {
			m.act(rng.IntN)
			if m.doubleRun != "" {
				return run, starts
			}
		}
		starts += m.starts
	}
	return 0, starts
}

// TestProtocolModelFindsWhatEachGuardPrevents shows that the model finds a double run
// when one of the guards is disabled. For the order of the confirmation (confirmAfter)
// this takes about 22,000 runs, so that is tried with FENNEL_LONG=1 only; it and the
// confirmed fence are also tested with the owners in package partition.
func TestProtocolModelFindsWhatEachGuardPrevents(t *testing.T) {
	const steps = 4000
	runs, long := 2000, os.Getenv("FENNEL_LONG") != ""
	if long {
		runs = 25000
	}
	found, starts := search(allGuards, runs/4, steps)
	require.Zero(t, found, "with every guard")
	require.Greater(t, starts, runs/2, "the model must start tasks")
	cases := map[string]func(g *guards){
		"revoke":          func(g *guards) { g.revoke = false },
		"waitForEarlier":  func(g *guards) { g.waitForEarlier = false },
		"rememberEarlier": func(g *guards) { g.rememberEarlier = false },
		"planNumbers":     func(g *guards) { g.planNumbers = false },
	}
	if long {
		cases["confirmAfter"] = func(g *guards) { g.confirmAfter = false }
	}
	for name, drop := range cases {
		t.Run(name, func(t *testing.T) {
			g := allGuards
			drop(&g)
			found, _ := search(g, runs, steps)
			require.NotZero(t, found, "the model does not need this guard")
		})
	}
}
