package lead

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Distribution of shard leadership over the daemons of a divided cell.
//
// On a busy machine the other daemons, or their electors for a shard, may start to run a
// second later. A daemon that leads a shard and claimed another one at once would then lead
// two shards, next to daemons that lead none, until it exits.
const (
	// leadsAnotherDelay is the additional delay before a daemon that leads a shard claims another
	// one. It waits up to leadsAnotherRounds times while a daemon that leads none answers.
	leadsAnotherDelay  = time.Second
	leadsAnotherRounds = 3
)

// deferToOthers leaves a vacancy to daemons that lead no shard for a while. It returns
// false if ctx has ended.
func (e *Elector) deferToOthers(ctx context.Context) bool {
	for range leadsAnotherRounds {
		if sleep.For(ctx, leadsAnotherDelay) != nil {
			return false
		}
		if _, vacant := e.view.vacant(e.o.Self); !vacant || !e.otherCanLead(ctx) {
			break
		}
	}
	return true
}

// otherCanLead reports whether a daemon answers that leads no shard and reaches the store.
func (e *Elector) otherCanLead(ctx context.Context) bool {
	if e.o.Primary != nil {
		return e.o.Primary.anyCanLead(ctx, e.nonLeaders())
	}
	return e.anyCanLead(ctx, e.nonLeaders())
}

// nonLeaders returns, in random order, the other daemons that lead no shard according to
// the view.
func (e *Elector) nonLeaders() []Member {
	nonLeaders := slices.DeleteFunc(e.view.Members(), func(m Member) bool {
		return m.same(e.o.Self) || e.o.LeadsElsewhere != nil && e.o.LeadsElsewhere(m.Name)
	})
	rand.Shuffle(len(nonLeaders), func(i, j int) { nonLeaders[i], nonLeaders[j] = nonLeaders[j], nonLeaders[i] })
	return nonLeaders
}

// anyCanLead pings up to witnesses of the daemons and reports whether one of them could
// lead.
func (e *Elector) anyCanLead(ctx context.Context, members []Member) bool {
	for _, m := range members[:min(len(members), witnesses)] {
		if reply, err := e.ping(ctx, m); err == nil && !reply.Leads && !reply.StoreRefuses {
			return true
		}
	}
	return false
}
