package submit

import (
	"context"
	"errors"
	"expvar"
	"strconv"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/process/loadshed"
	"fennelshunt.example/fennelshunt/version/work"
)

// Peer methods.
const (
	// MethodOffer notifies the leader of an entry that is in the store.
	MethodOffer peer.Method = "jobs.offer"
	// MethodForward has another daemon write a job to the store.
	MethodForward peer.Method = "jobs.hand_over"
	MethodCancel  peer.Method = "jobs.cancel"
	MethodState   peer.Method = "jobs.state"
	MethodPending peer.Method = "jobs.pending"
	MethodExplain peer.Method = "jobs.explain"
)

// PathExplain is the path, on a daemon's metrics address, that explains the job named by the
// query parameter job.
const PathExplain = "/explain"

type offer struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
	// Revision is that of the entry in the store; 0 with daemons of the version before.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

type offerReply struct {
	// OmitSpecs is set when the leader has no use for the specs of jobs.
	OmitSpecs bool `cbor:"1,keyasint"`
	// Load is the leader's digest of the shard's load; nil if it has none.
	Load *loadshed.Digest `cbor:"2,keyasint,omitempty"`
}

type forwardReply struct {
	Accepted  bool `cbor:"1,keyasint"`
	Uncertain bool `cbor:"2,keyasint"` // this write, or an earlier one of this daemon, may have taken effect or still take it
	// StoreFails means that the store does not answer this daemon either. A daemon of a version
	// without it sets neither field then.
	StoreFails bool `cbor:"3,keyasint,omitempty"`
	// StoreAnswers means that the store answers this daemon, which did not write the job for
	// another reason.
	StoreAnswers bool `cbor:"4,keyasint,omitempty"`
	// AsForwarded means that the forwarded submission is stored, and not an earlier one under its id. A
	// daemon of a version without it does not set it.
	AsForwarded bool `cbor:"5,keyasint,omitempty"`
}

type stateRequest struct {
	ID work.JobID `cbor:"1,keyasint"`
}

type stateReply struct {
	State   work.State `cbor:"1,keyasint"`
	Known   bool       `cbor:"2,keyasint"`
	Account string     `cbor:"3,keyasint,omitempty"` // the job's account
}

type explainReply struct {
	Known       bool                 `cbor:"1,keyasint"`
	Explanation dispatch.Explanation `cbor:"2,keyasint"`
}

type cancelRequest struct {
	ID work.JobID `cbor:"1,keyasint"`
	// Account is the caller's account.
	Account string `cbor:"2,keyasint,omitempty"`
}

// cancelReply says what a forwarded cancellation came to. If no field is set, as by a daemon of a
// version without NotRun and NoJob, the cancellation may have taken effect.
type cancelReply struct {
	Accepted bool `cbor:"1,keyasint"`
	NotRun   bool `cbor:"3,keyasint"` // nothing was written and no unanswered write can take effect
	NoJob    bool `cbor:"4,keyasint"` // ErrNoJob
}

type pendingRequest struct {
	Queue string `cbor:"1,keyasint"`
}

type pendingReply struct {
	N int `cbor:"1,keyasint"`
}

// Stats counts requests.
type Stats struct {
	Accepted, NotAccepted, Forwarded, Cancelled expvar.Int
	// RefusedAtOnce counts submissions refused without a call because of what earlier calls have
	// shown, Unknown those answered with an unknown outcome, Probes the reads that test whether the
	// store answers, and Outages what this daemon took for one.
	RefusedAtOnce, Unknown, Probes, Outages expvar.Int
	// LongestHold is the longest time of one submission, in milliseconds.
	LongestHold Longest
	// RefusedForLoad counts refusals for load by queue and reason, and RefusalsDropped those that were
	// not made because the job was stored or might be.
	RefusedForLoad  expvar.Map
	RefusalsDropped expvar.Int
	// DigestsSent counts digests of the load sent to other daemons, and DigestsOutdated the
	// submissions that were accepted without a recent digest.
	DigestsSent, DigestsOutdated expvar.Int
}

// Longest is the maximum of durations.
type Longest struct{ ms atomic.Int64 }

// Record takes in one duration.
func (l *Longest) Record(d time.Duration) {
	for ms := d.Milliseconds(); ; {
		longest := l.ms.Load()
		if ms <= longest || l.ms.CompareAndSwap(longest, ms) {
			return
		}
	}
}

// String implements expvar.Var.
func (l *Longest) String() string { return strconv.FormatInt(l.ms.Load(), 10) }

// Stats returns the live counters.
func (s *Service) Stats() *Stats { return s.stats }

// method returns the name of a peer method of this shard.
func (s *Service) method(m peer.Method) peer.Method { return m + peer.Method(s.o.Suffix) }

// Register installs the handlers of the peer methods.
func (s *Service) Register(r peer.Registrar) {
	r.Handle(s.method(MethodOffer), peer.Typed(s.serveOffer))
	r.Handle(s.method(MethodForward), peer.Typed(s.serveForward))
	r.Handle(s.method(MethodCancel), peer.Typed(s.serveCancel))
	r.Handle(s.method(MethodState), peer.Typed(s.serveState))
	r.Handle(s.method(MethodPending), peer.Typed(s.servePending))
	r.Handle(s.method(MethodExplain), peer.Typed(s.serveExplain))
}

func (s *Service) serveOffer(_ context.Context, o offer) (any, error) {
	h := s.o.Leading()
	if h != nil {
		h.Offer(store.Entry{Key: o.Key, Value: o.Value, Revision: store.Revision(o.Revision)})
	}
	return offerReply{OmitSpecs: s.o.Specs != nil && s.o.Specs.RelaysOrders(), Load: s.digestFor(h)}, nil
}

// serveForward makes a single attempt and does not forward on, since the calling daemon can try
// others.
func (s *Service) serveForward(ctx context.Context, o offer) (any, error) {
	id := work.JobID(o.Key)
	if s.pacer.storeFails() {
		return forwardReply{StoreFails: true, Uncertain: s.mayBeStored(id)}, nil
	}
	sub, err := decodeSubmission(id, o.Value)
	if err != nil {
		s.o.Log.Warn().Err(err).Str("job", o.Key).Msg("forwarded job cannot be decoded; not written")
		return forwardReply{}, nil
	}
	if !s.pacer.enter() {
		return forwardReply{StoreAnswers: true, Uncertain: s.mayBeStored(id)}, nil // no turn to write is free
	}
	defer s.pacer.leave()
	if s.gate != nil {
		s.gate.admit(id)
	}
	s.beginAttempt(id)
	done := s.pacer.sentWrite()
	var stored store.Entry
	err = s.o.StoreTimeout.CallWithMinTimeout(ctx, s.pacer.forwardedTimeout(), func(ctx context.Context) (err error) {
		stored, err = s.create(ctx, sub)
		return err
	})
	done(err)
	unanswered := errors.Is(err, store.ErrUnknownOutcome)
	byOther := s.endAttempt(id, err == nil || unanswered)
	if err != nil {
		fails := unanswered || errors.Is(err, store.ErrUnavailable) && !errors.Is(err, errLayoutChanged)
		refused := errors.Is(err, errIDCancelled) || errors.Is(err, errOtherAccount) // by what is stored under the id
		return forwardReply{Uncertain: unanswered || byOther && !refused, StoreFails: fails, StoreAnswers: !fails}, nil
	}
	s.offerStored(sub, stored)
	return forwardReply{Accepted: true, AsForwarded: sub.is(stored)}, nil
}

func (s *Service) serveCancel(ctx context.Context, r cancelRequest) (any, error) {
	done, err := s.cancelOnce(ctx, r.ID, r.Account)
	return cancelReply{
		Accepted: done && err == nil,
		NoJob:    errors.Is(err, ErrNoJob),
		NotRun:   err != nil && !errors.Is(err, ErrNoJob) && !errors.Is(err, store.ErrUnknownOutcome),
	}, nil
}

// serveState answers only on the leader. Another daemon does not have the state of jobs and
// returns an error.
func (s *Service) serveState(ctx context.Context, r stateRequest) (any, error) {
	h := s.o.Leading()
	if h == nil {
		return nil, errNoLeader
	}
	view, known, err := h.State(ctx, r.ID)
	return stateReply{State: view.State, Known: known, Account: view.Account}, err
}

func (s *Service) serveExplain(ctx context.Context, r stateRequest) (any, error) {
	h := s.o.Leading()
	if h == nil {
		return nil, errNoLeader
	}
	x, known, err := h.Explain(ctx, r.ID)
	return explainReply{Known: known, Explanation: x}, err
}

// Explain returns what delays a job, from the leader's state. It is for operators: it shows jobs
// of every account. The error is ErrNoJob for a job that the leader does not have.
func (s *Service) Explain(ctx context.Context, id work.JobID) (dispatch.Explanation, error) {
	var r explainReply
	err := s.askLeader(ctx, func(ctx context.Context, h *dispatch.Host) (err error) {
		r.Explanation, r.Known, err = h.Explain(ctx, id)
		return err
	}, s.method(MethodExplain), stateRequest{ID: id}, &r)
	if err == nil && !r.Known {
		err = ErrNoJob
	}
	return r.Explanation, err
}

func (s *Service) servePending(ctx context.Context, r pendingRequest) (any, error) {
	h := s.o.Leading()
	if h == nil {
		return nil, errNoLeader
	}
	n, err := h.Pending(ctx, r.Queue)
	return pendingReply{N: n}, err
}
