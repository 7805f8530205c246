package sched

import (
	"maps"
	"slices"

	"fennelshunt.example/fennelshunt/connection/worker"
)

// Block keeps all decisions off a worker, over Rebase, until Unblock: its owner
// refuses plans, which no snapshot shows. reason is told in rejections.
func (p *Planner) Block(id worker.ID, reason string) {
	p.blocked[id] = reason
	p.view.SetUnusable(id, reason)
}

// Unblock lets a worker take tasks again as far as the snapshot does.
func (p *Planner) Unblock(id worker.ID) {
	if _, ok := p.blocked[id]; !ok {
		return
	}
	delete(p.blocked, id)
	clear(p.failed)
	if w := p.base.Lookup(id); w != nil {
		p.view.SetUnusable(id, w.Unusable)
	}
}

// block applies what is blocked to a new view.
func (p *Planner) block() {
	for _, id := range slices.Sorted(maps.Keys(p.blocked)) {
		p.view.SetUnusable(id, p.blocked[id])
	}
}
