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
	// idleTimer is the duration of a timer that has not been set yet. If it fires,
	// the loop only checks once more whether there is something to fetch.
	idleTimer = time.Hour
	// storeDelayPerMember spreads the reads of the store after a change of the
	// head: each daemon waits a random time up to this times the fleet's size.
	// Since all watches return at once, the whole fleet would otherwise read the
	// same chunks from the store, a load that grows with the fleet, although a
	// peer could deliver the version moments later.
	storeDelayPerMember = time.Millisecond
)

// loop is the control state of a Replicator; one goroutine runs it. At most one
// fetch runs at a time.
type loop struct {
	replicator *Replicator
	ctx        context.Context
	running    *sync.WaitGroup
	head       *history.Head // the latest read from the store
	fetching   bool
	next       *history.Snapshot // result of the fetch, valid if it succeeded
	fetched    chan error
	retry      *time.Timer
	backingOff bool // the retry timer is running
	// storeDelay fires when this daemon may read from the store; storeDelayed is
	// set until then.
	storeDelay   *time.Timer
	storeDelayed bool
}

func (l *loop) run() error {
	pause := sleep.NewBackoff(firstFetchRetry, lastFetchRetry)
	l.retry = time.NewTimer(idleTimer)
	defer l.retry.Stop()
	l.storeDelay = time.NewTimer(idleTimer)
	defer l.storeDelay.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case head := <-l.replicator.heads:
			l.onHead(head)
		case s := <-l.replicator.offers:
			l.install(s)
		case <-l.replicator.wake:
			l.onPeerUpdate()
		case <-l.retry.C:
			l.backingOff = false
		case <-l.storeDelay.C:
			l.storeDelayed = false
		case err := <-l.fetched:
			l.onFetched(err, pause)
		}
		l.start()
	}
}

// onHead handles a head read from the store.
func (l *loop) onHead(head *history.Head) {
	l.replicator.storeVersion.Store(head.Version)
	l.head = head
	if head.Version == 0 {
		l.replicator.setLoaded()
	}
	// A daemon without a configuration does not wait, and a wait is not extended
	// when the head changes again.
	if l.replicator.isLoaded() && !l.storeDelayed {
		l.storeDelayed = true
		l.storeDelay.Reset(l.replicator.upTo(storeDelayPerMember * time.Duration(len(l.replicator.options.Fleet.Members()))))
	}
	l.skipBackoff()
}

// onPeerUpdate handles a message from a peer, which may have a later version, or
// report that no version has been applied yet.
func (l *loop) onPeerUpdate() {
	if l.replicator.observed.anyLoaded() && l.replicator.observed.highest() == 0 {
		l.replicator.setLoaded()
	}
	l.skipBackoff()
}

// skipBackoff ends the pause after a failed fetch, since there is new information.
func (l *loop) skipBackoff() {
	if l.backingOff && l.retry.Stop() {
		l.backingOff = false
	}
}

// start fetches if there is something to fetch.
func (l *loop) start() {
	if l.fetching || l.backingOff {
		return
	}
	have := l.replicator.current.Load()
	sources := l.sources(have.Version)
	if len(sources) == 0 {
		return
	}
	l.fetching = true
	l.running.Go(func() {
		next, err := l.replicator.fetch(l.ctx, have, sources)
		l.next = next
		l.fetched <- err
	})
}

// sources returns the sources of a version later than have, in the order in which
// to try them. Peers that have the store's latest version come before the store,
// whose call budget does not grow with the fleet as the peers' capacity does.
func (l *loop) sources(have uint64) []source {
	var sources []source
	best := l.replicator.observed.later(have, maxPeerSources)
	for _, s := range best {
		sources = append(sources, peerSource{replicator: l.replicator, from: s.Member})
	}
	if l.storeDelayed || l.head == nil || l.head.Version <= have {
		return sources
	}
	fromStore := storeSource{replicator: l.replicator, head: l.head}
	if len(best) == 0 || best[0].Version < l.head.Version {
		return append([]source{fromStore}, sources...)
	}
	return append(sources, fromStore)
}

// onFetched handles the result of a fetch.
func (l *loop) onFetched(err error, pause *backoff.ExponentialBackOff) {
	l.fetching = false
	if err == nil {
		pause.Reset()
		l.install(l.next)
		return
	}
	l.replicator.metrics.failures.Add(1)
	l.replicator.options.Log.Warn().Err(err).Msg("fetching a later configuration failed; retrying after a pause, until then this daemon keeps the one it has")
	l.backingOff = true
	l.retry.Reset(pause.NextBackOff())
}

// install puts a snapshot into force unless a later one already is.
func (l *loop) install(s *history.Snapshot) {
	if s.Version > l.replicator.current.Load().Version {
		l.replicator.publish(s)
		l.announce()
	}
}

// announce sends the number of the version now in force to a few peers.
func (l *loop) announce() {
	for _, to := range l.replicator.pick(l.replicator.options.Fanout) {
		l.running.Go(func() { l.replicator.exchange(l.ctx, to, true) })
	}
}
