package dispatch

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/work"
)

// Times and sizes of a host.
const (
	tickPeriod = 25 * time.Millisecond
	// publishPeriod is between publications of the counters.
	publishPeriod = time.Second
	// eventBuffer is how many events are buffered while the engine is busy.
	eventBuffer = 1024
	// maxDrain bounds the events handled before effects are executed.
	maxDrain = 64
	// jobsPause and workersPause are between watches. Accepted jobs reach the leader by a
	// direct call, and the watch only catches those that were lost; workers write every second
	// or two; and each watch costs one call however many events it returns.
	jobsPause    = 250 * time.Millisecond
	workersPause = 200 * time.Millisecond
	// watchWait is how long a watch waits for a change, and watchGrace how much later it may be
	// answered.
	watchWait  = 2 * time.Second
	watchGrace = 700 * time.Millisecond
	errorPause = 100 * time.Millisecond
	// stopTimeout is how long a stop may go without an answer.
	stopTimeout    = 300 * time.Millisecond
	maxStopTimeout = time.Second
	// maxRenewGrace bounds renewGrace when answers are slow: four attempts fit into a worker's
	// lease of 6 s.
	maxRenewGrace = 1500 * time.Millisecond
	// stallLogged is how long the engine's goroutine must have stood still to be logged: a process
	// that was stopped, or has had no processor time.
	stallLogged = 500 * time.Millisecond
)

// HostOptions are the options of a Host.
type HostOptions struct {
	Store        store.Transactor
	StoreTimeout *store.AdaptiveTimeout
	Runner       runner.Runner
	Directory    runner.Directory
	View         *lead.View // of the cell's daemons
	// Members returns the daemons through which advice is requested; nil: all of View.
	Members func() []lead.Member
	// Lost returns the daemons that have lost their membership without a planned stop; nil:
	// those of View.
	Lost func() []lead.Member
	// Advise calls the advice service through a member.
	Advise func(ctx context.Context, member, step string, workers []runner.WorkerID) ([]runner.Ticket, error)
	// Accounts returns the client accounts of the configuration in force, and whether there is
	// one; nil: there are no accounts.
	Accounts func() (*work.Accounts, bool)
	// Shard and Shards are as in Options.
	Shard, Shards int
	Bounds        Bounds
	Policy        Policy
	Log           zerolog.Logger
	// Count is called with the counters every publishPeriod and at the end of a term; may be
	// nil.
	Count func(Stats)
	// ShowAccounts is called every publishPeriod with the state of the client accounts; may be
	// nil.
	ShowAccounts func([]quota.Row)
	// Violation is called for each broken invariant; may be nil.
	Violation func(what string)
	// Took is called with how long each measured span of a job took; may be nil.
	Took func(what Span, queue, account string, d time.Duration)
}

// Host runs an engine for one term of leadership: one goroutine owns the engine, other
// goroutines make its calls.
type Host struct {
	o      HostOptions
	term   *lead.Term
	engine *Engine
	start  time.Time
	events chan func(*Engine, time.Duration)
	calls  sync.WaitGroup
	loaded chan struct{}

	published   time.Duration
	responses   responseTimes
	refused     refusedEntries
	accounts    *work.Accounts // those that the engine has
	accountsSet bool           // the engine has been given accounts
	digest      atomic.Pointer[datedDigest]
}

// NewHost returns a host for a term.
func NewHost(o HostOptions, term *lead.Term) *Host {
	return &Host{o: o, term: term, start: time.Now(), events: make(chan func(*Engine, time.Duration), eventBuffer), loaded: make(chan struct{}),
		refused: refusedEntries{now: map[string]bool{}, logged: map[string]string{}}}
}

func (h *Host) now() time.Duration { return time.Since(h.start) }

// Run leads until the term ends.
func (h *Host) Run() {
	ctx := h.term.Context()
	h.engine = NewEngine(Options{
		Epoch: h.term.Epoch, Shard: h.o.Shard, Shards: h.o.Shards, Bounds: h.o.Bounds, Policy: h.o.Policy,
		Claimed: h.term.ClaimSent().Sub(h.start), Today: h.start.UnixMilli(),
		Decide: h.logDecision, Violation: h.logViolation, Took: h.o.Took,
	})
	var tasks sync.WaitGroup
	defer tasks.Wait()
	// The workers' entries are read in parallel with the state: with a slow store this saves
	// one round trip until the first start.
	tasks.Go(func() { h.watchWorkers(ctx) })
	rev, err := h.load(ctx)
	if err != nil {
		return
	}
	close(h.loaded)
	tasks.Go(func() { h.watchJobs(ctx, rev) })
	tasks.Go(func() { h.watchMembers(ctx) })
	h.loop(ctx)
	h.calls.Wait()
	if h.o.Count != nil {
		h.o.Count(h.engine.Stats())
	}
}

// load reads what earlier epochs left. It must be complete before the first worker is called:
// a run whose job is not known would be stopped.
func (h *Host) load(ctx context.Context) (store.Revision, error) {
	began := time.Now()
	timeout := store.ReadTimeout{First: loadTimeout}
	for {
		var rev store.Revision
		var saved Saved
		err := timeout.Try(ctx, func(ctx context.Context) (err error) {
			rev, saved, err = h.readAll(ctx)
			return err
		})
		if err == nil {
			if bad := h.engine.Load(h.now(), saved); bad != nil {
				h.o.Log.Error().Err(bad).Msg("entries of the store cannot be decoded and are left as they are")
			}
			h.engine.Heard(rev)
			h.o.Log.Info().Int("accepted", len(saved.Accepted)).Int("states", len(saved.States)).Int("bundles", len(saved.Batches)).Dur("took_ms", time.Since(began)).Msg("state loaded")
			return rev, nil
		}
		h.o.Log.Warn().Err(err).Msg("state not read from the store; reading again")
		if err := sleep.For(ctx, errorPause); err != nil {
			return 0, err
		}
	}
}

func (h *Host) readAll(ctx context.Context) (rev store.Revision, saved Saved, err error) {
	var wg sync.WaitGroup
	var jobsErr, statesErr, batchesErr, fleetErr error
	wg.Go(func() { saved.Accepted, rev, jobsErr = h.list(ctx, PrefixJobs) })
	wg.Go(func() { saved.States, _, statesErr = h.list(ctx, PrefixState) })
	wg.Go(func() { saved.Batches, _, batchesErr = h.list(ctx, PrefixBatches) })
	wg.Go(func() { saved.Fleet, _, fleetErr = h.list(ctx, prefixFleet) })
	wg.Wait()
	return rev, saved, errors.Join(jobsErr, statesErr, batchesErr, fleetErr)
}

// list reads a prefix, again if the response was lost.
func (h *Host) list(ctx context.Context, prefix string) (entries []store.Entry, rev store.Revision, err error) {
	for {
		err = h.o.StoreTimeout.Read(ctx, func(ctx context.Context) (err error) {
			entries, rev, err = h.o.Store.List(ctx, prefix)
			return err
		})
		if !errors.Is(err, store.ErrPresumedLost) {
			return entries, rev, err
		}
		h.o.Log.Info().Str("prefix", prefix).Msg("response to a listing was lost; reading again")
	}
}

// IsEmpty reports whether no job has been submitted to a cell and no worker has been used.
func IsEmpty(ctx context.Context, s store.Transactor) (bool, error) {
	for _, prefix := range []string{PrefixJobs, PrefixState, PrefixBatches, prefixFleet} {
		entries, _, err := s.List(ctx, prefix)
		if err != nil || len(entries) > 0 {
			return false, err
		}
	}
	return true, nil
}

// loadTimeout is the timeout of the first attempt to read the whole state.
const loadTimeout = 3 * time.Second

// loop owns the engine.
func (h *Host) loop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	h.updateAccounts()
	awake := h.now()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-h.events:
			f(h.engine, h.now())
			h.drain()
		case <-ticker.C:
			h.updateAccounts()
			h.engine.Tick(h.now())
			h.publish()
			h.updateDigest()
		}
		at := h.now()
		h.noteStall(at - awake)
		awake = at
		effects := h.engine.Flush(at)
		h.engine.RoundTook(at, h.now()-at)
		if h.engine.Deposed() {
			h.term.End(lead.ErrDeposed)
			return
		}
		for _, e := range effects {
			h.execute(ctx, e)
		}
	}
}

// noteStall logs how long the loop stood still.
func (h *Host) noteStall(d time.Duration) {
	if d < stallLogged {
		return
	}
	h.engine.stats.Stalls++
	h.o.Log.Warn().Int64("age_ms", d.Milliseconds()).Uint64("epoch", h.term.Epoch).Msg("the leader stood still")
}

// updateAccounts passes the accounts in force to the engine when they have changed.
func (h *Host) updateAccounts() {
	if h.o.Accounts == nil {
		if !h.accountsSet {
			h.engine.SetAccounts(h.now(), nil)
		}
		h.accountsSet = true
		return
	}
	accounts, known := h.o.Accounts()
	if known && (!h.accountsSet || accounts != h.accounts) {
		h.accounts, h.accountsSet = accounts, true
		h.engine.SetAccounts(h.now(), accounts)
	}
}

// publish reports the counters every publishPeriod.
func (h *Host) publish() {
	if now := h.now(); h.o.Count != nil && now-h.published >= publishPeriod {
		h.published = now
		h.o.Count(h.engine.Stats())
		if h.o.ShowAccounts != nil {
			h.o.ShowAccounts(h.engine.AccountRows())
		}
	}
}

func (h *Host) drain() {
	for range maxDrain {
		select {
		case f := <-h.events:
			f(h.engine, h.now())
		default:
			return
		}
	}
}

// post sends an event to the engine's goroutine, unless the term has ended.
func (h *Host) post(f func(*Engine, time.Duration)) {
	select {
	case h.events <- f:
	case <-h.term.Context().Done():
	}
}

// query runs f on the engine's goroutine and returns its result. f may run after query has returned
// at the end of ctx or of the term, so its result must share nothing with the caller.
func query[R any](ctx context.Context, h *Host, f func(*Engine, time.Duration) R) (R, error) {
	var none R
	select {
	case <-h.loaded:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-h.term.Context().Done():
		return none, lead.ErrDeposed
	}
	result := make(chan R, 1)
	select {
	case h.events <- func(e *Engine, now time.Duration) { result <- f(e, now) }:
	case <-ctx.Done():
		return none, ctx.Err()
	case <-h.term.Context().Done():
		return none, lead.ErrDeposed
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-h.term.Context().Done():
		return none, lead.ErrDeposed
	}
}

// JobView is what a job's callers are shown, and the account that the job belongs to.
type JobView struct {
	State   work.State
	Account string
}

// known is the result of a query about a job; ok is false if the engine does not have the job.
type known[V any] struct {
	value V
	ok    bool
}

// State returns what callers may be shown of a job; ok is false if the engine does not have
// the job. It waits until the state has been loaded from the store. The error, as with Explain,
// Pending and QuotaReport, is that of ctx, or lead.ErrDeposed if the term has ended.
func (h *Host) State(ctx context.Context, id work.JobID) (view JobView, ok bool, err error) {
	r, err := query(ctx, h, func(e *Engine, _ time.Duration) (r known[JobView]) {
		r.value.State, r.ok = e.State(id)
		r.value.Account = e.AccountOf(id)
		return r
	})
	return r.value, r.ok, err
}

// Explain describes what a job is waiting for; ok is false if the engine does not have the
// job.
func (h *Host) Explain(ctx context.Context, id work.JobID) (x Explanation, ok bool, err error) {
	r, err := query(ctx, h, func(e *Engine, now time.Duration) (r known[Explanation]) {
		r.value, r.ok = e.Explain(now, id)
		return r
	})
	return r.value, r.ok, err
}

// Pending returns the number of a queue's jobs that have not started.
func (h *Host) Pending(ctx context.Context, queue string) (int, error) {
	return query(ctx, h, func(e *Engine, _ time.Duration) int { return e.Pending(queue) })
}

// SetShares sets the shares of the accounts' caps that each shard may use.
func (h *Host) SetShares(shares quota.Shares) {
	h.post(func(e *Engine, now time.Duration) { e.SetShares(now, shares) })
}

// QuotaReport returns what this shard uses and wants of accounts.
func (h *Host) QuotaReport(ctx context.Context, asked []string) (quota.Report, error) {
	return query(ctx, h, func(e *Engine, _ time.Duration) quota.Report { return e.QuotaReport(asked) })
}

// Offer passes on an entry that an accepting daemon has just written. An entry that is lost on
// the way comes with the next watch.
func (h *Host) Offer(entry store.Entry) {
	h.post(func(e *Engine, now time.Duration) { h.accept(e, now, entry) })
}

func (h *Host) accept(e *Engine, now time.Duration, entry store.Entry) {
	if err := e.Accepted(now, entry); err != nil {
		h.o.Log.Error().Err(err).Msg("accepted entry cannot be decoded and is left as it is")
	}
}

// execute makes the call of an effect.
func (h *Host) execute(ctx context.Context, effect Effect) {
	switch x := effect.(type) {
	case SendStart:
		h.calls.Go(func() { h.sendStart(ctx, x) })
	case SendStop:
		h.calls.Go(func() { h.sendStop(ctx, x) })
	case SendRenew:
		h.calls.Go(func() { h.sendRenew(ctx, x) })
	case SendCommit:
		h.calls.Go(func() { h.commit(ctx, x) })
	case SendConfirm:
		h.calls.Go(func() { h.confirmClaim(ctx) })
	case LookUpWorker:
		h.calls.Go(func() { h.lookUpWorker(ctx, x) })
	case AskAdvice:
		h.calls.Go(func() { h.askAdvice(ctx, x) })
	case ReadJob:
		h.calls.Go(func() { h.readJob(ctx, x) })
	}
}

func (h *Host) sendStart(ctx context.Context, x SendStart) {
	bounded, cancel := context.WithTimeout(ctx, h.responses.timeout(h.o.Bounds.startTimeout(), h.o.Bounds.maxStartTimeout()))
	defer cancel()
	began := time.Now()
	err := errStartDelayed
	if h.now() <= x.Before {
		_, err = h.o.Runner.Start(bounded, x.To, x.Start)
	}
	if !errors.Is(err, runner.ErrUnknown) && !errors.Is(err, errStartDelayed) {
		h.responses.observe(time.Since(began))
	}
	h.post(func(e *Engine, now time.Duration) { e.Started(now, x.To.ID, x.Start.Task, x.Start.Run, err) })
}

func (h *Host) sendStop(ctx context.Context, x SendStop) {
	bounded, cancel := context.WithTimeout(ctx, h.responses.timeout(stopTimeout, maxStopTimeout))
	defer cancel()
	err := h.o.Runner.Stop(bounded, x.To, x.Task, x.Run, h.term.Epoch)
	h.post(func(e *Engine, now time.Duration) { e.StopAnswered(now, x.To.ID, x.Task, x.Run, err) })
}

func (h *Host) sendRenew(ctx context.Context, x SendRenew) {
	bounded, cancel := context.WithTimeout(ctx, x.Timeout-renewGrace+h.responses.timeout(renewGrace, maxRenewGrace))
	defer cancel()
	if h.now() > x.AcknowledgeUntil { // this process stood still since the renewal was decided
		x.Renewal.Acknowledge = 0
	}
	report, err := h.o.Runner.Renew(bounded, x.To, x.Renewal)
	h.post(func(e *Engine, now time.Duration) { e.Renewed(now, x.To.ID, report, err) })
}

func (h *Host) commit(ctx context.Context, x SendCommit) {
	err := h.term.Commit(ctx, x.Stream, x.Writes, x.Deletes)
	if err != nil {
		if ctx.Err() == nil {
			h.o.Log.Error().Err(err).Msg("progress not written; ending the term")
			h.term.End(err)
		}
		return
	}
	h.post(func(e *Engine, now time.Duration) { e.Committed(now, x.Stream) })
}

func (h *Host) confirmClaim(ctx context.Context) {
	err := h.term.Confirm(ctx)
	h.post(func(e *Engine, now time.Duration) { e.Confirmed(now, err) })
}

// lookUpWorker asks the directory and the worker's address at the same time.
func (h *Host) lookUpWorker(ctx context.Context, x LookUpWorker) {
	var found Lookup
	var calls sync.WaitGroup
	calls.Go(func() {
		found.Err = h.o.StoreTimeout.Call(ctx, func(ctx context.Context) (err error) {
			found.Listed, err = h.o.Directory.Has(ctx, x.Ref.ID.Name())
			return err
		})
	})
	calls.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, h.responses.timeout(stopTimeout, maxStopTimeout))
		defer cancel()
		_, err := h.o.Runner.Renew(bounded, x.Ref, runner.Renewal{Epoch: h.term.Epoch})
		var other *runner.IncarnationError
		if errors.As(err, &other) {
			found.Other = other.ID
		}
		found.Answers = err == nil || other != nil || errors.Is(err, runner.ErrFenced)
	})
	calls.Wait()
	h.post(func(e *Engine, now time.Duration) { e.LookedUp(now, x.Ref.ID, found) })
}

func (h *Host) askAdvice(ctx context.Context, x AskAdvice) {
	bounded, cancel := context.WithTimeout(ctx, x.Timeout)
	defer cancel()
	good, err := h.o.Advise(bounded, x.Member, x.Step.StepName(), x.Workers)
	h.post(func(e *Engine, now time.Duration) { e.Advised(now, x.Member, x.Step, good, err) })
}

func (h *Host) readJob(ctx context.Context, x ReadJob) {
	var entry store.Entry
	err := h.o.StoreTimeout.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = h.o.Store.Get(ctx, KeySubmission(x.Job))
		return err
	})
	found := err == nil
	if errors.Is(err, store.ErrNotFound) {
		err = nil
	}
	h.post(func(e *Engine, now time.Duration) {
		if err := e.JobRead(now, x.Job, entry, found, err); err != nil {
			h.o.Log.Warn().Err(err).Str("job", string(x.Job)).Msg("submission of a job that a worker reports was not read")
		}
	})
}

func (h *Host) logDecision(d Decision) {
	l := h.o.Log.Info()
	if d.Task.Job != "" {
		l = l.Str("job", string(d.Task.Job)).Stringer("task", d.Task)
	}
	if d.Run > 0 {
		l = l.Uint64("run", d.Run)
	}
	if d.Worker != "" {
		l = l.Str("worker", string(d.Worker))
	}
	if d.Why != "" {
		l = l.Str("why", d.Why)
	}
	if d.Age > 0 {
		l = l.Int64("age_ms", d.Age.Milliseconds())
	}
	if d.waits != nil {
		l = l.Object("waited_ms", d.waits)
	}
	l.Uint64("epoch", h.term.Epoch).Msg(d.What)
}

func (h *Host) logViolation(what string, task work.TaskID, worker runner.WorkerID) {
	h.o.Log.Error().Stringer("task", task).Str("worker", string(worker)).Str("violation", what).Msg("invariant broken")
	if h.o.Violation != nil {
		h.o.Violation(what)
	}
}
