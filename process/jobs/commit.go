package jobs

import (
	"errors"
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/process/jobs/progress"
)

// commitState groups changes of the progress into writes. One write is in flight
// at a time, in a goroutine of its own, which owns file until it ends.
type commitState struct {
	file    *progress.File
	limiter *rate.Limiter
	gather  time.Duration
	writing bool
	// err is set when the shard was superseded, which ends the loop.
	err error

	dirty map[*job]struct{}
	// removed holds jobs whose progress is to be deleted.
	removed map[progress.Key]struct{}
	// version is the version of the configuration that this owner applies,
	// takenVersion the version that the last write set contains.
	version, takenVersion uint64
	// partitions holds, by partition, the epoch of the owner that plans may be
	// sent to; durable holds those that are written.
	partitions      map[string]uint64
	durable         map[string]uint64
	partitionsDirty bool
	since           time.Time
	// waiting holds the attempts that may be sent after the next write, acks
	// the results to acknowledge after it.
	waiting []*attempt
	acks    []ackRef
}

// ackRef is a result to acknowledge.
type ackRef struct {
	partition string
	ref       worker.Ref
}

func newCommitState(file *progress.File, head progress.Head, t *Tuning) commitState {
	c := commitState{
		file: file, gather: t.CommitGather,
		limiter: rate.NewLimiter(rate.Every(t.CommitInterval), t.CommitBurst),
		dirty:   map[*job]struct{}{}, removed: map[progress.Key]struct{}{},
		version: head.ConfigVersion, takenVersion: head.ConfigVersion,
		partitions: map[string]uint64{}, durable: map[string]uint64{},
	}
	maps.Copy(c.partitions, head.Partitions)
	maps.Copy(c.durable, head.Partitions)
	return c
}

// pending reports whether changes wait for a write.
func (c *commitState) pending() bool {
	return len(c.dirty) > 0 || len(c.removed) > 0 || c.partitionsDirty ||
		len(c.waiting) > 0 || len(c.acks) > 0 || c.version > c.takenVersion
}

// markDirty schedules a write of a job's record.
func (st *state) markDirty(j *job) {
	st.markPending()
	st.commit.dirty[j] = struct{}{}
}

// markPending records the time of the first change that waits for a write. It
// must be called before the change.
func (st *state) markPending() {
	if !st.commit.pending() {
		st.commit.since = time.Now()
	}
}

// commitDue returns when the next write may start.
func (st *state) commitDue(now time.Time) (time.Time, bool) {
	c := &st.commit
	if c.writing || !c.pending() {
		return time.Time{}, false
	}
	at := c.since.Add(c.gather)
	if tokens := c.limiter.TokensAt(now); tokens < 1 {
		refill := time.Duration((1 - tokens) / float64(c.limiter.Limit()) * float64(time.Second))
		if refilled := now.Add(refill); refilled.After(at) {
			at = refilled
		}
	}
	return at, true
}

// writeSet is the set of changes that one write makes durable.
type writeSet struct {
	update  progress.Update
	limits  []encodedLimit
	waiting []*attempt
	acks    []ackRef
}

// encodedLimit is the start limit of a job in its encoded record.
type encodedLimit struct {
	job   *job
	limit uint32
}

func (st *state) startCommit(now time.Time) {
	at, due := st.commitDue(now)
	if !due || at.After(now) {
		return
	}
	st.commit.limiter.AllowN(now, 1)
	g, err := st.commit.take()
	if err != nil {
		st.violated("cannot encode the progress: %v", err)
		return
	}
	st.commit.writing = true
	go st.write(g)
}

// take moves the pending changes into a write set.
func (c *commitState) take() (*writeSet, error) {
	g := &writeSet{waiting: c.waiting, acks: c.acks}
	g.update.Jobs = make(map[progress.Key][]byte, len(c.dirty)+len(c.removed))
	for key := range c.removed {
		g.update.Jobs[key] = nil
	}
	for j := range c.dirty {
		if j.cancelled {
			continue
		}
		data, err := j.record.Encode()
		if err != nil {
			return nil, err
		}
		g.update.Jobs[j.key] = data
		g.limits = append(g.limits, encodedLimit{j, j.record.StartLimit})
	}
	g.update.ConfigVersion = c.version
	g.update.Partitions = maps.Clone(c.partitions)
	c.dirty, c.removed = map[*job]struct{}{}, map[progress.Key]struct{}{}
	c.waiting, c.acks, c.partitionsDirty = nil, nil, false
	c.takenVersion = c.version
	return g, nil
}

// write runs in its own goroutine until the write set is durable or the shard is
// superseded or lost. While the store is down the shard continues with all work
// that needs no write.
func (st *state) write(g *writeSet) {
	file := st.commit.file
	file.Apply(g.update)
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = 50*time.Millisecond, 5*time.Second
	flush := func() (struct{}, error) {
		err := file.Flush(st.ctx)
		if errors.Is(err, progress.ErrSuperseded) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(st.ctx, flush, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	st.shard.post(st.ctx, st.incarnation, func(st *state) { st.written(g, err) })
}

// written handles the result of a write.
func (st *state) written(g *writeSet, err error) {
	st.commit.writing = false
	if err != nil {
		st.commit.err = err
		return
	}
	st.o.Metrics.Writes.Add(1)
	st.commit.durable = g.update.Partitions
	for _, mark := range g.limits {
		if mark.limit > mark.job.durableLimit {
			mark.job.durableLimit = mark.limit
			st.enqueue(mark.job)
		}
	}
	for _, a := range g.waiting {
		st.intentDurable(a)
	}
	for _, ack := range g.acks {
		st.queueAck(ack.partition, ack.ref)
	}
}

// intentDurable queues an attempt whose intent has become durable.
func (st *state) intentDurable(a *attempt) {
	if a.job.live[a.index] != a || a.phase != intending {
		return
	}
	if a.job.spec.NonIdempotent {
		a.job.durableIntent.Add(a.index)
	}
	st.queueStart(a)
}

// raiseLimit schedules a write of a higher start limit when the starts of a job
// come close to the current one.
func (st *state) raiseLimit(j *job) {
	if j.cancelled {
		return
	}
	if limit, wanted := j.wantsLimit(st.o.Tuning.StartAhead); wanted {
		j.record.StartLimit = limit
		st.markDirty(j)
	}
}
