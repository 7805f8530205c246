// Package submit lets callers submit jobs, query their state and cancel them, through any daemon
// of the cell.
//
// Guarantees: a job is acknowledged only once it is in the store, and submitting it again under
// the same id yields the same job; an error whose verdict is NotRun is returned only when the
// job is not in the store and no outstanding write of this daemon can still put it there; a
// cancellation is acknowledged only once it is in the store.
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

// Time limits and delays.
const (
	// submitBudget bounds the time spent on one submission. A caller that gets no answer repeats
	// the submission with the same id at another daemon.
	submitBudget = 1200 * time.Millisecond
	// forwardTimeout bounds one attempt to submit through another daemon.
	forwardTimeout = 400 * time.Millisecond
	// maxForwards is the number of daemons that one try to forward calls with the policy
	// no_outage_pacing; otherwise it is outage.MaxTargets.
	maxForwards = 2
	// leaderTimeout bounds a call to the leader; after it the store is read instead.
	leaderTimeout = 400 * time.Millisecond
	// pushTimeout bounds the notification of the leader about a new entry.
	pushTimeout = 500 * time.Millisecond
	// pendingAge is the maximum age of a cached count of waiting jobs.
	pendingAge = 1500 * time.Millisecond
	// probeTimeout bounds the read that tests whether the store answers.
	probeTimeout = 300 * time.Millisecond
	// refusalAge is how long after a refused call further calls are refused without trying the
	// store. Meanwhile the renewal of the daemon's lease is retried every 100 ms, and its success
	// shows that the store is available again.
	refusalAge = 150 * time.Millisecond
	// writeTimeout bounds one attempt of a write.
	writeTimeout = 600 * time.Millisecond
	// probeKey is a key that never exists.
	probeKey = "probe"
	// retryDelay is the pause between two attempts of this daemon for one request, so that an error
	// that is returned at once does not use up all attempts within a millisecond.
	retryDelay = 25 * time.Millisecond
	// retryAfter is the delay returned to callers whose job was not accepted, unless package outage
	// derives one from the age of the outage.
	retryAfter = 400 * time.Millisecond
)

// Error codes.
const (
	CodeStore        = "store_unavailable"
	CodeUnknown      = "outcome_unknown"
	CodeIDCancelled  = "given_up"
	CodeLeader       = "no_leader"
	CodeOtherAccount = "other_account"
)

// ErrNoJob is returned for an id under which no job exists.
var ErrNoJob = errors.New("submit: no such job")

// errOtherAccount means that the job under this id belongs to another account.
var errOtherAccount = errors.New("submit: the job under this id belongs to another client account; " +
	"use a key of that one, or another id")

// refuseOtherAccount refuses a request for a job of another account.
func refuseOtherAccount() error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusForbidden, Code: CodeOtherAccount,
		Err: errOtherAccount}
}

// PeerCaller calls other daemons.
type PeerCaller interface {
	CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error)
}

// Options of a Service.
type Options struct {
	Self         string // member name of this daemon
	Peer         string // address at which other daemons call it
	Store        store.Transactor
	StoreTimeout *store.AdaptiveTimeout
	View         *lead.View
	Peers        PeerCaller
	// Leading returns the host of this daemon's term of leadership, nil when it is not the leader.
	Leading func() *dispatch.Host
	// Preconditions returns the checks of a submission beyond the job's own keys; nil for none.
	Preconditions func(id work.JobID) Preconditions
	// Suffix is appended to the peer methods, to tell the shards of a cell apart.
	Suffix string
	// Stats are the counters to use; nil creates separate ones.
	Stats *Stats
	// Pacer is shared by the services of one daemon; nil creates a separate one.
	Pacer *Pacer
	// Specs caches the specs of accepted jobs for the daemons that start their tasks; may be
	// nil.
	Specs SpecCache
	// NoLoadShedding accepts submissions whatever the load.
	NoLoadShedding bool
	Log            zerolog.Logger
}

// Preconditions are the preconditions of a submission beyond the job's own keys.
type Preconditions struct {
	// Layout fails the submission if the shard layout has changed since it was read.
	Layout store.Check
	// OtherShardKeys lists the keys under which the job may have been submitted to another shard.
	OtherShardKeys []string
}

// SpecCache caches specs in memory.
type SpecCache interface {
	CacheSpec(id work.JobID, spec string)
	// RelaysOrders reports whether this daemon, as the leader, has other daemons deliver the specs to
	// the workers.
	RelaysOrders() bool
}

// Service handles the job requests of one daemon.
type Service struct {
	o      Options
	stats  *Stats
	pacer  *Pacer
	probes singleflight.Group
	// forwardUntil is the time, in Unix nanoseconds, until which submissions are forwarded
	// before this daemon writes them, since another daemon reached the store when this one had
	// no answer. It is read only with the policy no_outage_pacing.
	forwardUntil atomic.Int64
	// omitSpecs is set when the leader wants to be notified of jobs without their specs.
	omitSpecs atomic.Bool
	gate      *gate // nil without admission control

	began   time.Time
	mu      sync.Mutex
	pending map[string]count
	// writing counts the requests that are writing a job, by its id.
	writing map[work.JobID]int
	// attempted are the ids that were accepted, or of which a write may still take effect.
	attempted recentIDs
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
	if o.Pacer == nil {
		o.Pacer = NewPacer(o.StoreTimeout, o.Stats, false, o.Log)
	}
	s := &Service{o: o, stats: o.Stats, pacer: o.Pacer, began: time.Now(), pending: map[string]count{}, writing: map[work.JobID]int{}}
	if !o.NoLoadShedding {
		s.gate = newGate(o.Log)
	}
	return s
}

// unavailable returns an error that guarantees that nothing was accepted.
func unavailable(code string, err error) error {
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, Code: code,
		RetryAfterMillis: retryAfter.Milliseconds(), Err: err}
}

// unknown returns an error after which the job may have been accepted.
func unknown(err error) error {
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusGatewayTimeout, Code: CodeUnknown, Err: err}
}

// Submit accepts a job and sets its Epoch, AcceptedBy, SpecStored and SpecDigest. The error is a
// *verdict.Error.
func (s *Service) Submit(ctx context.Context, id work.JobID, j *work.Job) error {
	if err := s.refuseOverload(ctx, id, j); err != nil {
		return err
	}
	j.Epoch, j.AcceptedBy, j.SpecStored = s.o.View.Epoch(), s.o.Peer, j.Spec != ""
	if j.SpecStored {
		j.SpecDigest = work.DigestOf(j.Spec)
	}
	sub, err := newSubmission(id, j)
	if err != nil {
		return unavailable(CodeStore, err)
	}
	write := s.writePaced
	if s.pacer.off {
		write = s.write
	}
	began := time.Now()
	s.beginAttempt(id)
	err = write(ctx, sub, func(stored store.Entry) {
		s.cacheSpec(sub, sub.is(stored))
		s.offerStored(sub, stored)
	})
	s.stats.LongestHold.Record(time.Since(began))
	if err = s.afterOtherAttempts(id, err); err == nil {
		s.stats.Accepted.Add(1)
		return nil
	}
	s.stats.NotAccepted.Add(1)
	if verdict.Of(err) == verdict.MayHaveRun {
		s.stats.Unknown.Add(1)
	}
	return err
}

// afterOtherAttempts ends an attempt to submit a job, and returns the answer to it, given the others that
// this daemon has made under the same id or is making.
//
// A caller repeats a submission that got no answer. If the store fails meanwhile, the repetition
// writes nothing, but the job may be stored by the first attempt: to answer "not run" would be
// untrue. Attempts at other daemons are known here only if this attempt was forwarded to them.
func (s *Service) afterOtherAttempts(id work.JobID, err error) error {
	var e *verdict.Error
	notRun := errors.As(err, &e) && e.Verdict == verdict.NotRun
	if others := s.endAttempt(id, !notRun); others && notRun && e.Code == CodeStore {
		return unknown(err)
	}
	return err
}

// beginAttempt records that a job is being written by this daemon; endAttempt must follow.
func (s *Service) beginAttempt(id work.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing[id]++
}

// endAttempt records the end of an attempt to write a job, and whether the job may be stored by it. It
// reports whether it may be stored by another attempt of this daemon.
func (s *Service) endAttempt(id work.JobID, mayBeStored bool) (byOther bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byOther = s.writing[id] > 1 || s.attempted.has(id)
	if s.writing[id]--; s.writing[id] == 0 {
		delete(s.writing, id)
	}
	if mayBeStored {
		s.attempted.add(id, time.Since(s.began))
	}
	return byOther
}

// mayBeStored reports whether a job may be stored by an attempt of this daemon.
func (s *Service) mayBeStored(id work.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writing[id] > 0 || s.attempted.has(id)
}

// write writes the job to the store or, when the store refuses calls of this daemon, through
// another daemon. After a failed call the other daemons are tried first: they answer within
// milliseconds, while a read of an unresponsive store takes probeTimeout. written is called as with
// writePaced, which is used instead of it without the policy no_outage_pacing.
func (s *Service) write(ctx context.Context, sub *submission, written func(stored store.Entry)) error {
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	unconfirmed := false // whether an unanswered write may still take effect
	var last error
	forwarded := func() bool {
		accepted, uncertain := s.forward(ctx, sub)
		unconfirmed = unconfirmed || uncertain
		return accepted
	}
	for ctx.Err() == nil {
		first := s.forwardFirst()
		if first && forwarded() {
			return nil
		}
		if last = s.reachable(ctx); last == nil {
			var created attempt
			switch created, last = s.createHedged(ctx, sub); {
			case last == nil && created.byOther:
				return nil
			case last == nil:
				written(created.stored)
				return nil
			case errors.Is(last, errIDCancelled):
				return unavailable(CodeIDCancelled, last)
			case errors.Is(last, errOtherAccount):
				return refuseOtherAccount()
			case errors.Is(last, store.ErrUnknownOutcome):
				unconfirmed = true
			}
		}
		if !first && forwarded() {
			return nil
		}
		if !unconfirmed {
			return unavailable(CodeStore, last)
		}
		_ = sleep.For(ctx, retryDelay) // the loop condition checks ctx
	}
	return refuseAtEnd(ctx, last, unconfirmed)
}

// refuseAtEnd returns the answer to a request whose time is over. last is the error of its last
// attempt; it is nil if ctx ended before the first one, as after a suspension of the daemon.
func refuseAtEnd(ctx context.Context, last error, unconfirmed bool) error {
	if last == nil {
		last = context.Cause(ctx)
	}
	if unconfirmed {
		return unknown(last)
	}
	return unavailable(CodeStore, last)
}

// reachable reads from the store before a write that would directly follow a failure. A failed
// read cannot change the store, so the caller can be told at once, and reliably, that its job
// was not accepted. Concurrent callers share one read.
func (s *Service) reachable(ctx context.Context) error {
	switch {
	case !s.o.StoreTimeout.Failing():
		return nil
	case s.o.StoreTimeout.RefusedWithin(refusalAge):
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

// errJustRefused means that the store has just refused another call of this daemon.
var errJustRefused = errors.New("submit: the store has just turned a call away")

// errIDCancelled means that a cancellation has marked the id, under which no job can be submitted
// any more.
var errIDCancelled = errors.New("submit: the id was given up before it was handed in")

// create makes one attempt to write the job. All attempts write the same, and at most one of
// them takes effect. stored is what the store has under the job's id then: the submission, or that of
// an earlier one, or the state of the job.
func (s *Service) create(ctx context.Context, sub *submission) (stored store.Entry, err error) {
	id := sub.id
	txn := store.Txn{
		Checks: []store.Check{{Key: dispatch.KeySubmission(id)}, {Key: dispatch.KeyState(id)}},
		Writes: sub.writes(),
	}
	var preconditions Preconditions
	if s.o.Preconditions != nil {
		preconditions = s.o.Preconditions(id)
		txn.Checks = append(txn.Checks, preconditions.Layout)
		for _, key := range preconditions.OtherShardKeys {
			txn.Checks = append(txn.Checks, store.Check{Key: key})
		}
	}
	rev, err := s.o.Store.Commit(ctx, txn)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return store.Entry{Key: dispatch.KeySubmission(id), Value: sub.value, Revision: rev}, err
	}
	if preconditions.Layout.Key != "" {
		if layout, _ := conflict.Find(preconditions.Layout.Key); layout.Revision != preconditions.Layout.Revision {
			return store.Entry{}, errLayoutChanged
		}
	}
	// The job was submitted before, possibly before the cell was divided into shards: the first
	// submission stands.
	for _, key := range slices.Concat(preconditions.OtherShardKeys, jobKeys(id)) {
		if entry, exists := conflict.Find(key); exists {
			return entry, checkExisting(entry, sub.account)
		}
	}
	return store.Entry{}, fmt.Errorf("%w: neither key exists now", store.ErrUnknownOutcome)
}

// checkExisting returns the result of a submission whose id is in use, given the entry found
// under it: nil when the job belongs to the same account.
func checkExisting(found store.Entry, account string) error {
	owner := ""
	if dispatch.IsStateKey(found.Key) {
		p, err := work.DecodeProgress(found.Value)
		switch {
		case err != nil:
			return nil // this version cannot decode it, but the job exists
		case p.State == work.Refused:
			return errIDCancelled
		}
		owner = p.Account
	} else if first, err := work.DecodeJob(found.Value); err == nil {
		owner = first.Account
	}
	if !work.MayAccess(owner, account) {
		return errOtherAccount
	}
	return nil
}

// errLayoutChanged means that the shard layout has changed since this daemon read it; nothing was
// written.
var errLayoutChanged = fmt.Errorf("%w: the cell's layout has changed", store.ErrUnavailable)

// commit runs one transaction with a timeout.
func (s *Service) commit(ctx context.Context, t store.Txn) error {
	return s.o.StoreTimeout.Call(ctx, func(ctx context.Context) error {
		_, err := s.o.Store.Commit(ctx, t)
		return err
	})
}

// get makes one read with a timeout; a missing key is not an error.
func (s *Service) get(ctx context.Context, key string) (store.Entry, bool, error) {
	ctx, cancel := s.pacer.readTimeout(ctx)
	defer cancel()
	var entry store.Entry
	err := s.o.StoreTimeout.Call(ctx, func(ctx context.Context) (err error) {
		entry, err = s.o.Store.Get(ctx, key)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return entry, false, nil
	}
	return entry, err == nil, err
}

// offerStored notifies the leader of a job that is stored under the id of a submission.
//
// A repeated submission must not be offered as it is: it names the epoch of its own arrival, by which a
// leader believes that no earlier one has started the job, and it may come after the job's end.
func (s *Service) offerStored(sub *submission, stored store.Entry) {
	switch {
	case stored.Key != dispatch.KeySubmission(sub.id): // it has ended, or is in another shard
		return
	case sub.is(stored) && !s.omitSpecs.Load():
		stored.Value = sub.full
	}
	s.push(stored)
}

// cacheSpec caches the spec of a submission that is known to be stored. Another submission under the id may be
// refused, or be a repetition with another spec; workers would be given its spec for the job's.
func (s *Service) cacheSpec(sub *submission, stored bool) {
	if stored && s.o.Specs != nil {
		s.o.Specs.CacheSpec(sub.id, sub.spec)
	}
}

// push notifies the leader of a new entry. If it fails, the leader's watch delivers the entry.
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
		var r offerReply
		asked := time.Now()
		request := offer{Key: entry.Key, Value: entry.Value, Revision: uint64(entry.Revision)}
		if _, err := s.o.Peers.CallAddr(ctx, leader.Peer, s.method(MethodOffer), request, &r); err != nil {
			s.o.Log.Debug().Err(err).Str("key", entry.Key).Msg("leader not notified of a new entry; its watch will deliver it")
			return
		}
		s.omitSpecs.Store(r.OmitSpecs)
		s.takeDigest(r.Load, asked)
	}()
}

// otherLeader returns the leader, unless it is this daemon.
func (s *Service) otherLeader() (lead.Member, bool) {
	leader, ok := s.o.View.Leader()
	return leader.Member, ok && leader.Member.Name != s.o.Self
}

// otherMembers returns the other members of the cell in random order.
func (s *Service) otherMembers() []lead.Member {
	members := slices.DeleteFunc(s.o.View.Members(), func(m lead.Member) bool { return m.Name == s.o.Self })
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

// forwardTargets returns the members to forward to: first the leader, which has reached the
// store recently, then random ones.
func (s *Service) forwardTargets() []lead.Member {
	members := s.otherMembers()
	if leader, ok := s.otherLeader(); ok {
		if i := slices.IndexFunc(members, func(m lead.Member) bool { return m.Name == leader.Name }); i > 0 {
			members[0], members[i] = members[i], members[0]
		}
	}
	return members[:min(len(members), maxForwards)]
}

// askLeader sends a request to the leader: to the host on this daemon, or to another daemon.
func (s *Service) askLeader(ctx context.Context, own func(context.Context, *dispatch.Host) error,
	method peer.Method, req, resp any,
) error {
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

// forward has another daemon write the job. uncertain reports that a daemon may have written it
// without confirming it. With pacing, no further daemon is tried after that, now or by a later call.
func (s *Service) forward(ctx context.Context, sub *submission) (accepted, uncertain bool) {
	var targets []lead.Member
	if s.pacer.off || !sub.targetUncertain.Load() {
		targets = s.pacer.targets(s)
	}
	for _, m := range targets {
		var r forwardReply
		sub.forwarded.Store(true)
		err := s.callTarget(ctx, m, s.method(MethodForward), offer{Key: string(sub.id), Value: sub.full}, &r)
		s.pacer.endedTarget(ctx, m.Name, r, err)
		if err == nil && r.Accepted {
			s.stats.Forwarded.Add(1)
			s.pacer.endedForward(true)
			s.cacheSpec(sub, r.AsForwarded)
			return true, false
		}
		uncertain = uncertain || r.Uncertain || (err != nil && !peer.NotRun(err))
		if uncertain && !s.pacer.off {
			sub.targetUncertain.Store(true)
			break
		}
	}
	if len(targets) > 0 && ctx.Err() == nil {
		s.pacer.endedForward(false)
	}
	return false, uncertain
}

// callTarget calls a daemon to which a request is forwarded. It does not call after the end of ctx.
func (s *Service) callTarget(ctx context.Context, m lead.Member, method peer.Method, req, resp any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", peer.ErrNotSent, err)
	}
	bounded, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err := s.o.Peers.CallAddr(bounded, m.Peer, method, req, resp)
	return err
}
