package cellnode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/quota"
)

// Shares of the accounts' caps, where a cell has several parts. The leader of part 0 owns
// them: it writes them to the store, which the leaders of all parts follow, and these
// tell it what they hold and want. See quota.Shares for what that guarantees.
const (
	prefixShares = "quota/"
	keyShares    = prefixShares + "shares"
	// sharesChain is the chain of the owner's term on which they are written.
	sharesChain = lead.Chains - 1

	// reportPeriod is between reports while work waits for a share; a move takes three
	// of them. calmPeriod is between reports otherwise, which tell the owner what a part
	// obeys.
	reportPeriod = 100 * time.Millisecond
	calmPeriod   = time.Second
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// sharesPause is kept between watches of the shares.
	sharesPause = 30 * time.Millisecond
)

const methodQuota peer.Method = "quota.report"

var errNotOwner = errors.New("cellnode: this daemon does not own the shares")

// owner owns the shares for one term of part 0.
type owner struct {
	n    *Node
	term *lead.Term

	mu       sync.Mutex
	now      quota.Shares // 0 for its version: not read yet
	balancer quota.Balancer
	writing  bool
}

// decodeShares reads the shares from what a listing holds.
func decodeShares(entries []store.Entry) (quota.Shares, error) {
	for _, e := range entries {
		if e.Key != keyShares {
			continue
		}
		var shares quota.Shares
		if err := peer.Unmarshal(e.Value, &shares); err != nil {
			return quota.Shares{}, fmt.Errorf("cellnode: %s: %w", keyShares, err)
		}
		return shares, nil
	}
	return quota.Shares{Version: quota.FirstVersion}, nil
}

// listShares reads the shares from the store.
func (n *Node) listShares(ctx context.Context) (quota.Shares, store.Revision, error) {
	entries, rev, err := n.o.Store.List(ctx, prefixShares)
	if err != nil {
		return quota.Shares{}, 0, err
	}
	shares, err := decodeShares(entries)
	return shares, rev, err
}

// read reads the shares as the last owner left them.
func (o *owner) read(ctx context.Context) {
	for {
		err := o.n.patience.Call(ctx, func(ctx context.Context) error {
			shares, _, err := o.n.listShares(ctx)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.now = shares
			return err
		})
		if err == nil || ctx.Err() != nil {
			return
		}
		o.n.log.Warn().Err(err).Msg("shares of the accounts' caps not read yet")
		if sleep.For(ctx, catalogPause) != nil {
			return
		}
	}
}

// take takes a part's report, and writes the next version if shares are to move.
func (o *owner) take(r quota.Report) quota.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	answer := o.balancer.Take(r)
	if o.now.Version == 0 || o.writing {
		return answer
	}
	if next, changed := o.balancer.Plan(o.now); changed {
		o.writing = true
		go o.write(next)
	}
	return answer
}

// write writes a version. Until it is known to be in the store no other one is planned;
// one whose outcome stays open ends with the term.
func (o *owner) write(next quota.Shares) {
	value, err := peer.Marshal(next)
	if err == nil {
		err = o.term.Commit(o.term.Context(), sharesChain, []store.Write{{Key: keyShares, Value: value}}, nil)
	}
	if err != nil {
		o.n.log.Warn().Err(err).Msg("shares of the accounts' caps not written")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now, o.writing = next, false
	o.n.metrics.Add("shares_moved", 1)
	o.n.log.Debug().Uint64("version", next.Version).Int("accounts", len(next.Moved)).Msg("shares of the accounts' caps moved")
}

// serveQuota takes a part's report for the owner.
func (n *Node) serveQuota(_ context.Context, r quota.Report) (any, error) {
	if o := n.owner.Load(); o != nil {
		return o.take(r), nil
	}
	return nil, errNotOwner
}

// runShares takes part in sharing the accounts' caps for the time of a term.
func (p *part) runShares(t *lead.Term, h *dispatch.Host, parts int) {
	ctx, n := t.Context(), p.n
	if parts <= 1 {
		return
	}
	if p.index == 0 {
		o := &owner{n: n, term: t, balancer: quota.Balancer{Parts: parts}}
		o.read(ctx)
		n.owner.Store(o)
		context.AfterFunc(ctx, func() { n.owner.CompareAndSwap(o, nil) })
	}
	go p.followShares(ctx, h)
	var asked []string
	for {
		report, err := h.QuotaReport(ctx, asked)
		if err != nil {
			return // the term is over
		}
		if answer, err := n.tellOwner(ctx, report); err != nil {
			n.log.Debug().Err(err).Int("part", p.index).Msg("owner of the shares not told")
		} else {
			asked = answer.Asked
		}
		period := calmPeriod
		if len(asked) > 0 || len(report.Uses) > 0 {
			period = reportPeriod
		}
		if sleep.For(ctx, period) != nil {
			return
		}
	}
}

// tellOwner brings a report to the leader of part 0.
func (n *Node) tellOwner(ctx context.Context, r quota.Report) (answer quota.Answer, err error) {
	if o := n.owner.Load(); o != nil {
		return o.take(r), nil
	}
	leader, known := n.view().Leader()
	if !known || leader.Member.Name == n.self.Name {
		return answer, errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err = n.peers.CallAddr(ctx, leader.Member.Peer, methodQuota, r, &answer)
	return answer, err
}

// followShares tells the host each version of the shares.
func (p *part) followShares(ctx context.Context, h *dispatch.Host) {
	n := p.n
	t := store.Tracker{What: "the shares of the accounts' caps", ReadLimit: catalogWait + catalogGrace, Wait: catalogWait, Grace: catalogGrace,
		Pause: sharesPause, ErrorPause: catalogPause, Log: n.log, Patience: n.patience,
		Read: func(ctx context.Context) (store.Revision, error) {
			shares, rev, err := n.listShares(ctx)
			if err == nil {
				h.SetShares(shares)
			}
			return rev, err
		},
		Watch: func(ctx context.Context, after store.Revision, wait time.Duration) (store.Revision, error) {
			events, rev, err := n.o.Store.Watch(ctx, prefixShares, after, wait)
			if err != nil {
				return after, err
			}
			for _, e := range events {
				shares, err := decodeShares([]store.Entry{e.Entry})
				if err != nil {
					return rev, err
				}
				h.SetShares(shares)
			}
			return rev, nil
		}}
	t.Run(ctx)
}
