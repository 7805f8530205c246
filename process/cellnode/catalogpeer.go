package cellnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/request/submit"
	"fennelshunt.example/fennelshunt/version/work"
)

// methodCatalog asks a daemon for the version of the configuration that it holds.
const methodCatalog peer.Method = "catalog.newest"

type catalogRequest struct {
	Version int64 `cbor:"1,keyasint"` // version held by the requesting daemon
}

type catalogReply struct {
	// Catalog is a version newer than the request's; empty if there is none.
	Catalog []byte `cbor:"1,keyasint,omitempty"`
	// Age is the time, in nanoseconds, since the replying daemon's version was known to be
	// the newest.
	Age time.Duration `cbor:"2,keyasint"`
}

// Timing of configuration pulls from other daemons.
const (
	// unconfirmedAfter is the upper bound on catalogs.maxAge: a watch without changes
	// returns after catalogWait and confirms the version.
	unconfirmedAfter = catalogWait + catalogGrace
	// watchReserve: 1/watchReserve of the bound on a version (config_ms) is left for the
	// answer of a watch without changes to arrive.
	watchReserve = 4
	// pullPeriod is the interval between pulls from a daemon drawn at random while this
	// daemon's version is unconfirmed. If the store rejects a third of the daemons, three
	// pulls reach one that it serves in 96 of 100 cases, long before a change must be in
	// force.
	pullPeriod = 250 * time.Millisecond
	askTimeout = 200 * time.Millisecond
	// idlePullPeriods is the number of pull periods between pulls from a neighbour while the
	// version is confirmed, so that a watch that misses changes is noticed within a second.
	idlePullPeriods = 4
	// neighbours is the number of daemons among which these pulls are spread: enough that
	// the store serves one of them, and few connections however large the cell is.
	neighbours = 4
	// missedChangeTime is how long a watch may report no change although there was one:
	// stores that drop their history have been seen to do so.
	missedChangeTime = time.Second
	// keyConfirmations is how often the store confirms the version within the time for
	// which a revoked key may still be accepted.
	keyConfirmations = 4
)

// Errors sent in reply to methodCatalog.
var (
	errNoCatalog = errors.New("cellnode: no configuration is known here")
	errOlder     = errors.New("cellnode: an older configuration is known here")
)

// configStatus reports how current this daemon's version of the configuration is.
func (n *Node) configStatus() submit.ConfigStatus {
	b, age := n.o.Settings.Bounds, n.catalogs.age()
	valid := b.KeysMS.Std()
	return submit.ConfigStatus{Age: age, Unconfirmed: n.catalogs.unconfirmed(age), Expired: b.StrictKeys && age > valid-min(missedChangeTime, valid/keyConfirmations)}
}

// followPeers pulls the configuration from other daemons: periodically from neighbours, and
// more often, from any daemon, while this daemon's version is unconfirmed or the store
// refuses its calls.
//
// If the store rejects a third of the daemons for some seconds while keys are replaced, those
// daemons would otherwise continue to accept revoked keys and refuse callers with new ones,
// although their neighbours have the newer version.
func (n *Node) followPeers(ctx context.Context) error {
	var before bool
	for i := 0; sleep.For(ctx, pullPeriod) == nil; i++ {
		age := n.catalogs.age()
		unconfirmed := n.catalogs.unconfirmed(age)
		if unconfirmed != before {
			n.logConfirmation(unconfirmed, age)
		}
		before = unconfirmed
		urgent := unconfirmed || n.storeTimeout.Refusing()
		if !urgent && i%idlePullPeriods != 0 {
			continue
		}
		others := membersAfter(n.view().Members(), n.o.Settings.Name)
		if !urgent {
			others = others[:min(len(others), neighbours)]
		}
		if len(others) > 0 {
			n.pullCatalog(ctx, others[rand.IntN(len(others))])
		}
	}
	return ctx.Err()
}

// logConfirmation logs that the version held has become unconfirmed, or was confirmed again.
func (n *Node) logConfirmation(unconfirmed bool, age time.Duration) {
	what := "configuration confirmed again"
	if unconfirmed {
		what = "configuration unconfirmed"
		n.metrics.Add("configurations_doubted", 1)
	}
	n.log.Info().Int64("version", n.catalogs.request().Version).Int64("age_ms", age.Milliseconds()).
		Bool("store_fails", n.storeTimeout.Failing()).Msg(what)
}

// membersAfter returns the members other than name in the order of a ring that starts after
// name: first those with a greater name, then those with a smaller one.
func membersAfter(members []lead.Member, name string) []lead.Member {
	var before, after []lead.Member
	for _, m := range members {
		switch {
		case m.Name > name:
			after = append(after, m)
		case m.Name < name:
			before = append(before, m)
		}
	}
	return append(after, before...)
}

// pullCatalog requests the configuration of another daemon and merges it.
func (n *Node) pullCatalog(ctx context.Context, m lead.Member) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	var r catalogReply
	_, err := n.peers.CallAddr(bounded, m.Peer, methodCatalog, n.catalogs.request(), &r)
	if err != nil {
		n.log.Debug().Err(err).Str("daemon", m.Name).Msg("configuration pull from a daemon failed")
		return
	}
	newer, err := n.catalogs.merge(m.Name, asked, r)
	if err != nil {
		n.log.Warn().Err(err).Str("daemon", m.Name).Msg("configuration pulled from a daemon cannot be decoded; keeping the current version")
		return
	}
	if newer {
		n.metrics.Add("configurations_learned", 1)
	}
}

// serveCatalog handles methodCatalog.
func (n *Node) serveCatalog(_ context.Context, r catalogRequest) (any, error) {
	return n.catalogs.answer(r)
}

// request returns the request to send to another daemon.
func (c *catalogs) request() catalogRequest {
	if now := c.now.Load(); now != nil {
		return catalogRequest{Version: now.Version}
	}
	return catalogRequest{}
}

// answer returns the reply to another daemon's request.
func (c *catalogs) answer(r catalogRequest) (catalogReply, error) {
	// The age is read first: for a version that arrives in between it is too high, never too low.
	reply := catalogReply{Age: c.age()}
	now := c.now.Load()
	switch {
	case now == nil:
		return catalogReply{}, errNoCatalog
	case now.Version < r.Version:
		return catalogReply{}, errOlder // the older version confirms nothing about that of the requesting daemon
	case now.Version == r.Version:
		return reply, nil
	}
	var err error
	reply.Catalog, err = work.EncodeCatalog(now)
	return reply, err
}

// merge applies another daemon's reply to a request that was sent at the time asked, and
// reports whether it brought a newer version.
func (c *catalogs) merge(daemon string, asked time.Time, r catalogReply) (newer bool, err error) {
	if len(r.Catalog) > 0 {
		next, err := work.DecodeCatalog(r.Catalog)
		if err != nil {
			return false, err
		}
		c.install(next, daemon)
		newer = true
	}
	// The age counts from when the request was sent, since the reply may have been built
	// right after that.
	c.confirm(asked.Add(-r.Age))
	return newer, nil
}
