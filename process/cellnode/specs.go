package cellnode

import (
	"context"
	"errors"
	"fmt"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// specCache is the interface of a shard's submit.Service to the relays, which cache job specs.
type specCache struct{ s *shard }

// CacheSpec implements submit.SpecCache.
func (t specCache) CacheSpec(id work.JobID, spec string) { t.s.n.relay.CacheSpec(id, spec) }

// RelaysOrders implements submit.SpecCache.
func (t specCache) RelaysOrders() bool {
	orders := t.s.orders.Load()
	return orders != nil && orders.Relaying()
}

// spec returns the spec of a job: from memory, from the accepting daemon, or from the
// store. digest is that of the spec, 0 if it is not known.
func (s *shard) spec(ctx context.Context, id work.JobID, acceptedBy string, digest uint64) (string, error) {
	n := s.n
	if spec, err := n.relay.Spec(ctx, id, acceptedBy, digest); err == nil {
		return spec, nil
	}
	spec, err := s.storedOnce(ctx, id)
	if err == nil && digest != 0 && work.DigestOf(spec) != digest {
		return "", fmt.Errorf("the job has ended, and its id is used again: %w", store.ErrNotFound)
	}
	return spec, err
}

// storedOnce reads a job's spec from the store, once for all tasks that wait for it.
//
// After all daemons have been lost, and with them the specs in memory, each of a job's
// dozens of tasks would otherwise read the same spec when they all start at once.
func (s *shard) storedOnce(ctx context.Context, id work.JobID) (string, error) {
	found := s.reads.DoChan(string(id), func() (any, error) {
		// Not cancelled with the first waiter, since others wait too; the store timeout bounds it.
		spec, err := s.storedSpec(context.WithoutCancel(ctx), id)
		if err == nil && s.n.relay != nil {
			s.n.relay.CacheSpec(id, spec)
		}
		return spec, err
	})
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case x := <-found:
		spec, _ := x.Val.(string)
		return spec, x.Err
	}
}

// storedSpec reads the spec of a job from the store: under its own key, or inside the job
// where a daemon of the previous release has accepted it.
func (s *shard) storedSpec(ctx context.Context, id work.JobID) (string, error) {
	entry, err := s.stored(ctx, dispatch.KeySpec(id))
	if err == nil {
		return string(entry.Value), nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return "", err
	}
	if entry, err = s.stored(ctx, dispatch.KeySubmission(id)); err != nil {
		return "", err
	}
	job, err := work.DecodeJob(entry.Value)
	if err != nil {
		return "", err
	}
	if job.SpecStored {
		return "", store.ErrNotFound // both keys are deleted together: the job has ended
	}
	return job.Spec, nil
}

func (s *shard) stored(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.n.storeTimeout.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = s.store.Get(ctx, key)
		return err
	})
	return entry, err
}
