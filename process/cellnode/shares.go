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

// Shares of the accounts' caps, where a cell has several shards. The leader of shard 0 owns
// them: it writes them to the store, where the leaders of all shards watch them, and these
// report to it their usage and demand. See quota.Shares for the guarantees.
const (
	prefixShares = "quota/"
	keyShares    = prefixShares + "shares"
	// sharesStream is the write stream of the owner's term on which they are written.
	sharesStream = lead.WriteStreams - 1

	// reportPeriod is the interval of reports while work waits for a share; moving a share
	// takes three of them. idleReportPeriod is the interval otherwise; these reports inform
	// the owner of the version of the shares that a shard applies.
	reportPeriod     = 100 * time.Millisecond
	idleReportPeriod = time.Second
	// reportTimeout bounds one report.
	reportTimeout = 400 * time.Millisecond
	// sharesPause is the pause between watches of the shares.
	sharesPause = 30 * time.Millisecond
)

const methodQuota peer.Method = "quota.report"

var errNotOwner = errors.New("cellnode: this daemon does not own the shares")

// quotaOwner owns the shares for one term of shard 0.
type quotaOwner struct {
	n    *Node
	term *lead.Term

	mu       sync.Mutex
	now      quota.Shares // version 0: not read yet
	balancer quota.Balancer
	writing  bool
}

// decodeShares decodes the shares from a listing of the store.
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

// read reads the shares that the previous owner wrote, retrying until ctx ends.
func (o *quotaOwner) read(ctx context.Context) {
	for {
		err := o.n.storeTimeout.Call(ctx, func(ctx context.Context) error {
			shares, _, err := o.n.listShares(ctx)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.now = shares
			return err
		})
		if err == nil || ctx.Err() != nil {
			return
		}
		o.n.log.Warn().Err(err).Msg("reading the shares of the accounts' caps failed; retrying")
		if sleep.For(ctx, catalogPause) != nil {
			return
		}
	}
}

// handleReport handles a shard's report, and writes the next version if shares are to move.
func (o *quotaOwner) handleReport(r quota.Report) quota.Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := o.balancer.AddReport(r)
	if o.now.Version == 0 || o.writing {
		return reply
	}
	if next, changed := o.balancer.Plan(o.now); changed {
		o.writing = true
		go o.write(next)
	}
	return reply
}

// write writes a version. No other one is planned until it is confirmed to be in the store;
// if the outcome stays unknown, no more versions are written in this term.
func (o *quotaOwner) write(next quota.Shares) {
	value, err := peer.Marshal(next)
	if err == nil {
		err = o.term.Commit(o.term.Context(), sharesStream, []store.Write{{Key: keyShares, Value: value}}, nil)
	}
	if err != nil {
		o.n.log.Warn().Err(err).Msg("writing the shares of the accounts' caps failed; no further version is written in this term")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.now, o.writing = next, false
	o.n.metrics.Add("shares_moved", 1)
	o.n.log.Debug().Uint64("version", next.Version).Int("accounts", len(next.Overrides)).Msg("shares of the accounts' caps changed")
}

// serveQuota handles a shard's report if this daemon owns the shares.
func (n *Node) serveQuota(_ context.Context, r quota.Report) (any, error) {
	if o := n.quotaOwner.Load(); o != nil {
		return o.handleReport(r), nil
	}
	return nil, errNotOwner
}

// runQuota takes part in sharing the accounts' caps during a term: as the owner in shard 0,
// and by reports and a watch in every shard.
func (s *shard) runQuota(t *lead.Term, h *dispatch.Host, shards int) {
	ctx, n := t.Context(), s.n
	if shards <= 1 {
		return
	}
	if s.index == 0 {
		o := &quotaOwner{n: n, term: t, balancer: quota.Balancer{Shards: shards}}
		o.read(ctx)
		n.quotaOwner.Store(o)
		context.AfterFunc(ctx, func() { n.quotaOwner.CompareAndSwap(o, nil) })
	}
	go s.followShares(ctx, h)
	var asked []string
	for {
		report, err := h.QuotaReport(ctx, asked)
		if err != nil {
			return // the term has ended
		}
		if reply, err := n.reportToOwner(ctx, report); err != nil {
			n.log.Debug().Err(err).Int("part", s.index).Msg("report to the owner of the shares failed")
		} else {
			asked = reply.Accounts
		}
		period := idleReportPeriod
		if len(asked) > 0 || len(report.Usages) > 0 {
			period = reportPeriod
		}
		if sleep.For(ctx, period) != nil {
			return
		}
	}
}

// reportToOwner sends a report to the leader of shard 0.
func (n *Node) reportToOwner(ctx context.Context, r quota.Report) (reply quota.Reply, err error) {
	if o := n.quotaOwner.Load(); o != nil {
		return o.handleReport(r), nil
	}
	leader, known := n.view().Leader()
	if !known || leader.Member.Name == n.self.Name {
		return reply, errNotOwner
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, err = n.peers.CallAddr(ctx, leader.Member.Peer, methodQuota, r, &reply)
	return reply, err
}

// followShares watches the shares in the store and passes each version to the host.
func (s *shard) followShares(ctx context.Context, h *dispatch.Host) {
	n := s.n
	t := store.Tracker{Name: "the shares of the accounts' caps", ReadLimit: catalogWait + catalogGrace, Wait: catalogWait, Grace: catalogGrace,
		Pause: sharesPause, ErrorPause: catalogPause, Log: n.log, Timeout: n.storeTimeout,
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
