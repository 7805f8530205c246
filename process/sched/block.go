package sched

import (
	"maps"
	"slices"

	"fennelshunt.example/fennelshunt/connection/worker"
)

// Block excludes a worker from all decisions until Unblock is called, also across
// Rebase. It is for workers whose owner refuses plans, which snapshots do not
// show. Rejections give the reason.
func (p *Planner) Block(id worker.ID, reason string) {
	p.blocked[id] = reason
	p.view.SetUnusable(id, reason)
}

// Unblock makes a worker available again, unless it is unusable in the snapshot.
func (p *Planner) Unblock(id worker.ID) {
	if _, ok := p.blocked[id]; !ok {
		return
	}
	delete(p.blocked, id)
	clear(p.failures)
	if w := p.base.Lookup(id); w != nil {
		p.view.SetUnusable(id, w.Unusable)
	}
}

// applyBlocked marks the blocked workers as unusable in a new view.
func (p *Planner) applyBlocked() {
	for _, id := range slices.Sorted(maps.Keys(p.blocked)) {
		p.view.SetUnusable(id, p.blocked[id])
	}
}
