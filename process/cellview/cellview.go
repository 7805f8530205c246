// Package cellview maintains this daemon's view of the whole cell: it follows
// the state of every partition by long polls to its owner and passes each change
// to the sinks.
//
// Guarantees: within one epoch of a partition the sinks receive its changes in
// order, each once; a lower epoch is never delivered after a higher one; after a
// change of the owner the sinks receive a full state before any change. While a
// partition has no reachable owner its last state is kept.
package cellview

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
)

// Sink receives the states of partitions. Apply is called from one goroutine and
// must not block it.
type Sink interface {
	Apply(plan.State)
}

// Options of a View. Zero durations mean the defaults.
type Options struct {
	Directory ownership.Directory
	Caller    peer.Caller
	// Partitions lists the partitions that currently exist.
	Partitions func() []string
	// Listed returns a channel closed when Partitions may have changed.
	Listed func() <-chan struct{}
	Sinks  []Sink
	// Wait is how long one long poll may wait for a change.
	Wait time.Duration
	Log  zerolog.Logger
}

const (
	// DefaultWait is the default of Options.Wait: an idle partition takes one small
	// call per wait.
	DefaultWait = 20 * time.Second
	// waitMargin is how much longer than Wait an answer may take.
	waitMargin = 3 * time.Second
	minRetry   = 50 * time.Millisecond
	maxRetry   = 2 * time.Second
	// queueLength is the number of states that may be queued for the sinks.
	queueLength = 64
)

// View follows every partition.
type View struct {
	o       Options
	applied chan plan.State
}

// New returns a View. It follows partitions only while Serve runs.
func New(o Options) *View {
	if o.Wait == 0 {
		o.Wait = DefaultWait
	}
	return &View{o: o, applied: make(chan plan.State, queueLength)}
}

// Serve follows the partitions until ctx ends.
func (v *View) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	following := make(map[string]context.CancelFunc)
	for {
		listed := v.o.Listed()
		v.adjust(ctx, following)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-listed:
		case s := <-v.applied:
			for _, sink := range v.o.Sinks {
				sink.Apply(s)
			}
		}
	}
}

// adjust starts to follow new partitions. One that is no longer listed is followed as
// long as it has an owner, which reports the removal of its workers.
func (v *View) adjust(ctx context.Context, following map[string]context.CancelFunc) {
	names := v.o.Partitions()
	for _, name := range names {
		if following[name] != nil {
			continue
		}
		followCtx, cancel := context.WithCancel(ctx)
		following[name] = cancel
		f := &follower{v: v, name: name, known: newMerger()}
		go f.run(followCtx)
	}
	for name, cancel := range following {
		_, owned := v.o.Directory.Owner(ownership.Resource(ownership.PartitionPrefix + name))
		if len(names) > 0 && !slices.Contains(names, name) && !owned {
			cancel()
			delete(following, name)
		}
	}
}

// follower follows one partition.
type follower struct {
	v     *View
	name  string
	epoch uint64
	seq   uint64
	known *merger
}

func (f *follower) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minRetry, maxRetry
	resource := ownership.Resource(ownership.PartitionPrefix + f.name)
	for ctx.Err() == nil {
		changed := f.v.o.Directory.Changed()
		claim, ok := f.v.o.Directory.Owner(resource)
		err := errNoOwner
		if ok {
			err = f.pollUntilMoved(ctx, claim, changed)
		}
		if err == nil {
			pause.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(pause.NextBackOff()):
		}
	}
}

var errNoOwner = errors.New("cellview: partition has no owner")

// pollUntilMoved makes one long poll and cancels it when another daemon becomes
// the owner: the old one may not answer the poll until its wait ends.
func (f *follower) pollUntilMoved(ctx context.Context, claim ownership.Claim, changed <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, f.v.o.Wait+waitMargin)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-changed:
			}
			changed = f.v.o.Directory.Changed()
			if now, ok := f.v.o.Directory.Owner(claim.Resource); ok && !now.Same(claim) {
				cancel()
				return
			}
		}
	}()
	return f.poll(ctx, claim)
}

func (f *follower) poll(ctx context.Context, claim ownership.Claim) error {
	req := plan.StateRequest{
		Partition: f.name, Epoch: f.epoch, Since: f.seq, WaitMillis: f.v.o.Wait.Milliseconds(),
	}
	var s plan.State
	if err := f.v.o.Caller.Call(ctx, claim.Owner, plan.MethodState, req, &s); err != nil {
		return err
	}
	if s.Epoch < f.epoch {
		return errNoOwner // a former owner that has not noticed yet that it was replaced
	}
	if s.Epoch != f.epoch && !s.Full {
		f.epoch, f.seq = s.Epoch, 0
		return nil // the next poll requests the full state
	}
	changed := s.Full || s.Seq != f.seq
	f.epoch, f.seq = s.Epoch, s.Seq
	if !changed {
		return nil
	}
	if !f.known.complete(&s, time.Now()) {
		f.seq = 0
		return nil // the next poll requests the full state
	}
	select {
	case f.v.applied <- s:
		return nil
	case <-ctx.Done():
		f.seq = 0 // not delivered, so the next poll must request the full state
		return ctx.Err()
	}
}
