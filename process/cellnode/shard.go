package cellnode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/process/relay"
	"fennelshunt.example/fennelshunt/request/submit"
	"fennelshunt.example/fennelshunt/version/work"
)

// shard is this daemon's state for one shard of the cell. Every daemon can lead any shard
// and accepts jobs for all. A cell that is not divided has one shard.
type shard struct {
	n       *Node
	index   int
	store   store.Transactor
	elector *lead.Elector
	jobs    *submit.Service
	host    atomic.Pointer[dispatch.Host]
	orders  atomic.Pointer[relay.Runner] // of this daemon's term as leader
	rows    atomic.Pointer[[]quota.Row]  // quota usage of the accounts; nil while another daemon leads
	reads   singleflight.Group           // of specs from the store, by job
}

// newShard builds a shard; main is the elector of shard 0, and nil for shard 0 itself.
func (n *Node) newShard(index int, main *lead.Elector) *shard {
	s := &shard{n: n, index: index, store: n.o.Store}
	suffix, log := "", n.log
	if index > 0 {
		s.store = store.Prefixed{Transactor: n.o.Store, Prefix: lead.ShardPrefix(index)}
		suffix = fmt.Sprintf(".%d", index)
		log = n.log.With().Int("part", index).Logger()
	}
	s.elector = lead.New(lead.Options{Self: n.self, Store: s.store, Log: log, StoreTimeout: n.storeTimeout, RunTerm: s.lead,
		Lease: n.memberLease(), Peers: n.peers, Primary: main, Suffix: suffix, LeadsAnother: func() bool { return n.leadsOther(index) },
		LeadsElsewhere: func(name string) bool { return n.shardLedBy(name, index) }})
	s.elector.Register(n.mux)
	s.jobs = submit.New(submit.Options{
		Self: n.self.Name, Peer: n.self.Peer, Specs: specCache{s}, Store: s.store, StoreTimeout: n.storeTimeout,
		View: s.elector.View(), Peers: n.peers, Leading: s.host.Load, Log: log, Suffix: suffix,
		Stats: &n.submitted, Pacer: n.pacer, Preconditions: s.preconditions,
		NoLoadShedding: n.o.Settings.Policy.NoLoadShedding})
	s.jobs.Register(n.mux)
	return s
}

// preconditions returns the preconditions of a submission: the cell's layout must still be the
// one by which the job was routed to this shard, and the job must not have been submitted to
// another shard.
func (s *shard) preconditions(id work.JobID) submit.Preconditions {
	layout, _ := s.n.view().Layout()
	key := lead.KeyLayout
	if s.index > 0 {
		key = store.Unprefixed(key)
	}
	return submit.Preconditions{Layout: store.Check{Key: key, Revision: layout.Revision}, OtherShardKeys: submit.OtherShardKeysOf(s.index, id)}
}

// lead runs one term of this daemon as the shard's leader.
func (s *shard) lead(t *lead.Term) {
	n := s.n
	layout, err := n.ensureLayout(s, t)
	if err != nil {
		return
	}
	members := func() []lead.Member { return shardMembers(n.view().Members(), layout, s.index) }
	orders := relay.New(t.Context(), relay.Options{Direct: n.o.Runner, Dial: n.dialOrders, Shard: s.index, Epoch: t.Epoch, Self: n.self,
		Members: members, Spec: s.spec, Log: n.log}, &n.relayed)
	s.orders.Store(orders)
	defer s.orders.CompareAndSwap(orders, nil)
	defer s.rows.Store(nil)
	h := dispatch.NewHost(dispatch.HostOptions{
		Store: s.store, StoreTimeout: n.storeTimeout, Runner: orders, Directory: shardDirectory{n.o.Directory, layout, s.index}, View: n.view(),
		Members: members, Lost: func() []lead.Member { return ownDaemons(n.view().Lost(), layout, s.index) }, Advise: n.advise, Accounts: n.catalogs.accounts, Shard: s.index, Shards: layout.Shards, Bounds: n.bounds(), Policy: n.o.Settings.Policy, Log: n.log, Count: n.count, Took: n.observeSpan,
		ShowAccounts: func(rows []quota.Row) { s.rows.Store(&rows) },
		Violation:    func(string) { n.metrics.Add("violations", 1) },
	}, t)
	s.host.Store(h)
	go n.reportLoad(t.Context())
	go s.runQuota(t, h, layout.Shards)
	h.Run()
	s.host.CompareAndSwap(h, nil)
}

// shardMembers returns the daemons that serve a shard as advice proxies and relays: the
// members that the layout assigns to it, or all members if there are none.
//
// The advice service answers the calls of one daemon one at a time, so two leaders that
// used the same proxy would wait for each other. A shard without any daemon of its own
// would never get advice, and so uses all.
func shardMembers(members []lead.Member, layout lead.Layout, index int) []lead.Member {
	if own := ownDaemons(members, layout, index); len(own) > 0 {
		return own
	}
	return members
}

// ownDaemons returns those of the daemons that the layout assigns to a shard, which may be none.
func ownDaemons(all []lead.Member, layout lead.Layout, index int) (own []lead.Member) {
	for _, m := range all {
		if layout.ShardOf(m.Name) == index {
			own = append(own, m)
		}
	}
	return own
}

// shardDirectory is the directory of one shard's workers.
type shardDirectory struct {
	runner.Directory
	layout lead.Layout
	index  int
}

// has decides by the worker's name, not its incarnation: a later incarnation stays with the
// leader that has the records of the earlier one.
func (s shardDirectory) has(id runner.WorkerID) bool { return s.layout.ShardOf(id.Name()) == s.index }

// List implements runner.Directory.
func (s shardDirectory) List(ctx context.Context) ([]runner.Worker, store.Revision, error) {
	all, rev, err := s.Directory.List(ctx)
	own := all[:0]
	for _, w := range all {
		if s.has(w.ID) {
			own = append(own, w)
		}
	}
	return own, rev, err
}

// Watch implements runner.Directory.
func (s shardDirectory) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]runner.Change, store.Revision, error) {
	all, rev, err := s.Directory.Watch(ctx, after, wait)
	own := all[:0]
	for _, c := range all {
		if s.has(c.Worker.ID) {
			own = append(own, c)
		}
	}
	return own, rev, err
}

// shards returns the shards that have been built: shard 0, and the others once the layout
// is known.
func (n *Node) shards() []*shard { return *n.built.Load() }

// view returns the view of the cell's daemons.
func (n *Node) view() *lead.View { return n.shards()[0].elector.View() }

// leadsOther reports whether this daemon leads a shard other than index.
func (n *Node) leadsOther(index int) bool {
	for _, s := range n.shards() {
		if s.index != index && s.elector.Leads() {
			return true
		}
	}
	return false
}

// shardLedBy reports whether the named daemon is known to lead a shard other than index.
func (n *Node) shardLedBy(name string, index int) bool {
	for _, s := range n.shards() {
		if leader, known := s.elector.View().Leader(); known && s.index != index && leader.Member.Name == name {
			return true
		}
	}
	return false
}

var errNoLayout = errors.New("cellnode: the cell's layout is not known yet")

// shardOf implements submit.Shards.Of.
func (n *Node) shardOf(id work.JobID) ([]*submit.Service, int, error) {
	layout, known := n.view().Layout()
	shards := n.shards()
	if !known || len(shards) < layout.Shards {
		return nil, 0, errNoLayout
	}
	all := make([]*submit.Service, len(shards))
	for i, s := range shards {
		all[i] = s.jobs
	}
	return all, layout.ShardOf(string(id)), nil
}

// runShards builds and runs the shards other than shard 0 once the layout is known.
func (n *Node) runShards(ctx context.Context) error {
	var layout lead.Layout
	for layout.Shards <= len(n.shards()) {
		changed := n.view().Changed()
		if layout, _ = n.view().Layout(); layout.Shards > len(n.shards()) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
	n.log.Info().Int("parts", layout.Shards).Msg("cell is divided into shards")
	built := n.shards()
	for i := len(built); i < layout.Shards; i++ {
		built = append(built, n.newShard(i, built[0].elector))
	}
	n.built.Store(&built)
	var wg sync.WaitGroup
	for _, s := range built[1:] {
		wg.Go(func() {
			if err := s.elector.Run(ctx); err != nil && ctx.Err() == nil {
				n.log.Error().Err(err).Int("part", s.index).Msg("elector of a shard ended")
			}
		})
	}
	wg.Wait()
	return ctx.Err()
}
