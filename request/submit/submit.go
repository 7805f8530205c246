// Package submit serves callers who hand in jobs, ask for their state and
// cancel them, on any daemon of the cell.
//
// Guarantees: a job is acknowledged only once it is in the store, and is one
// job however often it is handed in; an error whose verdict is NotRun is
// returned only when the job is not in the store and no write of this daemon
// can still put it there; a cancellation is acknowledged only once it is in the
// store.
package submit

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/version/work"
)

// Times of a request.
const (
	// submitBudget bounds how long a hand-in is tried: a caller whose hand-in
	// is not answered asks again with the same id, at another daemon.
	submitBudget = 1200 * time.Millisecond
	// handOverTimeout bounds a hand-in through another daemon.
	handOverTimeout = 400 * time.Millisecond
	maxHandOvers    = 2
	// leaderTimeout bounds a call to the leader; the store is asked after it.
	leaderTimeout = 400 * time.Millisecond
	// pushTimeout bounds telling the leader of a new entry.
	pushTimeout = 500 * time.Millisecond
	// pendingAge is how old a count of waiting jobs may be.
	pendingAge = 1500 * time.Millisecond
	// probeTimeout bounds a read that only tells whether the store is there.
	probeTimeout = 300 * time.Millisecond
	// refusalAge is how long a call that was turned away speaks for the next one:
	// the daemon's lease is renewed as often, and shows when the store is back.
	refusalAge = 150 * time.Millisecond
	// writeTimeout bounds one try of a write.
	writeTimeout = 600 * time.Millisecond
	// probeKey does not exist.
	probeKey   = "probe"
	retryPause = 25 * time.Millisecond
	// retryAfter is told to callers whose job was not accepted.
	retryAfter = 400 * time.Millisecond
)

// Codes of errors.
const (
	CodeStore   = "store_unavailable"
	CodeUnknown = "outcome_unknown"
	CodeGivenUp = "given_up"
	CodeLeader  = "no_leader"
	CodeForeign = "other_account"
)

// ErrNoJob is returned for an id under which no job exists.
var ErrNoJob = errors.New("submit: no such job")

// errForeign: the job under the id is another account's.
var errForeign = errors.New("submit: the job under this id belongs to another client account; use a key of that one, or another id")

// foreign refuses a request for a job of another account.
func foreign() error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusForbidden, Code: CodeForeign, Err: errForeign}
}

// Caller calls other daemons.
type Caller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

// Options of a Service.
type Options struct {
	Self     string // the daemon's member name
	Peer     string // its address for calls of other daemons
	Store    store.Transactor
	Patience *store.Patience
	View     *lead.View
	Peers    Caller
	// Leading returns the host of this daemon's term, nil when it does not lead.
	Leading func() *dispatch.Host
	// Guards are checked with each hand-in, beside the job's own keys: nil for none.
	Guards func(id work.JobID) Guards
	// Suffix tells the methods of a part of the cell from those of others.
	Suffix string
	// Stats are counted on; nil for counters of its own.
	Stats *Stats
	// Texts keeps the specs of accepted jobs for the daemons that start their tasks;
	// may be nil.
	Texts Texts
	Log   zerolog.Logger
}

// Guards are what a hand-in demands beside its own keys.
type Guards struct {
	// Layout must not have changed since it was read.
	Layout store.Check
	// Elsewhere are keys under which the job may have been handed in to another part.
	Elsewhere []string
}

// Texts keeps specs in memory.
type Texts interface {
	Keep(id work.JobID, spec string)
	// Carries reports whether this daemon, as the leader, lets others bring specs to
	// the workers.
	Carries() bool
}

// Service is one daemon's end of the jobs' interface.
type Service struct {
	o      Options
	stats  *Stats
	probes singleflight.Group
	// behindUntil: other daemons reach the store, and this one may not; in unix nanoseconds.
	behindUntil atomic.Int64
	// short: the leader wants to hear of jobs without their specs.
	short atomic.Bool

	mu      sync.Mutex
	pending map[string]count
}

type count struct {
	n  int
	at time.Time
}

// New returns a service.
func New(o Options) *Service {
	if o.Stats == nil {
		o.Stats = &Stats{}
	}
	return &Service{o: o, stats: o.Stats, pending: map[string]count{}}
}

// unavailable is a refusal that is certain: nothing was accepted.
func unavailable(code string, err error) error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: code,
		RetryAfterMillis: retryAfter.Milliseconds(), Err: err}
}

// unknown is an error after which the job may have been accepted.
func unknown(err error) error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusGatewayTimeout, Code: CodeUnknown, Err: err}
}

// Submit accepts a job. The error is a *verdict.Error.
func (s *Service) Submit(ctx context.Context, id work.JobID, j *work.Job) error {
	j.Epoch, j.Home, j.Apart = s.o.View.Epoch(), s.o.Peer, j.Spec != ""
	h, err := newHandIn(id, j)
	if err != nil {
		return unavailable(CodeStore, err)
	}
	if s.o.Texts != nil {
		s.o.Texts.Keep(id, j.Spec)
	}
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	err = s.put(ctx, h, func() { s.push(s.offered(h)) })
	if err == nil {
		s.stats.Accepted.Add(1)
		return nil
	}
	s.stats.NotAccepted.Add(1)
	return err
}

// put writes the job here or, when the store turns this daemon away, through
// another daemon. After a failed call others are asked first: they answer in
// milliseconds, while a read of a store that is silent takes probeTimeout.
// written is called once this daemon has written it.
func (s *Service) put(ctx context.Context, h *handIn, written func()) error {
	open := false // a write without an answer may still take effect
	var last error
	othersTook := func() bool {
		took, maybe := s.handOver(ctx, h)
		open = open || maybe
		return took
	}
	for ctx.Err() == nil {
		asked := s.othersFirst()
		if asked && othersTook() {
			return nil
		}
		if last = s.reachable(ctx); last == nil {
			var byOther bool
			switch byOther, last = s.createHedged(ctx, h); {
			case last == nil && byOther:
				return nil
			case last == nil:
				written()
				return nil
			case errors.Is(last, errGivenUp):
				return unavailable(CodeGivenUp, last)
			case errors.Is(last, errForeign):
				return foreign()
			case errors.Is(last, store.ErrUnknownOutcome):
				open = true
			}
		}
		if !asked && othersTook() {
			return nil
		}
		if !open {
			return unavailable(CodeStore, last)
		}
		_ = sleep.For(ctx, retryPause) // ends with the context, which the loop sees
	}
	if !open {
		return unavailable(CodeStore, last)
	}
	return unknown(last)
}

// reachable reads from the store before a write that would otherwise go out
// right after a failure. A read that fails leaves nothing open, so that the
// caller can be told at once, and truly, that its job was not accepted. Those
// that wait share one read.
func (s *Service) reachable(ctx context.Context) error {
	switch {
	case !s.o.Patience.Suspect():
		return nil
	case s.o.Patience.RefusedWithin(refusalAge):
		return errJustRefused
	}
	result := s.probes.DoChan("", func() (any, error) {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		_, _, err := s.get(bounded, probeKey)
		return nil, err
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case r := <-result:
		return r.Err
	}
}

// errJustRefused: the store has turned another call of this daemon away.
var errJustRefused = errors.New("submit: the store has just turned a call away")

// errGivenUp: a cancellation marked the id as one that will never be.
var errGivenUp = errors.New("submit: the id was given up before it was handed in")

// create makes one try to write the job. All tries are alike, and at most one
// takes effect.
func (s *Service) create(ctx context.Context, h *handIn) error {
	id := h.id
	txn := store.Txn{
		Checks: []store.Check{{Key: dispatch.KeyIn(id)}, {Key: dispatch.KeyState(id)}},
		Writes: h.writes(),
	}
	var guards Guards
	if s.o.Guards != nil {
		guards = s.o.Guards(id)
		txn.Checks = append(txn.Checks, guards.Layout)
		for _, key := range guards.Elsewhere {
			txn.Checks = append(txn.Checks, store.Check{Key: key})
		}
	}
	_, err := s.o.Store.Commit(ctx, txn)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	if guards.Layout.Key != "" {
		if layout, _ := conflict.Find(guards.Layout.Key); layout.Revision != guards.Layout.Revision {
			return errLayout
		}
	}
	// Handed in before, be it before the cell was divided: the first stands.
	for _, key := range slices.Concat(guards.Elsewhere, []string{dispatch.KeyIn(id), dispatch.KeyState(id)}) {
		if entry, exists := conflict.Find(key); exists {
			return before(entry, h.account)
		}
	}
	return fmt.Errorf("%w: neither key exists now", store.ErrUnknownOutcome)
}

// before returns what a hand-in of an account is answered whose id has been used, by the
// entry found under it: nil for the same account's job.
func before(found store.Entry, account string) error {
	owner := ""
	if dispatch.IsState(found.Key) {
		p, err := work.DecodeProgress(found.Value)
		switch {
		case err != nil:
			return nil // not readable here, but it stands
		case p.State == work.Refused:
			return errGivenUp
		}
		owner = p.Account
	} else if first, err := work.DecodeJob(found.Value); err == nil {
		owner = first.Account
	}
	if !work.Owns(owner, account) {
		return errForeign
	}
	return nil
}

// errLayout: the cell was divided since this daemon last heard; nothing was written.
var errLayout = fmt.Errorf("%w: the cell's layout has changed", store.ErrUnavailable)

// commit makes one bounded transaction.
func (s *Service) commit(ctx context.Context, t store.Txn) error {
	return s.o.Patience.Call(ctx, func(ctx context.Context) error {
		_, err := s.o.Store.Commit(ctx, t)
		return err
	})
}

// get makes one bounded read; a missing key is no error.
func (s *Service) get(ctx context.Context, key string) (store.Entry, bool, error) {
	var entry store.Entry
	err := s.o.Patience.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = s.o.Store.Get(ctx, key)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return entry, false, nil
	}
	return entry, err == nil, err
}

// offered returns the entry of which the leader is told.
func (s *Service) offered(h *handIn) store.Entry {
	value := h.whole
	if s.short.Load() {
		value = h.stored
	}
	return store.Entry{Key: dispatch.KeyIn(h.id), Value: value}
}

// push tells the leader of a new entry; a watch brings it otherwise.
func (s *Service) push(entry store.Entry) {
	if h := s.o.Leading(); h != nil {
		h.Offer(entry)
		return
	}
	leader, ok := s.otherLeader()
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
		defer cancel()
		var r offered
		if _, err := s.o.Peers.CallAddr(ctx, leader.Peer, s.method(MethodOffer), offer{Key: entry.Key, Value: entry.Value}, &r); err != nil {
			s.o.Log.Debug().Err(err).Str("key", entry.Key).Msg("leader not told, its watch will")
			return
		}
		s.short.Store(r.Short)
	}()
}

// otherLeader returns the daemon that leads, unless it is this one.
func (s *Service) otherLeader() (lead.Member, bool) {
	leader, ok := s.o.View.Leader()
	return leader.Member, ok && leader.Member.Name != s.o.Self
}

// helpers returns the members to hand over to: the leader, which has reached
// the store of late, and others by chance.
func (s *Service) helpers() []lead.Member {
	members := slices.DeleteFunc(s.o.View.Members(), func(m lead.Member) bool { return m.Name == s.o.Self })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	if leader, ok := s.otherLeader(); ok {
		if i := slices.IndexFunc(members, func(m lead.Member) bool { return m.Name == leader.Name }); i > 0 {
			members[0], members[i] = members[i], members[0]
		}
	}
	return members[:min(len(members), maxHandOvers)]
}

// askLeader asks the leader: this daemon's own host, or another daemon.
func (s *Service) askLeader(ctx context.Context, own func(context.Context, *dispatch.Host) error, method peer.Method, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if h := s.o.Leading(); h != nil {
		return own(ctx, h)
	}
	leader, ok := s.otherLeader()
	if !ok {
		return errNoLeader
	}
	_, err := s.o.Peers.CallAddr(ctx, leader.Peer, method, req, resp)
	return err
}

// handOver lets other daemons write a job. maybe tells that one may have done
// so without an answer.
func (s *Service) handOver(ctx context.Context, h *handIn) (took, maybe bool) {
	took = s.askHelpers(ctx, s.method(MethodHandOver), offer{Key: string(h.id), Value: h.whole}, func(r handedOver, err error) {
		maybe = maybe || r.Maybe || (err != nil && !peer.NotRun(err))
	})
	if !took {
		return false, maybe
	}
	s.stats.HandedOver.Add(1)
	return true, false
}

// askHelpers asks other daemons in turn until one has accepted; each that has
// not is told to the caller.
func (s *Service) askHelpers(ctx context.Context, method peer.Method, req any, refused func(r handedOver, err error)) bool {
	for _, m := range s.helpers() {
		if ctx.Err() != nil {
			break
		}
		bounded, cancel := context.WithTimeout(ctx, handOverTimeout)
		var r handedOver
		_, err := s.o.Peers.CallAddr(bounded, m.Peer, method, req, &r)
		cancel()
		if err == nil && r.Accepted {
			return true
		}
		refused(r, err)
	}
	return false
}

// State returns what callers of an account are shown of a job. The error is ErrNoJob,
// when the store has nothing under the id, or a *verdict.Error.
func (s *Service) State(ctx context.Context, id work.JobID, account string) (work.State, error) {
	var r stateReply
	err := s.askLeader(ctx, func(ctx context.Context, h *dispatch.Host) error {
		shown, known, err := h.State(ctx, id)
		r = stateReply{State: shown.State, Known: known, Account: shown.Account}
		return err
	}, s.method(MethodState), stateRequest{ID: id}, &r)
	shown := dispatch.Shown{State: r.State, Account: r.Account}
	if err != nil || !r.Known {
		if shown, err = s.stored(ctx, id); err != nil {
			return 0, err
		}
	}
	if !work.Owns(shown.Account, account) {
		return 0, foreign()
	}
	return shown.State, nil
}

var errNoLeader = errors.New("submit: no leader is known")

// stored reads a job's state from the store. The hand-in is read first: it is
// removed in the same transaction that writes the final state under the job's
// own key.
func (s *Service) stored(ctx context.Context, id work.JobID) (dispatch.Shown, error) {
	in, accepted, err := s.get(ctx, dispatch.KeyIn(id))
	if err != nil {
		return dispatch.Shown{}, unavailable(CodeStore, err)
	}
	p, err := s.progress(ctx, id)
	if err != nil {
		return dispatch.Shown{}, unavailable(CodeStore, err)
	}
	if accepted && (p == nil || !p.State.Final()) {
		if p, err = s.bundled(ctx, id, p); err != nil {
			return dispatch.Shown{}, unavailable(CodeStore, err)
		}
	}
	var shown dispatch.Shown
	if accepted {
		job, err := work.DecodeJob(in.Value)
		if err != nil {
			return dispatch.Shown{}, unavailable(CodeStore, err)
		}
		shown.Account = job.Account
	}
	switch {
	case p == nil && accepted:
		return shown, nil
	case p == nil, p.State == work.Refused:
		return dispatch.Shown{}, ErrNoJob
	case !accepted:
		shown.Account = p.Account
	}
	shown.State = p.State
	return shown, nil
}

// progress reads what is under a job's own key, nil for nothing.
func (s *Service) progress(ctx context.Context, id work.JobID) (*work.Progress, error) {
	entry, found, err := s.get(ctx, dispatch.KeyState(id))
	if err != nil || !found {
		return nil, err
	}
	return work.DecodeProgress(entry.Value)
}

// bundled looks for a job's end in bundles; without one, own stands.
//
// What goes wrong without it: a job that ended while the store was slow is shown
// as completed, and, when its leader is lost before it is moved to its own key,
// as running again.
func (s *Service) bundled(ctx context.Context, id work.JobID, own *work.Progress) (*work.Progress, error) {
	var entries []store.Entry
	err := s.o.Patience.Call(ctx, func(ctx context.Context) (err error) {
		entries, _, err = s.o.Store.List(ctx, dispatch.PrefixBundle)
		return err
	})
	if err != nil {
		return nil, err
	}
	if p, found := dispatch.NewestProgress(entries, id); found && p.State.Final() {
		return p, nil
	}
	return own, nil
}

// Pending returns the number of a queue's jobs that have not begun; it may be
// pendingAge old.
func (s *Service) Pending(ctx context.Context, queue string) (int, error) {
	var r pendingReply
	err := s.askLeader(ctx, func(ctx context.Context, h *dispatch.Host) (err error) {
		r.N, err = h.Pending(ctx, queue)
		return err
	}, s.method(MethodPending), pendingRequest{Queue: queue}, &r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.pending[queue] = count{r.N, time.Now()}
		return r.N, nil
	}
	if c, ok := s.pending[queue]; ok && time.Since(c.at) < pendingAge {
		return c.n, nil
	}
	return 0, unavailable(CodeLeader, err)
}
