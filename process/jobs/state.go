package jobs

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/jobs/queue"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/sched/usage"
	"fennelshunt.example/fennelshunt/version/spec"
)

// state is the in-memory state of a shard at its owner. Only the goroutine of
// the shard uses it.
type state struct {
	shard *shard
	o     *Options
	ctx   context.Context
	// incarnation counts the starts of shard.Serve in this daemon.
	incarnation uint64

	config  *spec.Config
	jobs    map[progress.Key]*job
	current map[string]*job
	// surplus holds attempts that must be stopped: their job was removed, or
	// another attempt of the task is live or has succeeded.
	surplus  map[worker.Ref]*attempt
	arrivals uint64
	// rolling holds the older generations of services that are being replaced.
	rolling map[string][]*job

	queue    *queue.Queue[*job]
	accounts *quota.Ledger
	delayed  delayHeap
	limiter  *rate.Limiter
	learner  *usage.Learner

	partitions map[string]*partition
	takeover   takeover
	commit     commitState
	others     otherShards

	round     roundState
	releasing bool
	lastCheck time.Time
	// calls counts the calls to partitions that are in flight.
	calls int
	// stopping holds the attempts that were asked to stop.
	stopping map[*attempt]struct{}
}

func newState(s *shard, file *progress.File, records []*progress.Job, head progress.Head) *state {
	t := &s.o.Tuning
	st := &state{
		shard: s, o: s.o, incarnation: s.incarnations.Load(),
		config: &spec.Config{}, jobs: map[progress.Key]*job{}, current: map[string]*job{},
		surplus: map[worker.Ref]*attempt{}, rolling: map[string][]*job{}, queue: queue.New[*job](), accounts: quota.NewLedger(),
		limiter:    rate.NewLimiter(rate.Limit(t.StartsPerSecond), t.StartBurst),
		partitions: map[string]*partition{}, learner: usage.New(), stopping: map[*attempt]struct{}{},
	}
	st.round.refused = map[worker.ID]time.Time{}
	st.round.blocked = map[worker.ID]string{}
	st.commit = newCommitState(file, head, t)
	st.takeover = newTakeover(records, head)
	st.others = newOtherShards(t.ShareInterval)
	return st
}

func (st *state) author() plan.Authorship {
	return plan.Authorship{Shard: st.shard.number, Epoch: st.shard.claim.Epoch, Owner: st.shard.claim.Owner}
}

// attemptBase returns the lowest attempt number of this incarnation of the shard.
func (st *state) attemptBase() int {
	return int(st.shard.claim.Epoch<<attemptEpochBits + (st.incarnation-1)*attemptsPerIncarnation)
}

// attemptNumber returns the number of the next attempt of a task.
func (st *state) attemptNumber(j *job, index uint32) int { return st.attemptBase() + j.restarts[index] }

// consume prevents the next attempt of the task from reusing this number. The
// number of an attempt that was certainly refused is not consumed and is reused.
func (st *state) consume(a *attempt) {
	if base := st.attemptBase(); a.number >= base {
		a.job.restarts[a.index] = a.number - base + 1
	}
}

// loop serves commands, configuration and ownership changes, and timers until
// ctx ends or the shard is superseded.
func (st *state) loop(ctx context.Context) error {
	st.ctx = ctx
	configChanged := st.o.Config.Changed()
	st.applyConfig(st.o.Config.Current())
	directoryChanged := st.o.Directory.Changed()
	st.checkPartitions()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for st.commit.err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-st.shard.commands:
			st.runCommands(c)
		case <-configChanged:
			configChanged = st.o.Config.Changed()
			st.applyConfig(st.o.Config.Current())
		case <-directoryChanged:
			directoryChanged = st.o.Directory.Changed()
			st.checkPartitions()
		case <-timer.C:
		}
		timer.Reset(st.step())
	}
	return st.commit.err
}

// runCommands runs a command and those queued behind it, so that many responses
// are followed by a single step.
func (st *state) runCommands(c command) {
	for range commandBuffer {
		if c.incarnation == 0 || c.incarnation == st.incarnation {
			c.run(st)
		}
		if c.done != nil {
			close(c.done)
		}
		select {
		case c = <-st.shard.commands:
		default:
			return
		}
	}
}

// step does all work that is due and returns how long the loop may wait.
func (st *state) step() time.Duration {
	now := time.Now()
	st.releaseDelayed(now)
	st.tick(now)
	st.decide(now)
	st.send(now)
	st.startCommit(now)
	return st.nextWake(now)
}

// tick does the periodic work that is due every RoundInterval.
func (st *state) tick(now time.Time) {
	if now.Sub(st.round.lastTick) < st.o.Tuning.RoundInterval {
		return
	}
	st.round.lastTick = now
	st.round.dirty = true
	st.checkPartitions()
	st.repeatStops(now)
	st.rollServices()
	st.recheckInfeasible(now)
	st.removeUnusedTeams()
	st.checkNow(now)
}

func (st *state) nextWake(now time.Time) time.Duration {
	wake := st.round.lastTick.Add(st.o.Tuning.RoundInterval)
	if st.round.active != nil {
		wake = now
	} else if st.mayStart() && (st.round.dirty || !st.queue.Empty()) {
		wake = earlier(wake, st.nextRound())
		if !st.round.dirty { // only a new snapshot can change a decision
			wake = later(wake, now.Add(snapshotPoll))
		}
	}
	if len(st.delayed) > 0 {
		wake = earlier(wake, st.delayed[0].at)
	}
	if at, due := st.commitDue(now); due {
		wake = earlier(wake, at)
	}
	return max(wake.Sub(now), 0)
}

// snapshotPoll is the interval at which a new snapshot is polled for while tasks
// wait.
const snapshotPoll = 10 * time.Millisecond

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// quiescent reports whether no call is in flight and all progress is durable.
func (st *state) quiescent() bool {
	return st.calls == 0 && !st.commit.writing && !st.commit.pending()
}
