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

// Times of an elector. They follow from the workers' lease: a successor has to renew it
// before it expires, so that no running task is lost with a leader.
const (
	// DefaultLease is the TTL of a member's lease in the store.
	DefaultLease = 1100 * time.Millisecond
	// renewals is how many times the lease is renewed within its TTL.
	renewals = 4
	// watchWait bounds one watch, so that an unresponsive connection is detected.
	watchWait = 2 * time.Second
	// watchGrace is how long after watchWait the response of a watch may arrive.
	watchGrace = 700 * time.Millisecond
	// claimJitter spreads the claims of the daemons that see a vacancy.
	claimJitter = 30 * time.Millisecond
	// deferDelay is the additional delay before a claim when another member is a
	// better candidate: that one sees the vacancy within one round trip to the store.
	deferDelay = 200 * time.Millisecond
	// outageDelay is how long after store failures a vacancy is left to the previous
	// leader: leases may have expired in the outage while all daemons were running.
	outageDelay = 1200 * time.Millisecond
	// outageWindow is how long a store failure counts as recent.
	outageWindow = 2 * time.Second
	errorPause   = 100 * time.Millisecond
)

// Options of an Elector.
type Options struct {
	Self  Member
	Store store.Transactor
	Lease time.Duration // TTL of the membership lease; 0 for DefaultLease
	Log   zerolog.Logger
	// RunTerm runs one term. It returns when the term's context ends.
	RunTerm func(t *Term)
	// StoreTimeout bounds store calls adaptively; it is shared with other users of the store.
	StoreTimeout *store.AdaptiveTimeout
	// Primary, if set, is this daemon's elector for shard 0, which keeps the daemon registered
	// and lists the members; this elector then claims another shard.
	Primary *Elector
	// LeadsAnother reports whether this daemon leads another shard; may be nil.
	LeadsAnother func() bool
	// LeadsElsewhere reports whether the named daemon leads any other shard; may be nil.
	LeadsElsewhere func(name string) bool
	// Suffix distinguishes the peer methods of this shard from those of others.
	Suffix string
	// Peers calls other daemons. If nil, a failed leader is replaced only after its lease
	// has expired.
	Peers Caller
}

// Elector keeps a daemon registered as a member and claims leadership when there is no
// leader.
type Elector struct {
	o    Options
	view *View

	lease            atomic.Uint64
	lastStoreFailure atomic.Int64 // time of the latest store failure, in Unix nanoseconds
	stopping         atomic.Bool
	claiming         atomic.Bool
	pingAverage      atomic.Int64 // decaying average of ping round trips, in nanoseconds

	sem chan struct{} // held while claiming; that of the elector for shard 0 is used

	mu   sync.Mutex
	term *Term
	done chan struct{} // closed when Options.RunTerm of the term has returned
}

// New returns an elector; Run starts it.
func New(o Options) *Elector {
	if o.Lease == 0 {
		o.Lease = DefaultLease
	}
	e := &Elector{o: o, view: newView(o.Log), sem: make(chan struct{}, 1)}
	if o.Primary != nil {
		e.view.primary = o.Primary.view
	}
	return e
}

// leaseID returns the lease that the daemon's records are attached to, 0 for none.
func (e *Elector) leaseID() store.LeaseID {
	if e.o.Primary != nil {
		return e.o.Primary.leaseID()
	}
	return store.LeaseID(e.lease.Load())
}

// claimSem returns the semaphore that is held while one of the daemon's electors claims.
func (e *Elector) claimSem() chan struct{} {
	if e.o.Primary != nil {
		return e.o.Primary.claimSem()
	}
	return e.sem
}

// dropLease stops renewing the lease, so that it expires with all records attached to it.
func (e *Elector) dropLease() {
	if e.o.Primary != nil {
		e.o.Primary.dropLease()
		return
	}
	e.lease.Store(0)
}

func (e *Elector) leadsAnother() bool { return e.o.LeadsAnother != nil && e.o.LeadsAnother() }

// Leads reports whether this daemon leads, or is about to.
func (e *Elector) Leads() bool { return e.current() != nil || e.claiming.Load() }

// View returns the view of the cell, which is kept up to date.
func (e *Elector) View() *View { return e.view }

// Run keeps the daemon registered, watches the cell and claims vacancies until ctx ends,
// and returns the error of ctx.
func (e *Elector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	if e.o.Primary == nil {
		wg.Go(func() { e.keepRegistered(ctx) })
	} else {
		wg.Go(func() { e.keepLeaderRecord(ctx) })
	}
	wg.Go(func() { e.follow(ctx) })
	wg.Go(func() { e.claimVacancies(ctx) })
	if e.o.Peers != nil {
		wg.Go(func() { e.watchLeader(ctx) })
		wg.Go(func() { e.learnLeader(ctx) })
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

// Resign releases leadership and membership for a planned stop. The daemon does not claim
// leadership again.
func (e *Elector) Resign(ctx context.Context) {
	e.stopping.Store(true)
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	if term != nil {
		if err := term.release(ctx); err != nil {
			e.o.Log.Warn().Err(err).Msg("leadership not released; the record expires with its lease")
		}
	}
	if id := store.LeaseID(e.lease.Load()); id != 0 && e.o.Primary == nil {
		if err := e.writeMember(ctx, id); err != nil {
			e.o.Log.Warn().Err(err).Msg("planned stop not recorded; the leader may take this daemon for one that has lost its membership")
		}
		if err := e.o.Store.RevokeLease(ctx, id); err != nil {
			e.o.Log.Warn().Err(err).Msg("membership lease not revoked; it expires")
		}
	}
}

// recordStoreFailure records that a store call failed.
func (e *Elector) recordStoreFailure(what string, err error) {
	before := e.lastStoreFailure.Swap(time.Now().UnixNano())
	if time.Since(time.Unix(0, before)) > outageWindow {
		e.o.Log.Warn().Err(err).Str("call", what).Msg("store lost")
	}
}

// StoreFailedWithin reports whether the store failed a call within d.
func (e *Elector) StoreFailedWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, e.lastStoreFailure.Load())) < d
}

// call makes one bounded store call and records whether the store looks unresponsive.
func (e *Elector) call(ctx context.Context, what string, f func(ctx context.Context) error) error {
	err := e.o.StoreTimeout.Call(ctx, f)
	if ctx.Err() == nil && e.o.StoreTimeout.Failing() {
		e.recordStoreFailure(what, err)
	}
	return err
}

// keepRegistered maintains the member's lease and record.
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
		e.o.Log.Warn().Msg("membership lease expired; registering again")
		e.lease.Store(0)
		return e.register(ctx)
	}
	if err != nil {
		return err
	}
	return e.checkRecords(ctx, id)
}

// keepLeaderRecord restores the leader record of a shard after it was deleted with the
// daemon's lease.
func (e *Elector) keepLeaderRecord(ctx context.Context) {
	for sleep.For(ctx, e.o.Lease/renewals) == nil {
		_, _, led := e.view.holder()
		if term, id := e.current(), e.leaseID(); term != nil && !led && id != 0 && !e.stopping.Load() {
			if err := e.reassert(ctx, term, id); err != nil {
				e.o.Log.Debug().Err(err).Msg("leader record not restored")
			}
		}
	}
}

// checkRecords restores records that were deleted while the lease is valid.
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
	if errors.Is(err, errRecordExists) {
		return nil
	}
	e.o.Log.Info().Err(err).Uint64("epoch", term.Epoch).Msg("leader record restored")
	return err
}

func (e *Elector) writeMember(ctx context.Context, id store.LeaseID) error {
	self := e.o.Self
	self.Stopping = e.stopping.Load()
	txn := store.Txn{Writes: []store.Write{{Key: prefixMember + self.Name, Value: encode(self), Lease: id}}}
	return e.call(ctx, "register", func(ctx context.Context) error {
		_, err := e.o.Store.Commit(ctx, txn)
		return err
	})
}

// follow keeps the view up to date.
func (e *Elector) follow(ctx context.Context) {
	t := store.Tracker{Name: "the cell", Read: e.readCell, Watch: e.watchCell, ReadLimit: watchWait + watchGrace,
		Wait: watchWait, Grace: watchGrace, ErrorPause: errorPause, Log: e.o.Log, Timeout: e.o.StoreTimeout}
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
			e.recordStoreFailure("watch", err)
		}
		return 0, err
	}
	e.view.apply(events)
	return next, nil
}

// claimVacancies claims leadership whenever the view shows no leader.
func (e *Elector) claimVacancies(ctx context.Context) {
	var y yieldBackoff
	for ctx.Err() == nil {
		changed := e.view.Changed()
		e.yield(ctx, &y)
		if t := e.current(); t != nil && e.view.Epoch() > t.Epoch {
			t.End(ErrDeposed)
		}
		if _, vacant := e.view.vacant(e.o.Self); vacant && !e.stopping.Load() && e.current() == nil && e.leaseID() != 0 {
			e.claimAfterDelay(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(e.o.Lease / renewals):
		}
	}
}

func (e *Elector) claimAfterDelay(ctx context.Context) {
	delay := rand.N(claimJitter)
	if e.StoreFailedWithin(outageWindow) && e.view.Epoch() > 0 && e.leaderStillLeads(ctx) {
		delay += outageDelay
	}
	if sleep.For(ctx, delay) != nil {
		return
	}
	// Checked after the delay, in which daemons that start together see each other's
	// member records.
	if e.view.hasBetterCandidate(e.o.Self) && sleep.For(ctx, deferDelay) != nil {
		return
	}
	busy := e.leadsAnother()
	if busy && !e.deferToOthers(ctx) {
		return
	}
	recordRev, vacant := e.view.vacant(e.o.Self)
	if !vacant || e.stopping.Load() {
		return
	}
	e.claimAndLead(ctx, recordRev, !busy)
}
