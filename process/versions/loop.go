package versions

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/version/history"
)

const (
	firstFetchRetry = 50 * time.Millisecond
	lastFetchRetry  = 2 * time.Second
	// unarmed is the time of a timer that nothing has set yet. Should it run
	// out, the loop looks once more whether there is something to fetch.
	unarmed = time.Hour
	// turnPerMember spreads the reads of the store after a change of the head:
	// each daemon waits a random time up to this times the fleet's size. What
	// goes wrong without it: all watches end at once and the whole fleet reads
	// the same chunk, a load on the store that grows with the fleet, while a
	// peer would have brought the version moments later.
	turnPerMember = time.Millisecond
)

// loop is the control state of a Keeper; one goroutine runs it. At most one
// fetch runs at a time.
type loop struct {
	keeper   *Keeper
	ctx      context.Context
	running  *sync.WaitGroup
	head     *history.Head // the latest that the store showed
	fetching bool
	next     *history.Snapshot // of the running fetch, valid when it ended well
	fetched  chan error
	retry    *time.Timer
	waiting  bool // the retry timer runs
	// turn fires when this daemon may read from the store; held until then.
	turn *time.Timer
	held bool
}

func (l *loop) run() error {
	pause := sleep.NewBackoff(firstFetchRetry, lastFetchRetry)
	l.retry = time.NewTimer(unarmed)
	defer l.retry.Stop()
	l.turn = time.NewTimer(unarmed)
	defer l.turn.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case head := <-l.keeper.heads:
			l.sawHead(head)
		case s := <-l.keeper.offers:
			l.take(s)
		case <-l.keeper.heard:
			l.heardPeers()
		case <-l.retry.C:
			l.waiting = false
		case <-l.turn.C:
			l.held = false
		case err := <-l.fetched:
			l.ended(err, pause)
		}
		l.start()
	}
}

// sawHead notes a head from the store.
func (l *loop) sawHead(head *history.Head) {
	l.keeper.storeNow.Store(head.Version)
	l.head = head
	if head.Version == 0 {
		l.keeper.setLoaded()
	}
	// A daemon that knows nothing does not wait, and a wait is not prolonged
	// when the head changes again.
	if l.keeper.isLoaded() && !l.held {
		l.held = true
		l.turn.Reset(l.keeper.upTo(turnPerMember * time.Duration(len(l.keeper.options.Fleet.Members()))))
	}
	l.hurry()
}

// heardPeers acts on what a peer told: it may have a later version, or know
// that there is none yet.
func (l *loop) heardPeers() {
	if l.keeper.sighted.anyLoaded() && l.keeper.sighted.highest() == 0 {
		l.keeper.setLoaded()
	}
	l.hurry()
}

// hurry ends a pause after failures: something new was heard.
func (l *loop) hurry() {
	if l.waiting && l.retry.Stop() {
		l.waiting = false
	}
}

// start fetches if there is something to fetch.
func (l *loop) start() {
	if l.fetching || l.waiting {
		return
	}
	have := l.keeper.current.Load()
	sources := l.sources(have.Version)
	if len(sources) == 0 {
		return
	}
	l.fetching = true
	l.running.Go(func() {
		next, err := l.keeper.fetch(l.ctx, have, sources)
		l.next = next
		l.fetched <- err
	})
}

// sources returns where a later version than have is to be had. Peers come
// first: the store's rates grow more slowly than the fleet.
func (l *loop) sources(have uint64) []source {
	var sources []source
	best := l.keeper.sighted.later(have, maxPeerSources)
	for _, s := range best {
		sources = append(sources, peerSource{keeper: l.keeper, from: s.Member})
	}
	if l.held || l.head == nil || l.head.Version <= have {
		return sources
	}
	fromStore := storeSource{keeper: l.keeper, head: l.head}
	if len(best) == 0 || best[0].Version < l.head.Version {
		return append([]source{fromStore}, sources...)
	}
	return append(sources, fromStore)
}

// ended takes the result of a fetch.
func (l *loop) ended(err error, pause *backoff.ExponentialBackOff) {
	l.fetching = false
	if err == nil {
		pause.Reset()
		l.take(l.next)
		return
	}
	l.keeper.metrics.failures.Add(1)
	l.keeper.options.Log.Warn().Err(err).Msg("later version can not be fetched yet")
	l.waiting = true
	l.retry.Reset(pause.NextBackOff())
}

// take puts a snapshot into force unless a later one came in another way.
func (l *loop) take(s *history.Snapshot) {
	if s.Version > l.keeper.current.Load().Version {
		l.keeper.publish(s)
		l.announce()
	}
}

// announce tells a few peers of the version now in force.
func (l *loop) announce() {
	for _, to := range l.keeper.pick(l.keeper.options.Fanout) {
		l.running.Go(func() { l.keeper.exchange(l.ctx, to, true) })
	}
}
