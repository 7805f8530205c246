package cellnode

import (
	"context"
	"errors"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// texts is what the callers' end of a part needs of the relays.
type texts struct{ p *part }

// Keep implements submit.Texts.
func (t texts) Keep(id work.JobID, spec string) { t.p.n.relay.Keep(id, spec) }

// Carries implements submit.Texts.
func (t texts) Carries() bool {
	orders := t.p.orders.Load()
	return orders != nil && orders.Relaying()
}

// text returns the spec of a job: from memory, from the daemon that accepted it, or
// from the store.
func (p *part) text(ctx context.Context, id work.JobID, home string) (string, error) {
	n := p.n
	if spec, err := n.relay.Text(ctx, id, home); err == nil {
		return spec, nil
	}
	return p.storedOnce(ctx, id)
}

// storedOnce reads a job's spec from the store, once for all tasks that wait for it.
//
// Load pattern: all daemons were lost, and with them the specs that they had in memory.
// What goes wrong without it: each of a job's dozens of tasks reads the same spec as they
// all start at once.
func (p *part) storedOnce(ctx context.Context, id work.JobID) (string, error) {
	found := p.reads.DoChan(string(id), func() (any, error) {
		// The others still want it when the first one's time is over; patience bounds it.
		spec, err := p.storedText(context.WithoutCancel(ctx), id)
		if err == nil && p.n.relay != nil {
			p.n.relay.Keep(id, spec)
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

// storedText reads the spec of a job from the store: apart from the job, or with one that
// a daemon of the version before has accepted.
func (p *part) storedText(ctx context.Context, id work.JobID) (string, error) {
	entry, err := p.stored(ctx, dispatch.KeySpec(id))
	if err == nil {
		return string(entry.Value), nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return "", err
	}
	if entry, err = p.stored(ctx, dispatch.KeyIn(id)); err != nil {
		return "", err
	}
	job, err := work.DecodeJob(entry.Value)
	if err != nil {
		return "", err
	}
	if job.Apart {
		return "", store.ErrNotFound // both keys go at once: the job has ended
	}
	return job.Spec, nil
}

func (p *part) stored(ctx context.Context, key string) (entry store.Entry, err error) {
	err = p.n.patience.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = p.store.Get(ctx, key)
		return err
	})
	return entry, err
}
