package dispatch

// Stats holds the counters of an engine.
type Stats struct {
	// Resent counts unanswered starts that were sent again, Done, Failed and Requeued the
	// completions of runs that were done, failed, or ended otherwise, so that their tasks start
	// again; Adopted the runs of earlier epochs that were taken over, and UntrackedRuns the
	// unexpected runs that were stopped. Batches counts batches of job states, Quarantined
	// quarantines of workers, and Moved runs that were stopped because they made no progress.
	Starts, Resent, Stops, Done, Failed, Requeued, Lost, Adopted, UntrackedRuns uint64
	Commits, Batches, Violations, Advised, Quarantined, Moved, GangReservations uint64
	// GangsSpread counts gangs that ask for one rack and were started on several.
	GangsSpread uint64
	// BesideRoom counts steps that had room twice over for longer than startPromise in a cell that was mostly idle, and
	// of whose job nothing ran.
	BesideRoom uint64
	// EntriesRefused counts the workers' entries that were refused, at each reading; EntriesRefusedNow is how many stand.
	EntriesRefused, EntriesRefusedNow uint64
	// Claims counts entries that named another incarnation than the current one of their worker.
	Claims uint64
	// LateStarts is how many tasks are held now because a start order without an answer may still be carried out;
	// LateStartsGone counts those that were released as nobody was there to carry it out, LateStartsPinned those that
	// started on the worker that refuses it, and LateStartsAdopted the runs that were started late and taken over.
	// OpenOrders is how many orders may still be carried out, those on their way included, and OrdersFenced counts those that
	// an incarnation was told to refuse.
	LateStarts, LateStartsGone, LateStartsPinned, LateStartsAdopted, OpenOrders, OrdersFenced uint64
	// WorkersGone counts workers whose incarnation ended or that left; LostWithWorker counts
	// the runs among Lost that ended with their worker.
	WorkersGone, LostWithWorker uint64
	// CompletionsMissed counts completions that workers had dropped before any leader received
	// them.
	CompletionsMissed uint64
	// CompletionsUnheard counts completions of jobs that this leader had not heard of.
	CompletionsUnheard uint64
	// LeasesWithheld counts renewals of healthy workers that gave no lease for want of recent evidence
	// that there is no successor, and StartsHeld the starts that waited for it after they were decided.
	LeasesWithheld, StartsHeld uint64
	// Stalls counts how often the engine's goroutine stood still for stallLogged or longer.
	Stalls uint64
	// Suspected counts runs that may have crashed their worker, Trials the starts of suspect
	// tasks, GivenUp the jobs that failed because a task crashed its workers.
	Suspected, Trials, GivenUp uint64
	// AdviceCalls counts calls for advice, GangAdviceCalls those of them for gangs, and
	// AdviceNames the workers that they named. AdvicePostponed counts, in each round, the steps
	// that were ready to ask and got no proxy because others had more at stake. TicketsUnused
	// counts tickets that were replaced by a new one for the same worker, AdviceFailed calls that
	// failed or were not answered in time.
	AdviceCalls, GangAdviceCalls, AdviceNames, AdvicePostponed, TicketsUnused, AdviceFailed uint64
	// UnregisteredProxies is how many daemons without membership are used as proxies now, and
	// UnregisteredCalls counts the calls that were sent through such daemons.
	UnregisteredProxies, UnregisteredCalls uint64
	// SlowPostponed counts, in each round, the steps that got no proxy for a slow call because quick
	// steps waited for one.
	SlowPostponed uint64
	// SecondCalls counts the quick calls that were sent behind another one.
	SecondCalls uint64
	// OverQuota counts steps that waited for their account's quota.
	OverQuota uint64
	// Preempted counts runs that were stopped for other work, Preemptions the steps for which runs
	// were stopped and that then started, PreemptionWasted those that did not start by their plan.
	// PreemptedCoreSeconds is the work that the stopped runs lost.
	Preempted, Preemptions, PreemptionWasted uint64
	PreemptedCoreSeconds                     float64
	// Reclaimed counts the runs among Preempted that were beyond the entitlement of their accounts
	// and were stopped for work within it, ReclaimedCoreSeconds the work that these lost.
	Reclaimed            uint64
	ReclaimedCoreSeconds float64
	// Digests counts the summaries of the load for admission control, DigestsOverloaded those by
	// which a submission could be refused.
	Digests, DigestsOverloaded uint64
	// SpeedSamples counts run times that the model of speeds took into account, SpeedClipped
	// those that were far off, SpeedChanged changes of the speed of a worker, and SpeedRecovered
	// workers that count in the pools of their labels again after such a change.
	SpeedSamples, SpeedClipped, SpeedChanged, SpeedRecovered uint64
	// WorkersQuarantined and WorkersOnProbation are how many workers are so now.
	WorkersQuarantined, WorkersOnProbation uint64
	// SlowWorkers counts how often a worker was found to be slow.
	SlowWorkers uint64
	// Stragglers counts runs that took much longer than expected, StragglerMoves those that
	// were stopped to start elsewhere (a gang counts once), StragglersAgain new runs of these
	// that took long as well.
	Stragglers, StragglerMoves, StragglersAgain uint64
	// Evacuated counts runs that were stopped because their worker, or that of another member of their
	// gang, leaves; EvacuationsLate those of them that were lost with their worker nevertheless.
	// EvacuationKept counts runs that were left alone and were done before their worker left.
	// EvacuatedCoreSeconds is the work that the stopped runs lost.
	Evacuated, EvacuationsLate, EvacuationKept uint64
	EvacuatedCoreSeconds                       float64
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	st, learned := e.stats, e.speed.Stats()
	st.UnregisteredProxies = uint64(e.unregisteredProxies())
	st.WorkersQuarantined, st.WorkersOnProbation = e.countExcluded()
	st.LateStarts, st.OpenOrders = e.countHeld(), uint64(e.orders.Len())
	st.SpeedSamples, st.SpeedClipped, st.SpeedChanged, st.SpeedRecovered = learned.Samples, learned.Clipped, learned.Changed, learned.Recovered
	return st
}
