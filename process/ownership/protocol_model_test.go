package ownership

import (
	"fmt"
	"slices"
)

// The model of the fencing protocol: every message is its own step, is
// delivered at any later time or never, in any order, and time passes only
// where a lease runs out. What the real owners do in package partition is
// modelled step by step, so that a daemon can be paused between any two steps.

const (
	modelOwners  = 3
	modelWorkers = 2
	modelTasks   = 2
)

// guards can be switched off one by one, to see that the model finds the
// double run that each of them prevents.
type guards struct {
	revoke, confirmAfter, fenceConfirmed, waitForEarlier, rememberEarlier, planNumbers bool
}

var allGuards = guards{true, true, true, true, true, true}

// life is one life of an owner.
type life struct{ owner, incarnation int }

type modelLease struct {
	holder life
	valid  bool
}

type modelRun struct{ lease, attempt int }

type modelWorker struct {
	comparesEpochs bool
	maxEpoch       int
	leases         map[int]*modelLease
	running        map[int]modelRun // by task
}

type taskBelief int

const (
	startSent taskBelief = iota
	startUnknown
	knownRunning
)

// modelNode is an owner's knowledge of a worker.
type modelNode struct {
	step      int // of fencing, see fenceStep
	call      int // the call under way, 0 none
	lease     int
	others    []int
	fenced    bool
	accounted bool
	tasks     map[int]*modelHeld
	orders    map[int]int // task -> attempt, not sent yet
}

type modelHeld struct {
	attempt int
	belief  taskBelief
}

type modelOwner struct {
	incarnation int
	epoch       int // 0: owns nothing
	earlier     []life
	nodes       [modelWorkers]*modelNode
	minSeq      int // outlives the ownership
}

type modelClaim struct {
	holder  life
	epoch   int
	earlier []life
}

// modelTask is what the owner of the jobs believes of a task.
type modelTask struct {
	held    bool
	worker  int
	attempt int // also the number of the plan
}

type model struct {
	g        guards
	claim    modelClaim
	workers  [modelWorkers]*modelWorker
	owners   [modelOwners]*modelOwner
	tasks    [modelTasks]modelTask
	fencedBy int // newest partition epoch that answered a fence
	seq      int
	ids      int
	messages []func()
	double   string
	starts   int

	// churn and asking set how often claims are taken and how often the owner
	// of the jobs asks; different faults need different mixes.
	churn, asking int
}

func newModel(g guards, pick func(n int) int) *model {
	m := &model{g: g, churn: 1 + 5*pick(3), asking: 10 + 25*pick(3)}
	for i := range m.workers {
		m.workers[i] = &modelWorker{comparesEpochs: i%2 == 1, leases: make(map[int]*modelLease), running: make(map[int]modelRun)}
	}
	for i := range m.owners {
		m.owners[i] = &modelOwner{incarnation: 1}
	}
	return m
}

func (m *model) id() int {
	m.ids++
	return m.ids
}

func (m *model) send(f func()) { m.messages = append(m.messages, f) }

func (m *model) lifeOf(o int) life { return life{o, m.owners[o].incarnation} }

// act does one step chosen by pick, which returns a number below its argument.
func (m *model) act(pick func(n int) int) {
	o, w, task := pick(modelOwners), pick(modelWorkers), pick(modelTasks)
	if m.claim.epoch > 0 && pick(3) > 0 {
		o = m.claim.holder.owner
	}
	if len(m.messages) > 0 && pick(2) == 0 {
		m.deliver(pick)
		m.check()
		return
	}
	switch n := pick(400) - m.churn; {
	case n < 0 && pick(2) == 0:
		m.takeClaim(o)
	case n < 0 && pick(3) == 0:
		m.restart(o)
	case n < 100:
		m.fenceStep(o, w)
	case n < 105:
		m.giveUpCall(o, w)
	case n < 200:
		m.sendOrders(o, w)
	case n < 320-m.asking:
		m.propose(o, w, task)
	case n < 320:
		m.askFence(o)
	case n < 330:
		m.runOut(o, w)
	case n < 345:
		m.finishOrLapse(w, task, pick)
	case n < 395:
		m.sync(o, w)
	default:
		m.settle(o)
	}
	m.check()
}

// takeClaim lets any owner claim at any time: the guards may not depend on the
// others being right about who is gone.
func (m *model) takeClaim(o int) {
	me := m.lifeOf(o)
	earlier := append([]life{}, m.claim.earlier...)
	if !m.g.rememberEarlier {
		earlier = nil
	}
	if m.claim.epoch > 0 {
		earlier = append(earlier, m.claim.holder)
	}
	m.claim = modelClaim{holder: me, epoch: m.claim.epoch + 1, earlier: earlier}
	owner := m.owners[o]
	owner.epoch, owner.earlier = m.claim.epoch, earlier
	for i := range owner.nodes {
		owner.nodes[i] = &modelNode{tasks: make(map[int]*modelHeld), orders: make(map[int]int)}
	}
}

func (m *model) restart(o int) {
	m.owners[o] = &modelOwner{incarnation: m.owners[o].incarnation + 1}
}

// request sends a call of an owner to a worker; f runs at the worker and
// returns what runs at the owner with the answer, unless it gave up or lost the
// partition meanwhile.
func (m *model) request(o, w int, f func() func(n *modelNode)) {
	owner := m.owners[o]
	epoch, me, n := owner.epoch, m.lifeOf(o), owner.nodes[w]
	call := m.id()
	n.call = call
	m.send(func() {
		answer := f()
		m.send(func() {
			if m.lifeOf(o) == me && m.owners[o].epoch == epoch && n.call == call {
				n.call = 0
				answer(n)
			}
		})
	})
}

func (m *model) confirmed(o, epoch int) bool {
	return m.claim.holder == m.lifeOf(o) && m.claim.epoch == epoch
}

// fenceStep takes the next step of fencing a worker.
func (m *model) fenceStep(o, w int) {
	owner := m.owners[o]
	if owner.epoch == 0 || owner.nodes[w].call != 0 || owner.nodes[w].fenced {
		return
	}
	n, epoch := owner.nodes[w], owner.epoch
	first, second := m.openStep, m.confirmStep
	if !m.g.confirmAfter {
		first, second = second, first
	}
	switch n.step {
	case 0:
		first(o, w, epoch)
	case 1:
		second(o, w, epoch)
	case 2:
		m.request(o, w, func() func(*modelNode) {
			var others []int
			for id, l := range m.workers[w].leases {
				if l.valid && id != n.lease {
					others = append(others, id)
				}
			}
			slices.Sort(others)
			return func(n *modelNode) { n.others, n.step = others, 3 }
		})
	case 3:
		m.revokeStep(o, w)
	}
}

func (m *model) openStep(o, w, epoch int) {
	me := m.lifeOf(o)
	m.request(o, w, func() func(*modelNode) {
		worker := m.workers[w]
		if worker.comparesEpochs && epoch < worker.maxEpoch {
			return func(n *modelNode) { n.step = 0 }
		}
		worker.maxEpoch = max(worker.maxEpoch, epoch)
		id := m.id()
		worker.leases[id] = &modelLease{holder: me, valid: true}
		return func(n *modelNode) { n.lease, n.step = id, n.step+1 }
	})
}

func (m *model) confirmStep(o, w, epoch int) {
	m.request(o, w, func() func(*modelNode) {
		ok := m.confirmed(o, epoch)
		return func(n *modelNode) {
			if !ok {
				m.owners[o].epoch = 0
				return
			}
			n.step++
		}
	})
}

// revokeStep revokes one lease, or reads the tasks when none is left.
func (m *model) revokeStep(o, w int) {
	n := m.owners[o].nodes[w]
	if len(n.others) > 0 && m.g.revoke {
		id := n.others[0]
		m.request(o, w, func() func(*modelNode) {
			m.workers[w].leases[id].valid = false
			return func(n *modelNode) { n.others = n.others[1:] }
		})
		return
	}
	m.request(o, w, func() func(*modelNode) {
		running := make(map[int]int)
		for task, run := range m.workers[w].running {
			m.workers[w].running[task] = modelRun{n.lease, run.attempt}
			running[task] = run.attempt
		}
		return func(n *modelNode) {
			for task, held := range n.tasks {
				if attempt, ok := running[task]; !ok || attempt != held.attempt {
					delete(n.tasks, task)
					m.ended(task, held.attempt)
				}
			}
			for task, attempt := range running {
				n.tasks[task] = &modelHeld{attempt, knownRunning}
			}
			n.fenced = true
		}
	})
}

// giveUpCall is a timeout: the message may still arrive.
func (m *model) giveUpCall(o, w int) {
	owner := m.owners[o]
	if owner.epoch == 0 || owner.nodes[w].call == 0 {
		return
	}
	n := owner.nodes[w]
	n.call = 0
	for _, held := range n.tasks {
		if held.belief == startSent {
			held.belief = startUnknown
		}
	}
	// Whatever was open is settled by fencing anew, with a new lease.
	n.fenced, n.step, n.others = false, 0, nil
}

func (m *model) deliver(pick func(int) int) {
	if len(m.messages) == 0 {
		return
	}
	i := pick(len(m.messages))
	f := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	if pick(30) > 0 { // else it is lost
		f()
	}
}

func (m *model) check() {
	for task := range modelTasks {
		at := 0
		for _, w := range m.workers {
			if _, ok := w.running[task]; ok {
				at++
			}
		}
		if at > 1 && m.double == "" {
			m.double = fmt.Sprintf("task %d runs at %d workers", task, at)
		}
	}
}
