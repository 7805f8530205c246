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

// methodCatalog asks a daemon for its version of the configuration.
const methodCatalog peer.Method = "catalog.newest"

type catalogRequest struct {
	Version int64 `cbor:"1,keyasint"` // that the asking daemon holds
}

type catalogReply struct {
	// Catalog is a newer version than the one asked with; empty if there is none.
	Catalog []byte `cbor:"1,keyasint,omitempty"`
	// Age is how long ago it was known to be the newest, in nanoseconds.
	Age time.Duration `cbor:"2,keyasint"`
}

// Times of learning the configuration from other daemons.
const (
	// doubtAfter is the age from which a version is in doubt at the latest: a watch that
	// hears nothing is answered after catalogWait.
	doubtAfter = catalogWait + catalogGrace
	// watchReserve is the part of the bound on a version that is left for the answer of a
	// watch that has heard nothing.
	watchReserve = 4
	// doubtPeriod is between questions to one daemon drawn at random while this one's
	// version is in doubt: with a third of the daemons turned away as well, the third
	// question has found one that is not in 96 of 100 cases, long before a change must be
	// in force.
	doubtPeriod = 250 * time.Millisecond
	askTimeout  = 200 * time.Millisecond
	// calmPeriods of these are between questions to a neighbour otherwise, so that a watch
	// that hears nothing is noticed in a second.
	calmPeriods = 4
	// neighbours is to how many daemons these questions go by turns: enough that one of
	// them hears the store, and few connections however large the cell is.
	neighbours = 4
	// deafTime is how long a watch may say that nothing has changed though something has:
	// stores that drop their history have been seen to.
	deafTime = time.Second
	// keysLooks is how often, in the time that a key taken away may still work, a
	// daemon hears from the store that nothing has changed.
	keysLooks = 4
)

var (
	errNoCatalog = errors.New("cellnode: no configuration is known here")
	errOlder     = errors.New("cellnode: an older configuration is known here")
)

// standing tells how far this daemon's version of the configuration may be relied on.
func (n *Node) standing() submit.Standing {
	b, age := n.o.Settings.Bounds, n.catalogs.age()
	valid := b.KeysMS.Std()
	return submit.Standing{Age: age, Doubtful: n.catalogs.doubtful(age), Expired: b.StrictKeys && age > valid-min(deafTime, valid/keysLooks)}
}

// followPeers learns the configuration from other daemons: now and then from neighbours,
// and from any while the store says nothing.
//
// Load pattern: the store turns a third of the daemons away for some seconds, and keys are
// replaced meanwhile. What goes wrong without it: these daemons go on with keys that were
// taken away, and refuse callers whose keys are new, though their neighbours know better.
func (n *Node) followPeers(ctx context.Context) error {
	var before bool
	for i := 0; sleep.For(ctx, doubtPeriod) == nil; i++ {
		age := n.catalogs.age()
		doubtful := n.catalogs.doubtful(age)
		if doubtful != before {
			n.showDoubt(doubtful, age)
		}
		before = doubtful
		inDoubt := doubtful || n.patience.TurnedAway()
		if !inDoubt && i%calmPeriods != 0 {
			continue
		}
		others := othersAfter(n.view().Members(), n.o.Settings.Name)
		if !inDoubt {
			others = others[:min(len(others), neighbours)]
		}
		if len(others) > 0 {
			n.askCatalog(ctx, others[rand.IntN(len(others))])
		}
	}
	return ctx.Err()
}

// showDoubt writes a line: the version held has come into doubt, or was confirmed again.
func (n *Node) showDoubt(doubtful bool, age time.Duration) {
	what := "configuration confirmed again"
	if doubtful {
		what = "configuration in doubt"
		n.metrics.Add("configurations_doubted", 1)
	}
	n.log.Info().Int64("version", n.catalogs.question().Version).Int64("age_ms", age.Milliseconds()).
		Bool("store_fails", n.patience.Suspect()).Msg(what)
}

// othersAfter returns the members but one, those that follow it by name first.
func othersAfter(members []lead.Member, name string) []lead.Member {
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

// askCatalog takes what another daemon knows.
func (n *Node) askCatalog(ctx context.Context, m lead.Member) {
	bounded, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := time.Now()
	var r catalogReply
	_, err := n.peers.CallAddr(bounded, m.Peer, methodCatalog, n.catalogs.question(), &r)
	if err != nil {
		n.log.Debug().Err(err).Str("daemon", m.Name).Msg("configuration not learned from a daemon")
		return
	}
	news, err := n.catalogs.learn(m.Name, asked, r)
	if err != nil {
		n.log.Warn().Err(err).Str("daemon", m.Name).Msg("configuration not learned from a daemon")
		return
	}
	if news {
		n.metrics.Add("configurations_learned", 1)
	}
}

// serveCatalog answers another daemon's question.
func (n *Node) serveCatalog(_ context.Context, r catalogRequest) (any, error) {
	return n.catalogs.answer(r)
}

// question is what another daemon is asked.
func (c *catalogs) question() catalogRequest {
	if now := c.now.Load(); now != nil {
		return catalogRequest{Version: now.Version}
	}
	return catalogRequest{}
}

// answer tells another daemon what is known here.
func (c *catalogs) answer(r catalogRequest) (catalogReply, error) {
	// Read first: a version that arrives in between is younger than the age tells.
	reply := catalogReply{Age: c.age()}
	now := c.now.Load()
	switch {
	case now == nil:
		return catalogReply{}, errNoCatalog
	case now.Version < r.Version:
		return catalogReply{}, errOlder // it says nothing of the version asked with
	case now.Version == r.Version:
		return reply, nil
	}
	var err error
	reply.Catalog, err = work.EncodeCatalog(now)
	return reply, err
}

// learn takes another daemon's answer to a question, and reports whether it brought a
// newer version.
func (c *catalogs) learn(daemon string, asked time.Time, r catalogReply) (news bool, err error) {
	if len(r.Catalog) > 0 {
		next, err := work.DecodeCatalog(r.Catalog)
		if err != nil {
			return false, err
		}
		c.take(next, daemon)
		news = true
	}
	// The age counts from when the question was sent: the answer is no fresher.
	c.confirm(asked.Add(-r.Age))
	return news, nil
}
