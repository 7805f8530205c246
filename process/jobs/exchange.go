package jobs

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/version/spec"
)

// MethodTotals carries Totals between the owners of shards; no reply.
const MethodTotals peer.Method = "shard.totals"

// Totals is what the owner of a shard reports to the owners of the other shards,
// so that teams of different shards get fair shares of the cell.
type Totals struct {
	Shard plan.Shard  `cbor:"1,keyasint"`
	Epoch uint64      `cbor:"2,keyasint"`
	Teams []TeamTotal `cbor:"3,keyasint,omitempty"`
	// Gang is the protected gang or batch task, if it belongs to this shard.
	Gang *GangNeed `cbor:"4,keyasint,omitempty"`
}

// TeamTotal is the usage of a team that has tasks waiting for capacity.
type TeamTotal struct {
	Team   string         `cbor:"1,keyasint"`
	Weight int            `cbor:"2,keyasint"`
	Held   spec.Resources `cbor:"3,keyasint"`
}

// exchange periodically sends the totals of this daemon's shards to the owners of
// the other shards.
type exchange struct {
	manager *Manager
}

// Serve sends until ctx ends.
func (x *exchange) Serve(ctx context.Context) error {
	ticker := time.NewTicker(x.manager.options.Tuning.ShareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			x.send(ctx)
		}
	}
}

// send collects the totals of all shards of this daemon and sends them in one
// message to each other owner. It sends nothing when no team or gang waits.
func (x *exchange) send(ctx context.Context) {
	var all []Totals
	for _, s := range x.manager.ownShards() {
		callCtx, cancel := context.WithTimeout(ctx, x.manager.options.Tuning.CallTimeout)
		t := new(Totals)
		err := s.call(callCtx, func(st *state) { *t = st.totals(time.Now()) })
		cancel()
		if err == nil && (len(t.Teams) > 0 || t.Gang != nil) {
			all = append(all, *t)
		}
	}
	if len(all) == 0 {
		return
	}
	x.manager.postTotals(ctx, all)
	for _, to := range x.owners() {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, x.manager.options.Tuning.CallTimeout)
			defer cancel()
			// A lost message only makes the shares less fair until the next one.
			_ = x.manager.options.Caller.Call(callCtx, to, MethodTotals, all, nil)
		}()
	}
}

// owners lists the other daemons that own shards.
func (x *exchange) owners() []peer.Ref {
	var refs []peer.Ref
	for _, r := range x.manager.Resources() {
		claim, ok := x.manager.options.Directory.Owner(r)
		if ok && claim.Owner != x.manager.options.Self && !slices.Contains(refs, claim.Owner) {
			refs = append(refs, claim.Owner)
		}
	}
	return refs
}

func (m *Manager) ownShards() []*shard {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*shard
	for _, owned := range m.shards {
		all = append(all, owned.shard)
	}
	return all
}

func (m *Manager) handleTotals(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
	var all []Totals
	if err := cbor.Unmarshal(payload, &all); err != nil {
		return nil, fmt.Errorf("totals: %w", err)
	}
	m.postTotals(ctx, all)
	return nil, nil
}

func (m *Manager) postTotals(ctx context.Context, all []Totals) {
	for _, s := range m.ownShards() {
		s.post(ctx, 0, func(st *state) {
			now := time.Now()
			for i := range all {
				if all[i].Shard != st.shard.number {
					st.applyTotals(&all[i], now)
				}
			}
		})
	}
}
