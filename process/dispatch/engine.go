package dispatch

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/advicebudget"
	"fennelshunt.example/fennelshunt/process/fair"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/lead/evidence"
	"fennelshunt.example/fennelshunt/process/openorder"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/speed"
	"fennelshunt.example/fennelshunt/version/work"
)

// Engine is the scheduler's state machine for one epoch. It is not safe for concurrent use. The
// now arguments of its methods are in engine time, the time since Options.Today.
type Engine struct {
	o       Options
	now     time.Duration
	effects []Effect

	jobs map[work.JobID]*job
	// cancels are the cancellations that ended no job, because the submission has not been
	// seen yet or the job had already ended, with the time at which they came in.
	cancels map[work.JobID]time.Duration
	// absents are the ids that were cancelled without a job, with the time at which that came in.
	absents map[work.JobID]time.Duration
	// heard is the revision of the store up to which every entry of accepting daemons has been
	// handed to Accepted; 0: not known.
	heard store.Revision
	// unheard are the jobs of which workers report runs or completions and that are not known.
	unheard map[work.JobID]*unheardJob
	// unread are the completions of jobs that cannot be decoded; unreadChanged: the list of them has to be written.
	unread        []*unread
	unreadChanged bool
	workers       map[runner.WorkerID]*worker
	workerList    []*worker // in a fixed order
	workerCount   int       // that this epoch has had, removed ones included
	// unresolved counts the workers that an earlier epoch used and that have neither answered
	// this one nor certainly stopped running its tasks; unresolvedUncordoned counts those of
	// them that were not cordoned.
	unresolved, unresolvedUncordoned int
	// cordonedUnlisted counts the cordoned workers for which the store does not list what may
	// run there. Jobs submitted after fleetRevision do not run on them.
	cordonedUnlisted int
	fleetRevision    store.Revision
	// fleetUnknownUntil is when everything has certainly ended on workers of a list that could not be decoded.
	fleetUnknownUntil time.Duration
	// mayRun counts, by task, the cordoned workers on which the task may still be running.
	mayRun map[work.TaskID]int

	ready []*step // steps with tasks to start
	timed []*job  // with occurrences that are not due yet

	ledger        *quota.Ledger // for this shard of the cell
	accountsKnown bool
	capShares     uint64 // version of the shards' shares that is applied; 0: none is known
	// endedHeld is what jobs that had ended were still running when an earlier epoch wrote
	// their end.
	endedHeld map[*quota.Account]quota.Size
	fair      *fair.Book
	usages    map[usageKey]*usage
	// priorities lists, in rising order, those at which an account has run anything.
	priorities     map[*quota.Account][]int
	keptFree       map[*quota.Account]quota.Size // part of the cap kept free in this round, see keepFree
	anyUnconfirmed bool                          // an account is charged for runs that no worker has reported yet

	// tasksByCrash holds, by worker, the tasks with crash records of that worker; crashedAt,
	// by address, when a worker's incarnation ended recently.
	tasksByCrash map[runner.WorkerID][]work.TaskID
	crashedAt    map[string]time.Duration
	// latestStarts holds, by worker name, the start time of the current incarnation.
	latestStarts map[string]int64
	claims       map[string]*worker // by name, see claim.go
	orders       *openorder.Book
	lookups      map[string]*lookup // of workers that have ended, by name

	members      []string // daemons of the cell
	proxyNames   []string // daemons through which advice is requested, see proxies.go
	proxies      map[string]*adviceProxy
	goodShares   map[string]float64 // share of workers that are good, by queue
	speed        *speed.Model
	speedAt      time.Duration // when its pools are computed again
	stragglersAt time.Duration // when runs are compared with their predictions again

	dirty          []*job
	dirtyAt        time.Duration // since when a change waits for a commit
	urgent         bool
	removals       [][]string                   // keys to delete, those of an item in one write
	writes         [lead.WriteStreams]*writeSet // in flight, by write stream
	writtenAt      time.Duration                // when the last one was sent
	unbatch        []*job                       // to be moved out of batches, see addUnbatched
	batchSeq       uint64
	fleetChanged   bool
	joinedAt       time.Duration // when the first worker answered that the lists are to be written for
	cordonsChanged bool          // the list of cordoned workers has to be written
	cordonsAt      time.Duration // when it was last sent
	// ordersChanged: the list of open orders has to be written; ordersAdded: it lacks some. It had ordersTold orders when it
	// was written, or read, and was due at ordersToldAt.
	ordersChanged, ordersAdded bool
	ordersTold                 int
	endedTold                  int // workers of the stored lists that have ended and hold a task
	ordersToldAt               time.Duration
	pruneAt                    time.Duration
	scheduled                  bool // nothing has changed since the last round of placement
	// scheduledAt is when the last round was; planAt is when capacity for waiting gangs is
	// planned again.
	scheduledAt, planAt time.Duration
	roundCost           time.Duration        // moving average of the time a round takes
	idleProxies         int                  // left in this round
	idleForSlow         int                  // slow calls that may still be sent; may exceed idleProxies, and be below 0
	keptFromQuick       int                  // how many of idleProxies quick calls leave to slow ones
	proxyCount          advicebudget.Proxies // at the start of the round
	// quickTaken and secondTaken are how many quick calls have been requested in this round through
	// idle proxies and behind other calls.
	quickTaken, secondTaken int
	exclusionsAt            time.Duration // when logExcluded looks again
	promiseAt               time.Duration // when checkPromise looks again
	preempting              preempting
	evacuating              evacuating

	forecast   forecast
	guaranteed int // how many proxies are kept in this round for steps that have not asked yet
	// proxiesScarceUntil is until when the budget allots the proxies for slow calls.
	proxiesScarceUntil time.Duration
	budgetLoggedAt     time.Duration
	quick              advicebudget.QuickDemand
	slowSentAt         time.Duration // when the last slow call was sent
	quickLoggedAt      time.Duration // when it was last logged that slow calls are postponed for quick ones

	evidence    *evidence.Leadership // that this leader has no successor
	confirming  bool                 // the claim is being read from the store
	confirmSent time.Duration
	heldStarts  []*allocation // to be sent once there is recent evidence
	resends     []*allocation // to be sent again once the list of open orders tells of their first tries

	deposed bool
	stats   Stats
}

// NewEngine returns an engine without jobs.
func NewEngine(o Options) *Engine {
	o.Policy = o.Policy.complete()
	entitled := o.Bounds.Entitled
	entitled.Share = 1 / float64(max(o.Shards, 1))
	return &Engine{o: o, evidence: evidence.New(o.Claimed), fair: fair.New(o.Policy.Shares, entitled), jobs: map[work.JobID]*job{}, cancels: map[work.JobID]time.Duration{}, absents: map[work.JobID]time.Duration{}, unheard: map[work.JobID]*unheardJob{},
		workers: map[runner.WorkerID]*worker{}, proxies: map[string]*adviceProxy{}, ledger: quota.NewLedger(), endedHeld: map[*quota.Account]quota.Size{},
		usages: map[usageKey]*usage{}, priorities: map[*quota.Account][]int{}, keptFree: map[*quota.Account]quota.Size{},
		tasksByCrash: map[runner.WorkerID][]work.TaskID{}, crashedAt: map[string]time.Duration{}, latestStarts: map[string]int64{}, claims: map[string]*worker{}, orders: openorder.New(), lookups: map[string]*lookup{},
		mayRun: map[work.TaskID]int{}, goodShares: map[string]float64{}, speed: newSpeedModel(o.Policy),
		evacuating: evacuating{claimed: map[*worker]time.Duration{}}}
}

// Deposed reports whether a worker has rejected a call because it has seen a higher epoch, or
// the epoch has ended for another reason.
func (e *Engine) Deposed() bool { return e.deposed }

// Unwritten returns the number of jobs whose progress waits for a write.
func (e *Engine) Unwritten() int { return len(e.dirty) }

// Saved is the state that earlier epochs left in the store.
type Saved struct {
	Accepted []store.Entry // under PrefixJobs
	States   []store.Entry // under PrefixState
	Batches  []store.Entry // under PrefixBatches
	Fleet    []store.Entry // under prefixFleet
}

// Load restores what earlier epochs left in the store. Entries that cannot be decoded are
// reported in the error; the others are loaded.
func (e *Engine) Load(now time.Duration, saved Saved) error {
	e.now = now
	var errs []error
	undecoded := map[string]bool{} // submissions
	for _, entry := range saved.Accepted {
		if err := e.Accepted(now, entry); err != nil {
			undecoded[entry.Key] = true
			errs = append(errs, err)
		}
	}
	states, batches, bad := newest(saved.States, saved.Batches)
	errs = append(errs, bad...)
	for _, s := range states {
		e.loadState(s, undecoded[KeySubmission(s.job)])
	}
	for _, b := range batches {
		if b.jobs == 0 {
			e.remove(b.key)
		}
	}
	errs = append(errs, e.loadFleet(saved.Fleet))
	for _, entry := range saved.Fleet {
		if entry.Key == keyUnread {
			errs = append(errs, e.loadUnread(entry))
		}
	}
	for _, j := range e.jobs {
		e.loadCrashes(j)
		e.openDue(j)
		for s := range j.steps() {
			e.open(s)
		}
		e.completeIfDone(j)
	}
	return errors.Join(errs...)
}

// loadState restores the newest progress of a job. undecoded tells that the job's submission could not be
// decoded.
func (e *Engine) loadState(s stored, undecoded bool) {
	j := e.jobs[s.job]
	if j != nil && s.revision < j.revision {
		return // of a job under the same id that was forgotten before this one was submitted
	}
	if _, absent := e.absents[s.job]; absent {
		return
	}
	if j == nil && s.batch != nil {
		if undecoded {
			s.batch.jobs++ // its progress is left as it is
		}
		return // otherwise it was forgotten: its submission was removed when its end was under its own key
	}
	if j == nil && s.progress.State.Final() {
		// The submission was removed when the job ended.
		j = &job{id: s.job, spec: &work.Job{Account: s.progress.Account}, state: s.progress.State, visible: s.progress.State, shownAt: e.now, trimmed: true}
		e.jobs[s.job] = j
		e.noteEndedHeld(s.progress)
	}
	if j == nil {
		return // its submission could not be decoded: its progress is left as it is
	}
	e.moveTo(j, s.batch)
	if j.trimmed || (j.state == work.Cancelled && !s.progress.State.Final()) {
		return // a cancellation that is not stored as the final state yet takes precedence
	}
	if j.state == work.Cancelled {
		e.cancels[s.job] = e.now // it had ended before it was cancelled
	}
	j.restore(s.progress)
	j.shownAt = e.now
}

// Accepted handles an entry that an accepting daemon wrote: a job or a cancellation. The error
// is that the job cannot be decoded; the entry is then ignored.
func (e *Engine) Accepted(now time.Duration, entry store.Entry) error {
	e.now = now
	if id, ok := strings.CutPrefix(entry.Key, prefixCancel); ok {
		e.cancelled(work.JobID(id), entry)
		return nil
	}
	id, ok := strings.CutPrefix(entry.Key, prefixIn)
	if !ok {
		return nil
	}
	if j := e.jobs[work.JobID(id)]; j != nil {
		j.revision = max(j.revision, entry.Revision)
		return nil
	}
	if entry.Revision > 0 && entry.Revision <= e.heard {
		e.decide(Decision{What: "late submission is read again", Task: work.TaskID{Job: work.JobID(id)}, Why: "its job is not known"})
		e.unheardOf(work.JobID(id))
		return nil
	}
	return e.submitted(work.JobID(id), entry)
}

// submitted adds the job of a submission.
func (e *Engine) submitted(id work.JobID, entry store.Entry) error {
	spec, err := work.DecodeJob(entry.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", entry.Key, err)
	}
	if spec.Epoch > e.o.Epoch {
		// An accepting daemon has seen a later leader.
		e.deposed = true
		return nil
	}
	e.add(id, spec, entry.Revision)
	return nil
}

// Heard records that every entry of accepting daemons up to a revision of the store has been
// handed to Accepted. An entry up to it that comes again and whose job is not known is probably of a job
// that has ended and been forgotten: a daemon may be suspended for long between its write and its offer.
// The job is added only if the store still has its submission.
func (e *Engine) Heard(revision store.Revision) { e.heard = max(e.heard, revision) }

func (e *Engine) add(id work.JobID, spec *work.Job, revision store.Revision) {
	j := &job{id: id, spec: spec, submitted: true, revision: revision, loadedAt: e.now, inherited: spec.Epoch < e.o.Epoch,
		accepted: e.engineTime(spec.Accepted), start: e.engineTime(spec.StartAt), speeds: e.speed.Queue(spec.Queue.Name), account: e.ledger.Account(spec.Account)}
	e.jobs[id] = j
	j.coreSeconds = spec.Work()
	j.overEntitled = !e.fair.Submitted(spec.Account, j.accepted)
	if _, ok := e.cancels[id]; ok {
		delete(e.cancels, id)
		e.end(j, work.Cancelled, "cancelled before the submission was seen")
		e.hear(j)
		return
	}
	e.openDue(j)
	if j.nextDue < j.repeat() {
		e.timed = append(e.timed, j)
	}
	e.hear(j)
}

// engineTime converts a Unix time in milliseconds to the engine's time.
func (e *Engine) engineTime(ms int64) time.Duration {
	return time.Duration(ms-e.o.Today) * time.Millisecond
}

// open lists a step as ready if its tasks may start.
func (e *Engine) open(s *step) {
	if s.opened || !s.job.active() || !s.ready() || s.left == 0 || s.occurrence.opens > e.now {
		return
	}
	s.opened, s.openedAt = true, e.now
	e.ready = append(e.ready, s)
	e.scheduled = false
}

// cancelled handles the entry of a cancellation.
func (e *Engine) cancelled(id work.JobID, entry store.Entry) {
	if !bytes.Equal(entry.Value, CancelAbsent) {
		e.cancel(id)
		return
	}
	if entry.Revision > 0 && entry.Revision <= e.heard {
		return // it may have been removed since
	}
	e.absents[id] = e.now
	if j := e.jobs[id]; j != nil && j.state == work.Refused {
		delete(e.jobs, id) // its state was read first
	}
}

// cancel ends a job on its caller's request.
func (e *Engine) cancel(id work.JobID) {
	j := e.jobs[id]
	if j == nil || !j.active() {
		e.cancels[id] = e.now // its key is removed after Bounds.Keep
		return
	}
	e.end(j, work.Cancelled, "the caller cancelled it")
}

// end gives a job its final state and stops its runs.
func (e *Engine) end(j *job, state work.State, why string) {
	j.state = state
	e.decide(Decision{What: state.String(), Task: work.TaskID{Job: j.id}, Why: why, Age: e.now - j.loadedAt, waits: &j.waits})
	for s := range j.steps() {
		s.advice = nil
		e.unreserve(s)
		for i := range s.tasks {
			if alloc := s.tasks[i].alloc; alloc != nil && state != work.Completed {
				e.stop(alloc, why)
			}
		}
	}
	e.markDirty(j, true)
}

// completeIfDone completes a job whose occurrences have all come due and are done. Long-running tasks
// are never done.
func (e *Engine) completeIfDone(j *job) {
	if !j.active() {
		return
	}
	j.prune()
	if j.nextDue < j.repeat() || slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return !o.done() }) {
		return
	}
	e.took(SpanComplete, j)
	if n := len(j.occurrences); j.spec.Account != "" && n > 0 {
		e.fair.Completed(j.spec.Account, e.now, j.coreSeconds, e.now <= j.occurrences[n-1].due)
	}
	e.end(j, work.Completed, "every task is done")
}

// State returns the state of a job that callers may see; false if the engine does not have the
// job.
func (e *Engine) State(id work.JobID) (work.State, bool) {
	j := e.jobs[id]
	if j == nil || j.visible == work.Refused {
		return 0, false
	}
	if !j.visible.Final() && j.started {
		return work.Running, true
	}
	return j.visible, true
}

// AccountOf returns the client account of a job; "" if the job has none or is not known.
func (e *Engine) AccountOf(id work.JobID) string {
	if j := e.jobs[id]; j != nil {
		return j.spec.Account
	}
	return ""
}

// Pending returns the number of a queue's jobs that have not started.
func (e *Engine) Pending(queue string) int {
	n := 0
	for _, j := range e.jobs {
		if j.active() && !j.started && j.spec.Queue.Name == queue {
			n++
		}
	}
	return n
}

// Flush runs a round of placement if one is due, prepares the next writes, and returns the
// effects to execute.
func (e *Engine) Flush(now time.Duration) []Effect {
	e.now = now
	if e.deposed {
		return nil
	}
	if !e.scheduled && e.now-e.scheduledAt >= e.roundPause() && e.mayLease() {
		e.scheduled = true
		e.schedule()
	}
	e.sendHeldStarts()
	e.sendResends()
	e.persist()
	out := e.effects
	e.effects = nil
	return out
}

// Tick handles everything that is due by time.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
	e.confirmClaim()
	for _, w := range slices.Clone(e.workerList) {
		e.tickWorker(w)
	}
	e.refreshSpeeds()
	e.checkStragglers()
	e.evacuate()
	e.stopBestEffortBesideTargets()
	e.openTimed()
	e.expireAdviceCalls()
	e.expireGangReservations()
	e.stopPartialGangs()
	e.forgetOrders()
	e.lookUpEnded()
	e.noteOpenOrders()
	e.tickUnheard()
	e.logExcluded()
	e.checkPromise()
	e.pruneJobs()
	e.scheduled = false
}

func (e *Engine) tickWorker(w *worker) {
	if w.removed {
		return
	}
	if now := e.now; w.expiry > 0 && now > w.expiry && !w.idle() {
		e.leaseExpired(w)
	}
	if w.misses == 0 {
		for _, alloc := range w.allocs {
			e.tickAlloc(alloc)
		}
		e.tickFences(w)
	}
	if w.removed {
		return
	}
	e.noteAnswered(w)
	e.cordonUnresponsive(w)
	e.cordonDraining(w)
	e.renew(w)
}

// pruneJobs drops jobs that have been shown as ended for Bounds.Keep, and removes their keys from the
// store.
func (e *Engine) pruneJobs() {
	if e.now < e.pruneAt {
		return
	}
	e.pruneAt = e.now + prunePause
	e.pruneCrashes()
	for id, at := range e.cancels {
		if e.now-at > e.o.Bounds.Keep {
			delete(e.cancels, id)
			e.remove(KeyCancel(id))
		}
	}
	for id, at := range e.absents {
		if e.now-at > e.o.Bounds.Keep {
			delete(e.absents, id)
			e.remove(KeyState(id), KeyCancel(id))
		}
	}
	for id, j := range e.jobs {
		if !j.visible.Final() {
			continue
		}
		e.trim(j)
		if e.heard > 0 && j.revision > e.heard {
			continue // the watch has yet to bring its submission, and must find it known
		}
		if !j.trimmed || j.writing || j.dirty || j.batch != nil || e.now-j.shownAt < e.o.Bounds.Keep {
			continue
		}
		delete(e.jobs, id)
		e.remove(KeyState(id))
	}
}

// remove has keys deleted from the store, all in one write.
func (e *Engine) remove(keys ...string) { e.removals = append(e.removals, keys) }

// prunePause is the time between two runs of pruneJobs.
const prunePause = 2 * time.Second

// took reports the time since a job's acceptance, unless the job is timed or an earlier epoch
// may have started it.
func (e *Engine) took(what Span, j *job) {
	if e.o.Took != nil && !j.inherited && j.spec.Repeat == 0 {
		e.o.Took(what, j.spec.Queue.Name, j.spec.Account, max(e.now-j.accepted, 0))
	}
}

func (e *Engine) decide(d Decision) {
	if e.o.Decide != nil {
		e.o.Decide(d)
	}
}

func (e *Engine) violate(what string, task work.TaskID, w runner.WorkerID) {
	e.stats.Violations++
	if e.o.Violation != nil {
		e.o.Violation(what, task, w)
	}
}
