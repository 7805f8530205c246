package submit

import (
	"context"
	"errors"
	"expvar"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/dispatch"
	"fennelshunt.example/fennelshunt/version/work"
)

// Methods between daemons.
const (
	// MethodOffer tells the leader of an entry that is in the store.
	MethodOffer peer.Method = "jobs.offer"
	// MethodHandOver asks a daemon to write a job to the store.
	MethodHandOver peer.Method = "jobs.hand_over"
	MethodCancel   peer.Method = "jobs.cancel"
	MethodState    peer.Method = "jobs.state"
	MethodPending  peer.Method = "jobs.pending"
	MethodExplain  peer.Method = "jobs.explain"
)

// PathExplain is where a daemon explains the job of the query's field job, on its metrics
// address.
const PathExplain = "/explain"

type offer struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint"`
}

type offered struct {
	// Short: the leader has no use for the specs of jobs.
	Short bool `cbor:"1,keyasint"`
}

type handedOver struct {
	Accepted bool `cbor:"1,keyasint"`
	Maybe    bool `cbor:"2,keyasint"` // a write without an answer may take effect
}

type stateRequest struct {
	ID work.JobID `cbor:"1,keyasint"`
}

type stateReply struct {
	State   work.State `cbor:"1,keyasint"`
	Known   bool       `cbor:"2,keyasint"`
	Account string     `cbor:"3,keyasint,omitempty"` // of the job
}

type explainReply struct {
	Known       bool                 `cbor:"1,keyasint"`
	Explanation dispatch.Explanation `cbor:"2,keyasint"`
}

type cancelRequest struct {
	ID work.JobID `cbor:"1,keyasint"`
	// Account is that of the caller.
	Account string `cbor:"2,keyasint,omitempty"`
}

type pendingRequest struct {
	Queue string `cbor:"1,keyasint"`
}

type pendingReply struct {
	N int `cbor:"1,keyasint"`
}

// Stats counts requests.
type Stats struct {
	Accepted, NotAccepted, HandedOver, Cancelled expvar.Int
}

// Stats returns the live counters.
func (s *Service) Stats() *Stats { return s.stats }

// method returns the part's own name of a method.
func (s *Service) method(m peer.Method) peer.Method { return m + peer.Method(s.o.Suffix) }

// Register serves the methods for other daemons.
func (s *Service) Register(r peer.Registrar) {
	r.Handle(s.method(MethodOffer), peer.Typed(s.serveOffer))
	r.Handle(s.method(MethodHandOver), peer.Typed(s.serveHandOver))
	r.Handle(s.method(MethodCancel), peer.Typed(s.serveCancel))
	r.Handle(s.method(MethodState), peer.Typed(s.serveState))
	r.Handle(s.method(MethodPending), peer.Typed(s.servePending))
	r.Handle(s.method(MethodExplain), peer.Typed(s.serveExplain))
}

func (s *Service) serveOffer(_ context.Context, o offer) (any, error) {
	if h := s.o.Leading(); h != nil {
		h.Offer(store.Entry{Key: o.Key, Value: o.Value})
	}
	return offered{Short: s.o.Texts != nil && s.o.Texts.Carries()}, nil
}

// serveHandOver makes one try only: the daemon that asks has others to ask.
func (s *Service) serveHandOver(ctx context.Context, o offer) (any, error) {
	id := work.JobID(o.Key)
	if s.o.Patience.Suspect() {
		return handedOver{}, nil // no better off than the daemon that asks
	}
	h, err := decodeHandIn(id, o.Value)
	if err != nil {
		s.o.Log.Warn().Err(err).Str("job", o.Key).Msg("job handed over can not be read")
		return handedOver{}, nil
	}
	err = s.o.Patience.Call(ctx, func(ctx context.Context) error { return s.create(ctx, h) })
	if err != nil {
		return handedOver{Maybe: errors.Is(err, store.ErrUnknownOutcome)}, nil
	}
	s.push(store.Entry{Key: dispatch.KeyIn(id), Value: o.Value})
	return handedOver{Accepted: true}, nil
}

func (s *Service) serveCancel(ctx context.Context, r cancelRequest) (any, error) {
	done, err := s.cancelOnce(ctx, r.ID, r.Account)
	return handedOver{Accepted: done && err == nil}, nil
}

// serveState answers for the leader only. A daemon that does not lead knows
// nothing, and says so by an error.
func (s *Service) serveState(ctx context.Context, r stateRequest) (any, error) {
	h := s.o.Leading()
	if h == nil {
		return nil, errNoLeader
	}
	shown, known, err := h.State(ctx, r.ID)
	return stateReply{State: shown.State, Known: known, Account: shown.Account}, err
}

func (s *Service) serveExplain(ctx context.Context, r stateRequest) (any, error) {
	h := s.o.Leading()
	if h == nil {
		return nil, errNoLeader
	}
	x, known, err := h.Explain(ctx, r.ID)
	return explainReply{Known: known, Explanation: x}, err
}

// Explain tells what holds a job up, as the leader knows. It is for operators: it shows
// jobs of every account. The error is ErrNoJob for a job that the leader does not know.
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
