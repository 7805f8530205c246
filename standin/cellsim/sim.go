package cellsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/version/work"
)

const service = "s"

// What accounts may hand in beside their weight a second.
const (
	entitledWindow = 5 * time.Second
	entitledSlack  = 20
)

// Times of the model.
const (
	tick = 25 * time.Millisecond
	// hop is the way to a worker, a daemon or the store.
	hop = 500 * time.Microsecond
	// answer of a store that is well.
	storeAnswer = 4 * time.Millisecond
	lease       = 6 * time.Second
	gangWait    = 4 * time.Second
	stopTakes   = 900 * time.Millisecond // at the most
	restore     = 250 * time.Millisecond // with a checkpoint
	slowFactor  = 6
	// drain is how long a run goes on after its load.
	drain = 25 * time.Second
)

// tries are when a caller hands a job in that was refused, after the first time.
var tries = []time.Duration{1050 * time.Millisecond, 1800 * time.Millisecond, 2350 * time.Millisecond, 2850 * time.Millisecond}

// Options of a run.
type Options struct {
	Seed    uint64
	Workers int
	// Daemons through which advice is asked.
	Daemons int
	Classes []Class
	// Accounts that hand the jobs in; none if there are none.
	Accounts []Account
	Pattern  Pattern
	Policy   dispatch.Policy
	// Length of the load.
	Length time.Duration
	// Violation is told each broken invariant of the engine.
	Violation func(what string)
}

// sim is one run.
type sim struct {
	o      *Options
	rng    *rand.Rand
	now    time.Duration
	events eventHeap
	seq    uint64

	epoch   uint64
	engine  *dispatch.Engine // nil: nobody leads
	life    int              // raised with each engine; calls of an earlier one are lost
	workers map[runner.WorkerID]*worker
	order   []*worker
	gangs   map[gangKey]*gangRun

	entries map[string]store.Entry
	rev     store.Revision
	jobs    map[work.JobID]*job
	open    []*job
	all     []*job
	result  Result
	stats   dispatch.Stats
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// Run plays a cell and returns what became of its jobs.
func Run(o Options) *Result {
	s := &sim{o: &o, rng: rand.New(rand.NewPCG(o.Seed, 7)), workers: map[runner.WorkerID]*worker{}, gangs: map[gangKey]*gangRun{},
		entries: map[string]store.Entry{}, jobs: map[work.JobID]*job{}}
	s.all = drawJobs(&o, s.rng)
	s.addWorkers()
	s.lead()
	for _, j := range s.all {
		s.jobs[j.id] = j
		s.at(settle+j.sent, func() { s.handIn(j, 0) })
	}
	if o.Pattern.LeaderLost > 0 {
		s.at(settle+o.Pattern.LeaderLost, s.loseLeader)
	}
	s.at(0, s.tick)
	s.play(settle + o.Length + drain)
	return s.report()
}

// settle is how long the cell stands before its load begins.
const settle = time.Second

// pattern time: from the start of the load.
func (s *sim) loadTime() time.Duration { return s.now - settle }

func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{max(t, s.now), s.seq, do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// play plays events until a time; the engine is flushed after those that happen
// together, as its host does.
func (s *sim) play(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		s.now = s.events[0].at
		for len(s.events) > 0 && s.events[0].at <= s.now+hop {
			heap.Pop(&s.events).(event).do()
		}
		s.flush()
	}
}

func (s *sim) tick() {
	if s.engine != nil {
		s.engine.Tick(s.now)
		s.look()
	}
	s.account()
	s.after(tick, s.tick)
}

// lead starts an engine of the next epoch.
func (s *sim) lead() {
	s.epoch++
	s.life++
	s.engine = dispatch.NewEngine(dispatch.Options{Epoch: s.epoch, Policy: s.o.Policy,
		Bounds: dispatch.Bounds{Lease: lease, MaxLease: lease, Gang: gangWait, Keep: time.Hour,
			Entitled: fair.Entitlement{Window: entitledWindow, Slack: entitledSlack}},
		Violation: func(what string, task work.TaskID, w runner.WorkerID) {
			if s.o.Violation != nil {
				s.o.Violation(fmt.Sprintf("%s: %s on %s", what, task, w))
			}
		}})
	saved := dispatch.Saved{Accepted: s.under(dispatch.PrefixJobs), States: s.under(dispatch.PrefixState), Bundles: s.under(dispatch.PrefixBundle)}
	saved.Fleet = s.under("fleet")
	if err := s.engine.Load(s.now, saved); err != nil && s.o.Violation != nil {
		s.o.Violation(err.Error())
	}
	s.engine.SetAccounts(s.now, s.o.accounts())
	for _, w := range s.order {
		if !w.gone {
			s.engine.WorkerSeen(s.now, w.seen)
		}
	}
	names := make([]string, s.o.Daemons)
	for i := range names {
		names[i] = fmt.Sprintf("d-%02d", i)
	}
	s.engine.Members(s.now, names)
}

// loseLeader ends the engine, whose calls that are on their way are answered to
// nobody, and starts another after a while.
func (s *sim) loseLeader() {
	s.addStats()
	s.engine = nil
	s.life++
	s.after(s.o.Pattern.Takeover, s.lead)
}

func (s *sim) addStats() {
	if s.engine == nil {
		return
	}
	st := s.engine.Stats()
	s.stats.Starts += st.Starts
	s.stats.Stops += st.Stops
	s.stats.Commits += st.Commits
	s.stats.Advised += st.Advised
	s.stats.Holds += st.Holds
	s.stats.Failed += st.Failed
	s.stats.Back += st.Back
	s.stats.Moved += st.Moved
	s.stats.Lost += st.Lost
	s.stats.Aside += st.Aside
	s.stats.Violations += st.Violations
}

// under lists the store's entries with a prefix. The order does not matter to the
// engine but by revision.
func (s *sim) under(prefix string) []store.Entry {
	var found []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	sortEntries(found)
	return found
}

// storeTakes returns how long a call takes that is made now, until an outage is
// over if there is one.
func (s *sim) storeTakes() time.Duration {
	p := &s.o.Pattern
	t := s.loadTime()
	switch {
	case p.Outage.has(t):
		return p.Outage.Until - t + storeAnswer
	case p.SlowStore.has(t):
		return p.SlowAnswer
	}
	return storeAnswer
}

// handIn tries to hand a job in.
func (s *sim) handIn(j *job, try int) {
	if s.o.Pattern.Outage.has(s.loadTime()) {
		if try < len(tries) {
			s.at(settle+j.sent+tries[try], func() { s.handIn(j, try+1) })
		}
		return
	}
	j.spec.Accepted = j.sent.Milliseconds()
	s.after(s.storeTakes(), func() {
		j.accepted = s.now
		j.spec.Epoch = s.epoch
		value, err := work.EncodeJob(j.spec)
		if err != nil {
			panic(fmt.Sprintf("cellsim: a drawn job does not encode: %v", err))
		}
		s.rev++
		e := store.Entry{Key: dispatch.KeyIn(j.id), Value: value, Revision: s.rev}
		s.entries[e.Key] = e
		s.open = append(s.open, j)
		if s.engine != nil {
			s.accept(e)
		}
	})
}

func (s *sim) accept(e store.Entry) {
	if err := s.engine.Accepted(s.now, e); err != nil && s.o.Violation != nil {
		s.o.Violation(err.Error())
	}
}

// look notes what callers are shown.
func (s *sim) look() {
	kept := s.open[:0]
	for _, j := range s.open {
		state, known := s.engine.State(j.id)
		if known && state == work.Running && j.begun == 0 {
			j.begun = s.now
		}
		if known && state.Final() {
			j.shown, j.ended = s.now, state
			if j.begun == 0 {
				j.begun = s.now
			}
			continue
		}
		kept = append(kept, j)
	}
	s.open = kept
}

// flush carries the engine's effects out.
func (s *sim) flush() {
	if s.engine == nil {
		return
	}
	life := s.life
	back := func(d time.Duration, do func()) {
		s.after(d, func() {
			if s.life == life && s.engine != nil {
				do()
			}
		})
	}
	for _, effect := range s.engine.Flush(s.now) {
		switch x := effect.(type) {
		case dispatch.SendStart:
			s.sendStart(x, back)
		case dispatch.SendStop:
			s.sendStop(x, back)
		case dispatch.SendRenew:
			s.sendRenew(x, back)
		case dispatch.SendCommit:
			s.commit(x, back)
		case dispatch.AskAdvice:
			s.askAdvice(x, back)
		}
	}
}

// commit applies a write when it is answered. A write of a leader that is lost
// before may take effect or not; here it does not.
func (s *sim) commit(x dispatch.SendCommit, back func(time.Duration, func())) {
	back(s.storeTakes(), func() {
		s.rev++
		for _, w := range x.Writes {
			s.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value, Revision: s.rev}
		}
		for _, key := range x.Deletes {
			delete(s.entries, key)
		}
		s.engine.Committed(s.now, x.Chain)
	})
}

// askAdvice answers for one daemon; the engine asks it once at a time.
func (s *sim) askAdvice(x dispatch.AskAdvice, back func(time.Duration, func())) {
	j := s.jobs[x.Step.Job]
	c := &s.o.Classes[j.class]
	back(2*hop+c.Queue.Advice.Cost(len(x.Workers)), func() {
		var good []runner.Ticket
		for _, w := range x.Workers {
			if chance(x.Step, w) < c.Good {
				good = append(good, runner.Ticket{Worker: w, Ticket: "t"})
			}
		}
		s.engine.Advised(s.now, x.Member, x.Step, good, nil)
	})
}
