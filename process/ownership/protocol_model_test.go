package ownership

import (
	"fmt"
	"slices"
)

// A model of the fencing protocol. Every message is a step of its own, which is
// delivered at any later time or never, in any order. Time passes only when a lease
// expires. The actions of the owners in package partition are modelled as single steps,
// so that a daemon can be suspended between any two of them.

const (
	modelOwners  = 3
	modelWorkers = 2
	modelTasks   = 2
)

// guards are the protocol's safeguards. Each can be disabled, to show that the model
// finds the double run that it prevents:
//   - revoke: fencing a worker revokes the leases of all others there.
//   - confirmAfter: the claim is confirmed after a lease was opened, not before.
//   - fenceConfirmed: an owner answers a fence only after it has confirmed its claim.
//   - waitForEarlier: a worker is accounted for only after every earlier owner has stopped.
//   - rememberEarlier: a claim lists the earlier owners that are not known to be fenced.
//   - planNumbers: an owner refuses plans that are older than the latest fence.
type guards struct {
	revoke, confirmAfter, fenceConfirmed, waitForEarlier, rememberEarlier, planNumbers bool
}

var allGuards = guards{true, true, true, true, true, true}

// incarnationRef identifies one incarnation of an owner.
type incarnationRef struct{ owner, incarnation int }

type modelLease struct {
	holder incarnationRef
	valid  bool
}

type modelRun struct{ lease, attempt int }

type modelWorker struct {
	comparesEpochs bool
	maxEpoch       int
	leases         map[int]*modelLease
	running        map[int]modelRun // by task
}

type taskState int

const (
	startSent taskState = iota
	startUnknown
	confirmedRunning
)

// modelNode is an owner's state of a worker.
type modelNode struct {
	step      int // of fencing, see fenceStep
	call      int // the call in flight, 0 for none
	lease     int
	others    []int // other leases at the worker, which are to be revoked
	fenced    bool
	accounted bool // earlier owners have stopped, and their leases at the worker have expired
	tasks     map[int]*modelHeld
	orders    map[int]int // task -> attempt, not sent yet
}

// modelHeld is an attempt that an owner has sent to a worker, or found running there.
type modelHeld struct {
	attempt int
	state   taskState
}

type modelOwner struct {
	incarnation int
	epoch       int // 0: owns nothing
	earlier     []incarnationRef
	nodes       [modelWorkers]*modelNode
	minSeq      int // kept when the ownership ends
}

type modelClaim struct {
	holder  incarnationRef
	epoch   int
	earlier []incarnationRef
}

// modelTask is the state of a task at the owner of the jobs.
type modelTask struct {
	held    bool
	worker  int
	attempt int // also the sequence number of the plan
}

type model struct {
	g         guards
	claim     modelClaim
	workers   [modelWorkers]*modelWorker
	owners    [modelOwners]*modelOwner
	tasks     [modelTasks]modelTask
	fencedBy  int // latest partition epoch that answered a fence
	seq       int
	ids       int
	messages  []func()
	doubleRun string
	starts    int

	// claimRate and fenceRate set how often claims are taken and how often the owner of
	// the jobs sends fences; different faults need different mixes.
	claimRate, fenceRate int
}

func newModel(g guards, pick func(n int) int) *model {
	m := &model{g: g, claimRate: 1 + 5*pick(3), fenceRate: 10 + 25*pick(3)}
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

func (m *model) refOf(o int) incarnationRef { return incarnationRef{o, m.owners[o].incarnation} }

// act performs one step chosen by pick, which returns a number below its argument.
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
	switch n := pick(400) - m.claimRate; {
	case n < 0 && pick(2) == 0:
		m.takeClaim(o)
	case n < 0 && pick(3) == 0:
		m.restart(o)
	case n < 100:
		m.fenceStep(o, w)
	case n < 105:
		m.abandonCall(o, w)
	case n < 200:
		m.sendOrders(o, w)
	case n < 320-m.fenceRate:
		m.propose(o, w, task)
	case n < 320:
		m.sendFence(o)
	case n < 330:
		m.expireEarlier(o, w)
	case n < 345:
		m.finishOrExpire(w, task, pick)
	case n < 395:
		m.sync(o, w)
	default:
		m.recordFenced(o)
	}
	m.check()
}

// takeClaim lets any owner claim at any time: the guards must not depend on a correct
// detection of failed members.
func (m *model) takeClaim(o int) {
	me := m.refOf(o)
	earlier := append([]incarnationRef{}, m.claim.earlier...)
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

// request sends a call of an owner to a worker. f runs at the worker and returns the
// function that handles the answer at the owner, unless the owner has abandoned the
// call or lost the partition meanwhile.
func (m *model) request(o, w int, f func() func(n *modelNode)) {
	owner := m.owners[o]
	epoch, me, n := owner.epoch, m.refOf(o), owner.nodes[w]
	call := m.id()
	n.call = call
	m.send(func() {
		answer := f()
		m.send(func() {
			if m.refOf(o) == me && m.owners[o].epoch == epoch && n.call == call {
				n.call = 0
				answer(n)
			}
		})
	})
}

func (m *model) confirmed(o, epoch int) bool {
	return m.claim.holder == m.refOf(o) && m.claim.epoch == epoch
}

// fenceStep performs the next step of fencing a worker.
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
	me := m.refOf(o)
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
				n.tasks[task] = &modelHeld{attempt, confirmedRunning}
			}
			n.fenced = true
		}
	})
}

// abandonCall is a timeout: the message may still arrive.
func (m *model) abandonCall(o, w int) {
	owner := m.owners[o]
	if owner.epoch == 0 || owner.nodes[w].call == 0 {
		return
	}
	n := owner.nodes[w]
	n.call = 0
	for _, held := range n.tasks {
		if held.state == startSent {
			held.state = startUnknown
		}
	}
	// All uncertain outcomes are resolved by fencing again, with a new lease.
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
		if at > 1 && m.doubleRun == "" {
			m.doubleRun = fmt.Sprintf("task %d runs at %d workers", task, at)
		}
	}
}
