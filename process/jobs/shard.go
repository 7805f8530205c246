package jobs

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/thejerf/suture/v4"

	"fennelshunt.example/fennelshunt/process/jobs/progress"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

// errShardEnded is returned by calls to a shard that was lost or released.
var errShardEnded = errors.New("jobs: the shard is no longer owned here")

// commandBuffer is the capacity of a shard's command channel.
const commandBuffer = 64

// attemptEpochBits is the number of low bits of an attempt number that count the
// starts of the task in one epoch; the claim's epoch is above them. Attempt
// numbers therefore increase over takeovers without being stored. Snapshots keep
// them in 32 bits, which leaves room for 500,000 epochs. A task started more than
// 4,000 times in one epoch reuses numbers of the next epoch, which matters only
// for an event that is delayed over a takeover.
const attemptEpochBits = 12

// attemptsPerIncarnation is the offset between the attempt numbers of two
// incarnations of a shard in one epoch.
const attemptsPerIncarnation = 256

// shard is one claimed shard. Its state belongs to the goroutine of Serve; other
// goroutines access it through call and post.
type shard struct {
	o      *Options
	number plan.Shard
	claim  ownership.Claim

	commands chan command
	quit     chan struct{}
	quitOnce sync.Once

	// seq and incarnations survive a restart of Serve after a panic, so that no
	// plan or attempt number is used twice in an epoch.
	seq, incarnations atomic.Uint64
}

// command is a function to run in the goroutine of the shard.
type command struct {
	run  func(st *state)
	done chan struct{}
	// incarnation is the one that the command belongs to; 0 means any.
	incarnation uint64
}

func newShard(o *Options, number plan.Shard, claim ownership.Claim) *shard {
	return &shard{
		o: o, number: number, claim: claim,
		commands: make(chan command, commandBuffer),
		quit:     make(chan struct{}),
	}
}

// abandon stops the shard without waiting for it.
func (s *shard) abandon() { s.quitOnce.Do(func() { close(s.quit) }) }

// call runs f in the goroutine of the shard and waits until it has returned.
func (s *shard) call(ctx context.Context, f func(st *state)) error {
	c := command{run: f, done: make(chan struct{})}
	select {
	case s.commands <- c:
	case <-s.quit:
		return errShardEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-c.done:
		return nil
	case <-s.quit:
		return errShardEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post runs f in the goroutine of the shard without waiting for it, unless the
// shard was restarted since the given incarnation (0 for any). A response to a
// call of an earlier incarnation must not reach the state of the current one:
// for example, the completion of an earlier write would be taken for that of the
// write in flight. post must not be called from the goroutine of the shard.
func (s *shard) post(ctx context.Context, incarnation uint64, f func(st *state)) {
	select {
	case s.commands <- command{run: f, incarnation: incarnation}:
	case <-s.quit:
	case <-ctx.Done():
	}
}

// Serve takes the shard over and runs it until it is lost.
func (s *shard) Serve(ctx context.Context) error {
	s.incarnations.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-s.quit:
			cancel()
		case <-ctx.Done():
		}
	}()
	st, err := s.takeOver(ctx)
	if err == nil {
		err = st.loop(ctx)
	}
	select {
	case <-s.quit:
		return suture.ErrDoNotRestart
	default:
	}
	if errors.Is(err, progress.ErrSuperseded) {
		s.o.Log.Info().Int("shard", int(s.number)).Msg("shard stopped and not restarted under this claim: another writer has taken over its progress")
		s.abandon()
		return suture.ErrDoNotRestart
	}
	return err
}

// takeOver opens the progress under this epoch and waits for a configuration
// that is not older than the one the previous owner acted on: the version in its
// last write and the version in the store, since the previous owner may have
// started tasks of a new job without a write. With an older configuration
// this owner would stop tasks of jobs that it does not have yet, and start tasks
// of a new job that are already running. The version is read after the claim and
// after the old owner's writes are fenced. While the store is down no takeover
// completes.
func (s *shard) takeOver(ctx context.Context) (*state, error) {
	type opened struct {
		file *progress.File
		jobs []*progress.Job
		head progress.Head
	}
	open := func() (opened, error) {
		file, jobs, head, err := progress.Open(ctx, s.o.Store, int(s.number), s.claim.Epoch, s.claim.Owner)
		if errors.Is(err, progress.ErrSuperseded) {
			err = backoff.Permanent(err)
		}
		return opened{file, jobs, head}, err
	}
	select {
	case <-s.o.countConfirmed:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	got, err := retryUntilDone(ctx, open)
	if err != nil {
		return nil, err
	}
	latest, err := s.latestVersion(ctx)
	if err != nil {
		return nil, err
	}
	if err := s.awaitConfig(ctx, max(got.head.ConfigVersion, latest)); err != nil {
		return nil, err
	}
	return newState(s, got.file, got.jobs, got.head), nil
}

// latestVersion reads the version of the configuration in the store.
func (s *shard) latestVersion(ctx context.Context) (uint64, error) {
	if s.o.LatestVersion == nil {
		return 0, nil
	}
	return retryUntilDone(ctx, func() (uint64, error) { return s.o.LatestVersion(ctx) })
}

// retryUntilDone calls f until it succeeds, returns a permanent error, or ctx
// ends.
func retryUntilDone[T any](ctx context.Context, f func() (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = 50*time.Millisecond, 2*time.Second
	return backoff.Retry(ctx, f, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
}

func (s *shard) awaitConfig(ctx context.Context, version uint64) error {
	for {
		changed := s.o.Config.Changed()
		if s.o.Config.Current().Version >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// release stops new starts and waits until all responses have arrived and are
// durable. On an error, for example when the store is down until ctx ends, the
// shard resumes work: the claim is kept, so no other daemon would take over.
func (s *shard) release(ctx context.Context) error {
	err := s.quiesce(ctx)
	if err != nil {
		// Not with ctx, which has usually ended. The goroutine ends at the latest
		// when the shard stops.
		go s.post(context.Background(), 0, func(st *state) { st.releasing = false })
	}
	return err
}

func (s *shard) quiesce(ctx context.Context) error {
	if err := s.call(ctx, func(st *state) { st.releasing = true }); err != nil {
		return err
	}
	for {
		quiescent := false
		if err := s.call(ctx, func(st *state) { quiescent = st.quiescent() }); err != nil {
			return err
		}
		if quiescent {
			return nil
		}
		select {
		case <-time.After(s.o.Tuning.CommitGather):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
