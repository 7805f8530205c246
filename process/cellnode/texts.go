package cellnode

import (
	"context"

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
	var entry store.Entry
	err := n.patience.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = p.store.Get(ctx, dispatch.KeyIn(id))
		return err
	})
	if err != nil {
		return "", err
	}
	job, err := work.DecodeJob(entry.Value)
	if err != nil {
		return "", err
	}
	n.relay.Keep(id, job.Spec)
	return job.Spec, nil
}
