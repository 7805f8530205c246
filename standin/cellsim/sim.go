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
	"fennelshunt.example/fennelshunt/process/loadshed"
	"fennelshunt.example/fennelshunt/version/work"
)

const service = "s"

// Burst that an account is entitled to beyond its weight in jobs per second: that rate for
// entitledWindow, and entitledSlack jobs.
const (
	entitledWindow = 5 * time.Second
	entitledSlack  = 20
)

// Times of the model.
const (
	tick = 25 * time.Millisecond
	// hop is the one-way latency to a worker, a daemon or the store.
	hop = 500 * time.Microsecond
	// storeLatency is the response time of the store in normal operation.
	storeLatency = 4 * time.Millisecond
	lease        = 6 * time.Second
	gangWait     = 4 * time.Second
	maxStop      = 900 * time.Millisecond // longest time until an ordered stop takes effect
	restore      = 250 * time.Millisecond // extra run time of a start from a checkpoint
	slowFactor   = 6
	// drain is how long a run continues after the end of its load.
	drain = 25 * time.Second
)

// retries are the times at which a caller submits a refused job again, counted from the
// first submission.
var retries = []time.Duration{1050 * time.Millisecond, 1800 * time.Millisecond, 2350 * time.Millisecond, 2850 * time.Millisecond}

// Options of a simulation run.
type Options struct {
	Seed    uint64
	Workers int
	// Daemons is the number of daemons that call the advice service.
	Daemons int
	Classes []Class
	// Accounts submit the jobs; without accounts, jobs have none.
	Accounts []Account
	Pattern  Pattern
	Policy   dispatch.Policy
	// Length is how long jobs are submitted.
	Length time.Duration
	// Violation is called for each violated invariant of the engine.
	Violation func(what string)
}

// sim is the state of one run.
type sim struct {
	o      *Options
	rng    *rand.Rand
	now    time.Duration
	events eventHeap
	seq    uint64

	epoch       uint64
	engine      *dispatch.Engine // nil while there is no leader
	incarnation int              // of the engine; responses to calls of an earlier one are dropped
	workers     map[runner.WorkerID]*worker
	order       []*worker
	gangs       map[gangKey]*gangRun

	entries map[string]store.Entry
	rev     store.Revision
	jobs    map[work.JobID]*job
	open    []*job
	all     []*job
	result  Result
	stats   dispatch.Stats
	adviser map[string]time.Duration // when the call of each daemon that comes last ends
	// proxiesLost is the share of the daemons that are no members now.
	proxiesLost float64

	gates   []loadshed.Gate // of the daemons
	gateRNG *rand.Rand      // draws the daemons of submissions; its own, so that it changes no other draw
}

// event is a function to be executed at a virtual time.
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

// Run simulates a cell and returns the results of its jobs.
func Run(o Options) *Result {
	s := &sim{o: &o, adviser: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(o.Seed, 7)), workers: map[runner.WorkerID]*worker{}, gangs: map[gangKey]*gangRun{},
		entries: map[string]store.Entry{}, jobs: map[work.JobID]*job{}, gates: make([]loadshed.Gate, max(1, o.Daemons)), gateRNG: rand.New(rand.NewPCG(o.Seed, 11))}
	s.all = drawJobs(&o, s.rng)
	s.addWorkers()
	s.lead()
	for _, j := range s.all {
		s.jobs[j.id] = j
		s.at(settle+j.submitted, func() { s.submit(j, 0) })
	}
	if o.Pattern.LeaderLost > 0 {
		s.at(settle+o.Pattern.LeaderLost, s.loseLeader)
	}
	if o.Pattern.ProxiesLost > 0 {
		s.at(settle+o.Pattern.ProxyFault.From, func() { s.loseProxies(o.Pattern.ProxiesLost) })
		s.at(settle+o.Pattern.ProxyFault.Until, func() { s.loseProxies(0) })
	}
	s.at(0, s.tick)
	s.runEvents(settle + o.Length + drain)
	return s.report()
}

// settle is how long the cell runs before its load begins.
const settle = time.Second

// loadTime is the time since the start of the load, to which a Pattern's times refer.
func (s *sim) loadTime() time.Duration { return s.now - settle }

func (s *sim) at(t time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{max(t, s.now), s.seq, do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now+d, do) }

// runEvents executes the events up to a time. Events within hop of each other are executed
// as a group, at the time of the first, before the engine is flushed; its host groups
// events, too.
func (s *sim) runEvents(until time.Duration) {
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
		s.observe()
	}
	s.sample()
	s.after(tick, s.tick)
}

// lead starts an engine for the next epoch.
func (s *sim) lead() {
	s.epoch++
	s.incarnation++
	s.engine = dispatch.NewEngine(dispatch.Options{Epoch: s.epoch, Policy: s.o.Policy,
		Bounds: dispatch.Bounds{Lease: lease, MaxLease: lease, Gang: gangWait, Keep: time.Hour,
			Entitled: fair.Entitlement{Window: entitledWindow, Slack: entitledSlack}},
		Ran: s.ran,
		Decide: func(d dispatch.Decision) {
			if j := s.jobs[d.Task.Job]; j != nil && d.WaitedForProxy() > 0 {
				j.awaitedProxy = d.WaitedForProxy()
			}
		},
		Violation: func(what string, task work.TaskID, w runner.WorkerID) {
			if s.o.Violation != nil {
				s.o.Violation(fmt.Sprintf("%s: %s on %s", what, task, w))
			}
		}})
	saved := dispatch.Saved{Accepted: s.entriesUnder(dispatch.PrefixJobs), States: s.entriesUnder(dispatch.PrefixState), Batches: s.entriesUnder(dispatch.PrefixBatches)}
	saved.Fleet = s.entriesUnder("fleet")
	if err := s.engine.Load(s.now, saved); err != nil && s.o.Violation != nil {
		s.o.Violation(err.Error())
	}
	s.engine.SetAccounts(s.now, s.o.accounts())
	for _, w := range s.order {
		if !w.crashed {
			s.engine.WorkerSeen(s.now, w.entry)
		}
	}
	s.setMembers()
}

// loseProxies makes a share of the daemons lose their membership, and the others members.
func (s *sim) loseProxies(share float64) {
	s.proxiesLost = share
	s.setMembers()
}

// setMembers passes the daemons to the engine. Those that lose their membership are spread over
// the names, by which the engine chooses proxies.
func (s *sim) setMembers() {
	if s.engine == nil {
		return
	}
	var names, lost []string
	before := 0.0
	for i := range s.o.Daemons {
		name := fmt.Sprintf("d-%02d", i)
		if before += s.proxiesLost; before >= 1-1e-9 {
			before--
			lost = append(lost, name)
			continue
		}
		names = append(names, name)
	}
	s.engine.Members(s.now, names, lost...)
}

// loseLeader drops the engine and the responses to its calls in flight, and starts
// another engine after the takeover time.
func (s *sim) loseLeader() {
	s.addStats()
	s.engine = nil
	s.incarnation++
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
	s.stats.AdviceCalls += st.AdviceCalls
	s.stats.GangAdviceCalls += st.GangAdviceCalls
	s.stats.AdviceNames += st.AdviceNames
	s.stats.AdvicePostponed += st.AdvicePostponed
	s.stats.UnregisteredCalls += st.UnregisteredCalls
	s.stats.SlowPostponed += st.SlowPostponed
	s.stats.SecondCalls += st.SecondCalls
	s.stats.TicketsUnused += st.TicketsUnused
	s.stats.GangReservations += st.GangReservations
	s.stats.Failed += st.Failed
	s.stats.Requeued += st.Requeued
	s.stats.Moved += st.Moved
	s.stats.SpeedSamples += st.SpeedSamples
	s.stats.SpeedClipped += st.SpeedClipped
	s.stats.SpeedChanged += st.SpeedChanged
	s.stats.SpeedRecovered += st.SpeedRecovered
	s.stats.SlowWorkers += st.SlowWorkers
	s.stats.Stragglers += st.Stragglers
	s.stats.StragglerMoves += st.StragglerMoves
	s.stats.StragglersAgain += st.StragglersAgain
	s.stats.Lost += st.Lost
	s.stats.LostWithWorker += st.LostWithWorker
	s.stats.Evacuated += st.Evacuated
	s.stats.EvacuationsLate += st.EvacuationsLate
	s.stats.EvacuationKept += st.EvacuationKept
	s.stats.EvacuatedCoreSeconds += st.EvacuatedCoreSeconds
	s.stats.Quarantined += st.Quarantined
	s.stats.Violations += st.Violations
	s.stats.Preempted += st.Preempted
	s.stats.Preemptions += st.Preemptions
	s.stats.PreemptionWasted += st.PreemptionWasted
	s.stats.PreemptedCoreSeconds += st.PreemptedCoreSeconds
	s.stats.Reclaimed += st.Reclaimed
	s.stats.ReclaimedCoreSeconds += st.ReclaimedCoreSeconds
}

// entriesUnder returns the store's entries with a prefix, sorted by key. The engine uses
// their revisions only, but a fixed order keeps runs reproducible.
func (s *sim) entriesUnder(prefix string) []store.Entry {
	var found []store.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	sortEntries(found)
	return found
}

// storeDelay returns the response time of a store call made now. A call during an
// outage is answered after the outage.
func (s *sim) storeDelay() time.Duration {
	p := &s.o.Pattern
	t := s.loadTime()
	switch {
	case p.Outage.has(t):
		return p.Outage.Until - t + storeLatency
	case p.SlowStore.has(t):
		return p.SlowAnswer
	}
	return storeLatency
}

// submit submits a job, or schedules a retry during an outage of the store or when the job is
// refused for load.
func (s *sim) submit(j *job, attempt int) {
	daemon := s.gateRNG.IntN(len(s.gates))
	if s.o.Pattern.Outage.has(s.loadTime()) || s.refuses(daemon, j) {
		if attempt < len(retries) {
			s.at(settle+j.submitted+retries[attempt], func() { s.submit(j, attempt+1) })
		}
		return
	}
	j.spec.Accepted = j.submitted.Milliseconds()
	s.after(s.storeDelay(), func() {
		j.accepted = s.now
		j.spec.Epoch = s.epoch
		value, err := work.EncodeJob(j.spec)
		if err != nil {
			panic(fmt.Sprintf("cellsim: cannot encode a generated job: %v", err))
		}
		s.rev++
		e := store.Entry{Key: dispatch.KeySubmission(j.id), Value: value, Revision: s.rev}
		s.entries[e.Key] = e
		s.open = append(s.open, j)
		if s.engine != nil {
			s.accept(e)
			s.takeDigest(daemon)
		}
	})
}

// refuses reports whether a daemon refuses a job for load.
func (s *sim) refuses(daemon int, j *job) bool {
	x := s.gates[daemon].Judge(loadshed.JobOf(j.spec), s.now, s.epoch, s.gateRNG.Float64())
	switch {
	case x.Refuse:
		s.result.Refusals++
	case x.Outdated:
		s.result.Unjudged++
	}
	return x.Refuse
}

// takeDigest passes a digest to a daemon with the answer to its notification of a job.
func (s *sim) takeDigest(daemon int) {
	asked, d := s.now, s.engine.LoadDigest(s.now)
	if d == nil {
		return
	}
	s.after(2*hop, func() { s.gates[daemon].Take(d, asked) })
}

func (s *sim) accept(e store.Entry) {
	if err := s.engine.Accepted(s.now, e); err != nil && s.o.Violation != nil {
		s.o.Violation(err.Error())
	}
}

// observe records changes of the job states that callers see.
func (s *sim) observe() {
	kept := s.open[:0]
	for _, j := range s.open {
		state, known := s.engine.State(j.id)
		if known && state == work.Running && j.started == 0 {
			j.started = s.now
		}
		if known && state.Final() {
			j.shown, j.ended = s.now, state
			if j.started == 0 {
				j.started = s.now
			}
			continue
		}
		kept = append(kept, j)
	}
	s.open = kept
}

// flush executes the engine's effects.
func (s *sim) flush() {
	if s.engine == nil {
		return
	}
	incarnation := s.incarnation
	reply := func(d time.Duration, do func()) {
		s.after(d, func() {
			if s.incarnation == incarnation && s.engine != nil {
				do()
			}
		})
	}
	for _, effect := range s.engine.Flush(s.now) {
		switch x := effect.(type) {
		case dispatch.SendStart:
			s.sendStart(x, reply)
		case dispatch.SendStop:
			s.sendStop(x, reply)
		case dispatch.SendRenew:
			s.sendRenew(x, reply)
		case dispatch.SendCommit:
			s.commit(x, reply)
		case dispatch.SendConfirm:
			reply(s.storeDelay(), func() { s.engine.Confirmed(s.now, nil) })
		case dispatch.AskAdvice:
			s.askAdvice(x, reply)
		case dispatch.ReadJob:
			s.readJob(x, reply)
		}
	}
}

func (s *sim) readJob(x dispatch.ReadJob, reply func(time.Duration, func())) {
	reply(s.storeDelay(), func() {
		entry, found := s.entries[dispatch.KeySubmission(x.Job)]
		if err := s.engine.JobRead(s.now, x.Job, entry, found, nil); err != nil {
			panic(err)
		}
	})
}

// commit applies a write at the time of its response. A write in flight when its
// leader is lost could take effect or not in a real store; here it never does.
func (s *sim) commit(x dispatch.SendCommit, reply func(time.Duration, func())) {
	reply(s.storeDelay(), func() {
		s.rev++
		for _, w := range x.Writes {
			s.entries[w.Key] = store.Entry{Key: w.Key, Value: w.Value, Revision: s.rev}
		}
		for _, key := range x.Deletes {
			delete(s.entries, key)
		}
		s.engine.Committed(s.now, x.Stream)
	})
}

// askAdvice models the advice service, which answers the calls of one daemon in turn.
func (s *sim) askAdvice(x dispatch.AskAdvice, reply func(time.Duration, func())) {
	j := s.jobs[x.Step.Job]
	c := &s.o.Classes[j.class]
	way := hop + s.o.Pattern.ProxyDelay
	ends := max(s.now+way, s.adviser[x.Member]) + c.Queue.Advice.Cost(len(x.Workers))
	s.adviser[x.Member] = ends
	reply(ends+way-s.now, func() {
		var tickets []runner.Ticket
		for _, w := range x.Workers {
			if chance(x.Step, w) < c.Allowed {
				tickets = append(tickets, runner.Ticket{Worker: w, Ticket: "t"})
			}
		}
		s.engine.Advised(s.now, x.Member, x.Step, tickets, nil)
	})
}
