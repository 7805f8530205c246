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

// part is this daemon's end of one part of the cell: it may lead it, and takes its
// jobs. A cell that is not divided has one.
type part struct {
	n       *Node
	index   int
	store   store.Transactor
	elector *lead.Elector
	jobs    *submit.Service
	host    atomic.Pointer[dispatch.Host]
	orders  atomic.Pointer[relay.Runner] // of this daemon's term
	rows    atomic.Pointer[[]quota.Row]  // how the accounts stand; nil while another daemon leads
	reads   singleflight.Group           // of specs from the store, by job
}

// newPart builds a part; main is nil for part 0.
func (n *Node) newPart(index int, main *lead.Elector) *part {
	p := &part{n: n, index: index, store: n.o.Store}
	suffix, log := "", n.log
	if index > 0 {
		p.store = store.Prefixed{Transactor: n.o.Store, Prefix: lead.PartPrefix(index)}
		suffix = fmt.Sprintf(".%d", index)
		log = n.log.With().Int("part", index).Logger()
	}
	p.elector = lead.New(lead.Options{Self: n.self, Store: p.store, Log: log, Patience: n.patience, Lead: p.lead,
		Lease: n.memberLease(), Peers: n.peers, Main: main, Suffix: suffix, Busy: func() bool { return n.leadsOther(index) },
		Leading: func(name string) bool { return n.partLedBy(name, index) }})
	p.elector.Register(n.mux)
	p.jobs = submit.New(submit.Options{Self: n.self.Name, Peer: n.self.Peer, Texts: texts{p}, Store: p.store, Patience: n.patience,
		View: p.elector.View(), Peers: n.peers, Leading: p.host.Load, Log: log, Suffix: suffix, Stats: &n.submitted, Guards: p.guards})
	p.jobs.Register(n.mux)
	return p
}

// guards demands that the cell's layout is the one by which the job came here.
func (p *part) guards(id work.JobID) submit.Guards {
	layout, _ := p.n.view().Layout()
	key := lead.KeyLayout
	if p.index > 0 {
		key = store.Outside(key)
	}
	return submit.Guards{Layout: store.Check{Key: key, Revision: layout.Revision}, Elsewhere: submit.ElsewhereThan(p.index, id)}
}

// lead runs one term.
func (p *part) lead(t *lead.Term) {
	n := p.n
	layout, err := n.layOut(p, t)
	if err != nil {
		return
	}
	members := func() []lead.Member { return mine(n.view().Members(), layout, p.index) }
	orders := relay.New(t.Context(), relay.Options{Direct: n.o.Runner, Dial: n.dialOrders, Part: p.index, Epoch: t.Epoch, Self: n.self,
		Members: members, Text: p.text, Log: n.log}, &n.relayed)
	p.orders.Store(orders)
	defer p.orders.CompareAndSwap(orders, nil)
	defer p.rows.Store(nil)
	h := dispatch.NewHost(dispatch.HostOptions{
		Store: p.store, Patience: n.patience, Runner: orders, Directory: share{n.o.Directory, layout, p.index}, View: n.view(),
		Members: members, Advise: n.advise, Accounts: n.catalogs.accounts, Part: p.index, Parts: layout.Parts, Bounds: n.bounds(), Policy: n.o.Settings.Policy, Log: n.log, Count: n.count, Took: n.took,
		ShowAccounts: func(rows []quota.Row) { p.rows.Store(&rows) },
		Violation:    func(string) { n.metrics.Add("violations", 1) },
	}, t)
	p.host.Store(h)
	go n.reportLoad(t.Context())
	go p.runShares(t, h, layout.Parts)
	h.Run()
	p.host.CompareAndSwap(h, nil)
}

// mine returns the daemons whose advice and calls serve a part: its share of them, or
// all where it has none.
//
// What goes wrong otherwise: calls for advice of one daemon are answered in turn, so
// two leaders that ask through the same one wait for each other; and a part to which
// no daemon belongs never gets advice.
func mine(members []lead.Member, layout lead.Layout, index int) []lead.Member {
	var own []lead.Member
	for _, m := range members {
		if layout.Of(m.Name) == index {
			own = append(own, m)
		}
	}
	if len(own) == 0 {
		return members
	}
	return own
}

// share is the directory of one part's workers.
type share struct {
	runner.Directory
	layout lead.Layout
	index  int
}

// has goes by the name: a life that follows stays with the leader that knows the one before.
func (s share) has(id runner.WorkerID) bool { return s.layout.Of(id.Name()) == s.index }

// List implements runner.Directory.
func (s share) List(ctx context.Context) ([]runner.Worker, store.Revision, error) {
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
func (s share) Watch(ctx context.Context, after store.Revision, wait time.Duration) ([]runner.Change, store.Revision, error) {
	all, rev, err := s.Directory.Watch(ctx, after, wait)
	own := all[:0]
	for _, c := range all {
		if s.has(c.Worker.ID) {
			own = append(own, c)
		}
	}
	return own, rev, err
}

// parts returns the parts that are built: part 0, and the others once the layout is
// known.
func (n *Node) parts() []*part { return *n.built.Load() }

// view is what is known of the cell's daemons.
func (n *Node) view() *lead.View { return n.parts()[0].elector.View() }

// leadsOther reports whether this daemon leads a part other than that one.
func (n *Node) leadsOther(index int) bool {
	for _, p := range n.parts() {
		if p.index != index && p.elector.Leads() {
			return true
		}
	}
	return false
}

// partLedBy reports whether a daemon leads a part other than that one, as far as is known.
func (n *Node) partLedBy(name string, index int) bool {
	for _, p := range n.parts() {
		if leader, known := p.elector.View().Leader(); known && p.index != index && leader.Member.Name == name {
			return true
		}
	}
	return false
}

var errNoLayout = errors.New("cellnode: the cell's layout is not known yet")

// partOf is Of of submit.Parts.
func (n *Node) partOf(id work.JobID) ([]*submit.Service, int, error) {
	layout, known := n.view().Layout()
	parts := n.parts()
	if !known || len(parts) < layout.Parts {
		return nil, 0, errNoLayout
	}
	all := make([]*submit.Service, len(parts))
	for i, p := range parts {
		all[i] = p.jobs
	}
	return all, layout.Of(string(id)), nil
}

// runParts builds and runs the other parts once the layout names them.
func (n *Node) runParts(ctx context.Context) error {
	var layout lead.Layout
	for layout.Parts <= len(n.parts()) {
		changed := n.view().Changed()
		if layout, _ = n.view().Layout(); layout.Parts > len(n.parts()) {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
	n.log.Info().Int("parts", layout.Parts).Msg("the cell is divided")
	built := n.parts()
	for i := len(built); i < layout.Parts; i++ {
		built = append(built, n.newPart(i, built[0].elector))
	}
	n.built.Store(&built)
	var wg sync.WaitGroup
	for _, p := range built[1:] {
		wg.Go(func() {
			if err := p.elector.Run(ctx); err != nil && ctx.Err() == nil {
				n.log.Error().Err(err).Int("part", p.index).Msg("part not followed any more")
			}
		})
	}
	wg.Wait()
	return ctx.Err()
}
