package lead

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

// Times of an elector. They follow from the workers' lease: a successor has to
// renew it before it lapses, so that nothing that runs is lost with a leader.
const (
	// DefaultLease is the time to live of a member's lease in the store.
	DefaultLease = 1100 * time.Millisecond
	// renewals of the lease in its time to live.
	renewals = 4
	// watchWait bounds one watch, so that a silent connection is noticed.
	watchWait = 2 * time.Second
	// watchGrace is how long after its wait a watch may be answered.
	watchGrace = 700 * time.Millisecond
	// claimJitter spreads the claims of the daemons that see a vacancy.
	claimJitter = 30 * time.Millisecond
	// deferDelay is how much longer a daemon leaves a vacancy when another
	// member fits better: that one sees it in one round trip to the store.
	deferDelay = 200 * time.Millisecond
	// outageHold is how long after store trouble a vacancy is left to the
	// leader before: leases may have lapsed in the outage while all lived.
	outageHold = 1200 * time.Millisecond
	// outageMemory is how long store trouble counts as recent.
	outageMemory = 2 * time.Second
	errorPause   = 100 * time.Millisecond
)

// Options of an Elector.
type Options struct {
	Self  Member
	Store store.Transactor
	Lease time.Duration // of membership; 0 for DefaultLease
	Log   zerolog.Logger
	// Lead runs one term. It returns when the term's context ends.
	Lead func(t *Term)
	// Patience bounds the calls of the store; shared with other users of it.
	Patience *store.Patience
	// Main, if set, is this daemon's elector for part 0: it keeps the daemon registered
	// and lists the members, and this one claims another part.
	Main *Elector
	// Busy reports whether the daemon leads another part; may be nil.
	Busy func() bool
	// Leading reports whether a daemon leads any other part; may be nil.
	Leading func(name string) bool
	// Suffix tells the methods of a part from those of others.
	Suffix string
	// Peers calls other daemons; nil: a leader that is gone is replaced when its
	// lease has run out.
	Peers Caller
}

// Elector keeps a daemon registered and lets it lead when nobody does.
type Elector struct {
	o    Options
	view *View

	lease    atomic.Uint64
	trouble  atomic.Int64 // when the store last failed us, in unix nanoseconds
	stopping atomic.Bool
	claiming atomic.Bool
	pinged   atomic.Int64 // how long other daemons take to answer, decaying, in nanoseconds

	turn chan struct{} // to claim; of the elector for part 0

	mu   sync.Mutex
	term *Term
	done chan struct{} // of the term's Lead
}

// New returns an elector; Run starts it.
func New(o Options) *Elector {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	e := &Elector{o: o, view: newView(o.Log), turn: make(chan struct{}, 1)}
	if o.Main != nil {
		e.view.main = o.Main.view
	}
	return e
}

// leaseID returns the lease that the daemon's records are bound to, 0 for none.
func (e *Elector) leaseID() store.LeaseID {
	if e.o.Main != nil {
		return e.o.Main.leaseID()
	}
	return store.LeaseID(e.lease.Load())
}

// claimTurn returns what the daemon's electors take in turn to claim.
func (e *Elector) claimTurn() chan struct{} {
	if e.o.Main != nil {
		return e.o.Main.claimTurn()
	}
	return e.turn
}

// giveUpLease lets the lease run out, with every record bound to it.
func (e *Elector) giveUpLease() {
	if e.o.Main != nil {
		e.o.Main.giveUpLease()
		return
	}
	e.lease.Store(0)
}

func (e *Elector) busy() bool { return e.o.Busy != nil && e.o.Busy() }

// Leads reports whether this daemon leads, or is about to.
func (e *Elector) Leads() bool { return e.current() != nil || e.claiming.Load() }

// View returns the live view of the cell.
func (e *Elector) View() *View { return e.view }

// Run registers, watches and claims until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if e.o.Main == nil {
		wg.Go(func() { e.keepRegistered(ctx) })
	} else {
		wg.Go(func() { e.keepRecord(ctx) })
	}
	wg.Go(func() { e.follow(ctx) })
	wg.Go(func() { e.claimVacancies(ctx) })
	if e.o.Peers != nil {
		wg.Go(func() { e.watchLeader(ctx) })
		wg.Go(func() { e.learn(ctx) })
	}
	wg.Wait()
	e.mu.Lock()
	term, done := e.term, e.done
	e.mu.Unlock()
	if term != nil {
		term.End(context.Canceled)
		<-done
	}
	return ctx.Err()
}

// Resign gives leadership up for a planned stop; the daemon does not claim it
// again.
func (e *Elector) Resign(ctx context.Context) {
	e.stopping.Store(true)
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	if term != nil {
		if err := term.release(ctx); err != nil {
			e.o.Log.Warn().Err(err).Msg("leadership not released, it lapses")
		}
	}
	if id := store.LeaseID(e.lease.Load()); id != 0 && e.o.Main == nil {
		if err := e.o.Store.RevokeLease(ctx, id); err != nil {
			e.o.Log.Warn().Err(err).Msg("membership not ended, it lapses")
		}
	}
}

// noteTrouble remembers that the store failed a call.
func (e *Elector) noteTrouble(what string, err error) {
	before := e.trouble.Swap(time.Now().UnixNano())
	if time.Since(time.Unix(0, before)) > outageMemory {
		e.o.Log.Warn().Err(err).Str("call", what).Msg("store lost")
	}
}

// StoreTrouble reports whether the store failed a call within d.
func (e *Elector) StoreTrouble(d time.Duration) bool {
	return time.Since(time.Unix(0, e.trouble.Load())) < d
}

// call bounds one call of the store and notes how it went.
func (e *Elector) call(ctx context.Context, what string, f func(ctx context.Context) error) error {
	err := e.o.Patience.Call(ctx, f)
	if ctx.Err() == nil && e.o.Patience.Suspect() {
		e.noteTrouble(what, err)
	}
	return err
}

// keepRegistered holds the member's lease and its record.
func (e *Elector) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil && !e.stopping.Load() {
		if err := e.renew(ctx); err != nil && ctx.Err() == nil {
			e.o.Log.Debug().Err(err).Msg("membership not renewed")
			_ = sleep.For(ctx, errorPause) // ends with the context, which the loop sees
			continue
		}
		_ = sleep.For(ctx, e.o.Lease/renewals)
	}
}

func (e *Elector) renew(ctx context.Context) error {
	id := store.LeaseID(e.lease.Load())
	if id == 0 {
		return e.register(ctx)
	}
	err := e.call(ctx, "renew", func(ctx context.Context) error { return e.o.Store.RenewLease(ctx, id) })
	if errors.Is(err, store.ErrLeaseLost) {
		e.o.Log.Warn().Msg("membership lapsed, registering again")
		e.lease.Store(0)
		return e.register(ctx)
	}
	if err != nil {
		return err
	}
	return e.checkRecords(ctx, id)
}

// keepRecord puts the leader's record of a part back that was taken away with the
// daemon's lease.
func (e *Elector) keepRecord(ctx context.Context) {
	for sleep.For(ctx, e.o.Lease/renewals) == nil {
		_, _, led := e.view.holder()
		if term, id := e.current(), e.leaseID(); term != nil && !led && id != 0 && !e.stopping.Load() {
			if err := e.reassert(ctx, term, id); err != nil {
				e.o.Log.Debug().Err(err).Msg("leader's record not put back")
			}
		}
	}
}

// checkRecords puts records back that were taken away while the lease lives.
func (e *Elector) checkRecords(ctx context.Context, id store.LeaseID) error {
	e.view.mu.Lock()
	_, listed := e.view.members[e.o.Self.Name]
	led := e.view.leader != nil
	e.view.mu.Unlock()
	if !listed {
		if err := e.writeMember(ctx, id); err != nil {
			return err
		}
	}
	if term := e.current(); term != nil && !led {
		return e.reassert(ctx, term, id)
	}
	return nil
}

func (e *Elector) current() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil || e.term.ctx.Err() != nil {
		return nil
	}
	return e.term
}

func (e *Elector) register(ctx context.Context) error {
	var id store.LeaseID
	err := e.call(ctx, "grant", func(ctx context.Context) error {
		var err error
		id, err = e.o.Store.GrantLease(ctx, e.o.Lease)
		return err
	})
	if err != nil {
		return err
	}
	e.lease.Store(uint64(id))
	if err := e.writeMember(ctx, id); err != nil {
		return err
	}
	if term := e.current(); term != nil {
		return e.reassert(ctx, term, id)
	}
	return nil
}

func (e *Elector) reassert(ctx context.Context, term *Term, id store.LeaseID) error {
	bounded, cancel := context.WithTimeout(ctx, e.o.Lease)
	defer cancel()
	err := term.reassert(bounded, id)
	if errors.Is(err, errHeld) {
		return nil
	}
	e.o.Log.Info().Err(err).Uint64("epoch", term.Epoch).Msg("leader's record put back")
	return err
}

func (e *Elector) writeMember(ctx context.Context, id store.LeaseID) error {
	txn := store.Txn{Writes: []store.Write{{Key: prefixMember + e.o.Self.Name, Value: encode(e.o.Self), Lease: id}}}
	return e.call(ctx, "register", func(ctx context.Context) error {
		_, err := e.o.Store.Commit(ctx, txn)
		return err
	})
}

// follow keeps the view up to date.
func (e *Elector) follow(ctx context.Context) {
	t := store.Tracker{What: "the cell", Read: e.readCell, Watch: e.watchCell, ReadLimit: watchWait + watchGrace,
		Wait: watchWait, Grace: watchGrace, ErrorPause: errorPause, Log: e.o.Log, Patience: e.o.Patience}
	t.Run(ctx)
}

func (e *Elector) readCell(ctx context.Context) (rev store.Revision, err error) {
	err = e.call(ctx, "list", func(ctx context.Context) error {
		entries, listed, err := e.o.Store.List(ctx, prefixCell)
		if err == nil {
			e.view.replace(entries)
			rev = listed
		}
		return err
	})
	return rev, err
}

func (e *Elector) watchCell(ctx context.Context, after store.Revision, wait time.Duration) (store.Revision, error) {
	events, next, err := e.o.Store.Watch(ctx, prefixCell, after, wait)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			e.noteTrouble("watch", err)
		}
		return 0, err
	}
	e.view.apply(events)
	return next, nil
}

// claimVacancies claims leadership whenever the view shows no leader.
func (e *Elector) claimVacancies(ctx context.Context) {
	var y yielder
	for ctx.Err() == nil {
		changed := e.view.Changed()
		e.yield(ctx, &y)
		if t := e.current(); t != nil && e.view.Epoch() > t.Epoch {
			t.End(ErrDeposed)
		}
		if _, vacant := e.view.vacant(e.o.Self); vacant && !e.stopping.Load() && e.current() == nil && e.leaseID() != 0 {
			e.claimSoon(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(e.o.Lease / renewals):
		}
	}
}

func (e *Elector) claimSoon(ctx context.Context) {
	delay := rand.N(claimJitter)
	if e.StoreTrouble(outageMemory) && e.view.Epoch() > 0 && e.leaderLives(ctx) {
		delay += outageHold
	}
	if sleep.For(ctx, delay) != nil {
		return
	}
	// Asked after the delay: daemons that start together hear of each other
	// during it.
	if e.view.betterFits(e.o.Self) && sleep.For(ctx, deferDelay) != nil {
		return
	}
	busy := e.busy()
	if busy && !e.leaveToOthers(ctx) {
		return
	}
	held, vacant := e.view.vacant(e.o.Self)
	if !vacant || e.stopping.Load() {
		return
	}
	e.take(ctx, held, !busy)
}
