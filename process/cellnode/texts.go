package cellnode

import (
	"context"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// texts is what the callers' end needs of the relays.
type texts struct{ n *Node }

// Keep implements submit.Texts.
func (t texts) Keep(id work.JobID, spec string) { t.n.relay.Keep(id, spec) }

// Carries implements submit.Texts.
func (t texts) Carries() bool {
	orders := t.n.orders.Load()
	return orders != nil && orders.Relaying()
}

// text returns the spec of a job: from memory, from the daemon that accepted it, or
// from the store.
func (n *Node) text(ctx context.Context, id work.JobID, home string) (string, error) {
	if spec, err := n.relay.Text(ctx, id, home); err == nil {
		return spec, nil
	}
	var entry store.Entry
	err := n.patience.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = n.o.Store.Get(ctx, dispatch.KeyIn(id))
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
