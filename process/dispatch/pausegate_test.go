package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/version/work"
)

// errNoAnswer is the error of a call to a daemon that is not answered.
var errNoAnswer = errors.New("no answer")

// gate is what a daemon of a test does everything through: while the daemon stands still, as a
// stopped process does, each call waits here before it is sent, each answer before it is handed in,
// and the engine at its next decision or tick. Requests that were sent before are carried out.
type gate struct {
	name   string
	seed   uint64
	killed chan struct{} // closed when the daemon has ended

	mu     sync.Mutex
	awake  chan struct{} // closed while the daemon runs
	until  time.Time     // end of the pause
	armed  *armedPause
	passed map[string]uint64 // draws so far, by key
	// onPause is called at the start of a pause.
	onPause func()
	// cut has the workers that the daemon does not reach, by address.
	cut map[string]cutMode
	// storeCut, storeDelay and delayed are faults between the daemon and the store, and delays of single
	// goroutines.
	storeCut   cutMode
	storeDelay time.Duration
	delayed    float64
	pauses     map[point]int // pauses so far, by the point at which they began
	spans      []span        // of the pauses
}

// point is a point at which a daemon may stand still.
type point string

// span is a span of time.
type span struct{ from, to time.Time }

// armedPause is a pause that begins when the daemon passes a point for the given time.
type armedPause struct {
	at     point
	skip   int
	length time.Duration
	only   bool // never elsewhere
}

// cutMode is what is lost between a daemon and another system.
type cutMode int

const (
	notCut cutMode = iota
	cutRequests
	cutAnswers
)

func newGate(name string, seed uint64) *gate {
	g := &gate{name: name, seed: seed, killed: make(chan struct{}), awake: make(chan struct{}), passed: map[string]uint64{}, cut: map[string]cutMode{}, pauses: map[point]int{}}
	close(g.awake)
	return g
}

// kill ends the daemon: what waits at the gate goes no further.
func (g *gate) kill() { close(g.killed) }

func (g *gate) isKilled() bool {
	select {
	case <-g.killed:
		return true
	default:
		return false
	}
}

// arm sets the next pause. If the point is not passed, it begins elsewhere after two seconds, or
// never.
func (g *gate) arm(p armedPause) {
	g.mu.Lock()
	g.armed = &p
	g.mu.Unlock()
	time.AfterFunc(2*time.Second, func() {
		g.mu.Lock()
		missed := g.armed == &p
		if missed {
			g.armed = nil
		}
		g.mu.Unlock()
		if missed && !p.only {
			g.pause("elsewhere", p.length)
		}
	})
}

// pause makes the daemon stand still.
func (g *gate) pause(at point, length time.Duration) {
	g.mu.Lock()
	g.pauses[at]++
	end := time.Now().Add(length)
	g.spans = append(g.spans, span{time.Now(), end})
	running := g.running()
	if end.After(g.until) {
		g.until = end
		time.AfterFunc(length, g.resume)
	}
	if running {
		g.awake = make(chan struct{})
	}
	begun := g.onPause
	g.mu.Unlock()
	if begun != nil {
		begun()
	}
}

// stoodStill reports whether the daemon stood still at a time or within a span before.
func (g *gate) stoodStill(at time.Time, before time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.spans, func(s span) bool { return s.from.Before(at) && s.to.After(at.Add(-before)) })
}

func (g *gate) running() bool {
	select {
	case <-g.awake:
		return true
	default:
		return false
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !time.Now().Before(g.until) && !g.running() {
		close(g.awake)
	}
}

// wait returns when the daemon runs, or has ended. It reports whether it waited.
func (g *gate) wait() (waited bool) {
	for {
		g.mu.Lock()
		awake, running := g.awake, g.running()
		g.mu.Unlock()
		if running || g.isKilled() {
			return waited
		}
		waited = true
		select {
		case <-awake:
		case <-g.killed:
		}
	}
}

// draw returns the random numbers of the next passage of a key. They depend on the seed and on how
// often that key has passed, so that the order of goroutines does not change them.
func (g *gate) draw(key string) *rand.Rand {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passed[key]++
	return rand.New(rand.NewPCG(g.seed^xxhash.Sum64String(g.name+" "+key), g.passed[key]))
}

// pass lets a goroutine go on once the daemon runs. A pause that is armed for the point begins. Each
// goroutine is a little late, so that no two arrive at the same time and their order follows from the seed.
func (g *gate) pass(at point, r *rand.Rand) {
	g.strike(at)
	late := time.Duration(r.IntN(1_000_000))
	if g.isDelayed(r) {
		late += 10*time.Millisecond + time.Duration(r.Int64N(int64(2500*time.Millisecond)))
	}
	if g.wait() {
		late = time.Duration(r.IntN(2_000_000))
	}
	time.Sleep(late)
	g.wait()
}

// strike begins the pause that is armed for the point.
func (g *gate) strike(at point) {
	g.mu.Lock()
	armed := g.armed
	due := armed != nil && armed.at == at
	if due {
		if armed.skip--; armed.skip >= 0 {
			due = false
		} else {
			g.armed = nil
		}
	}
	g.mu.Unlock()
	if due {
		g.pause(at, armed.length)
	}
}

func (g *gate) isDelayed(r *rand.Rand) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delayed > 0 && r.Float64() < g.delayed
}

// inFlight is how long a request that was sent at the last moment is on its way.
const inFlight = 5 * time.Millisecond

// call makes a call of the daemon. Its timeout ends it only while the daemon runs; an answer that has come
// by then may be handed in, however old it is.
func (g *gate) call(ctx context.Context, before, after point, key string, lost error, f func(ctx context.Context) error) error {
	r := g.draw(string(before) + key)
	g.pass(before, r)
	late := ctx.Err() != nil
	if g.isKilled() || (late && r.IntN(2) == 0) {
		return fmt.Errorf("%w: not sent: %w", lost, context.Canceled)
	}
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		g.wait()
		time.Sleep(inFlight)
		cancel()
	})
	defer stop()
	err := f(inner)
	g.pass(after, r)
	if g.isKilled() || (ctx.Err() != nil && r.IntN(4) == 0) {
		return fmt.Errorf("%w: %w", lost, context.DeadlineExceeded)
	}
	return err
}

// link makes a call over a link that may be cut.
func (g *gate) link(ctx context.Context, mode cutMode, lost error, f func(ctx context.Context) error) error {
	if mode == notCut {
		return f(ctx)
	}
	if mode == cutAnswers {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		go func() {
			defer cancel()
			_ = f(bounded)
		}()
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", lost, ctx.Err())
}

// gatedRunner is a Runner behind a gate.
type gatedRunner struct {
	g *gate
	runner.Runner
}

func (x gatedRunner) mode(to runner.Ref) cutMode {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.cut[to.Address]
}

func (x gatedRunner) Start(ctx context.Context, to runner.Ref, s runner.Start) (time.Duration, error) {
	var r result[time.Duration]
	err := x.g.call(ctx, "start", "start answered", s.Task.String()+string(to.ID), runner.ErrUnknown, func(ctx context.Context) error {
		return x.g.link(ctx, x.mode(to), runner.ErrUnknown, func(ctx context.Context) error {
			clock, err := x.Runner.Start(ctx, to, s)
			r.set(clock)
			return err
		})
	})
	return r.get(), err
}

func (x gatedRunner) Stop(ctx context.Context, to runner.Ref, task work.TaskID, run, epoch uint64) error {
	return x.g.call(ctx, "stop", "stop answered", task.String()+string(to.ID), runner.ErrUnknown, func(ctx context.Context) error {
		return x.g.link(ctx, x.mode(to), runner.ErrUnknown, func(ctx context.Context) error { return x.Runner.Stop(ctx, to, task, run, epoch) })
	})
}

func (x gatedRunner) Renew(ctx context.Context, to runner.Ref, r runner.Renewal) (runner.Report, error) {
	reports := make(chan runner.Report, 1)
	err := x.g.call(ctx, "renewal", "renewal answered", string(to.ID), runner.ErrUnknown, func(ctx context.Context) error {
		return x.g.link(ctx, x.mode(to), runner.ErrUnknown, func(ctx context.Context) error {
			report, err := x.Runner.Renew(ctx, to, r)
			if err == nil {
				reports <- report
			}
			return err
		})
	})
	if err != nil {
		return runner.Report{}, err
	}
	return <-reports, nil
}

// gatedDirectory is a Directory behind a gate.
type gatedDirectory struct {
	g *gate
	runner.Directory
}

func (x gatedDirectory) List(ctx context.Context) (all []runner.Worker, rev store.Revision, err error) {
	err = x.g.call(ctx, "workers", "workers listed", "", store.ErrUnavailable, func(ctx context.Context) (err error) {
		all, rev, err = x.Directory.List(ctx)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	return all, rev, nil
}

func (x gatedDirectory) Watch(ctx context.Context, after store.Revision, wait time.Duration) (changes []runner.Change, next store.Revision, err error) {
	err = x.g.call(ctx, "workers", "workers listed", "", store.ErrUnavailable, func(ctx context.Context) (err error) {
		changes, next, err = x.Directory.Watch(ctx, after, wait)
		return err
	})
	if err != nil {
		return nil, after, err
	}
	return changes, next, nil
}

// gatedStore is a Transactor behind a gate.
type gatedStore struct {
	g *gate
	store.Transactor
}

// do makes one call of the store. The result of f counts only if do returns no error.
func (x gatedStore) do(ctx context.Context, what, key string, lost error, f func(ctx context.Context) error) error {
	return x.g.call(ctx, point(what), point(what+" answered"), key, lost, func(ctx context.Context) error {
		x.g.mu.Lock()
		mode, delay := x.g.storeCut, x.g.storeDelay
		x.g.mu.Unlock()
		return x.g.link(ctx, mode, lost, func(ctx context.Context) error {
			time.Sleep(delay / 2)
			err := f(ctx)
			time.Sleep(delay / 2)
			return err
		})
	})
}

// result is the outcome of a call of the store, which may come after its caller has gone.
type result[R any] struct {
	mu    sync.Mutex
	value R
}

func (r *result[R]) set(v R) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value = v
}

func (r *result[R]) get() R {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.value
}

type listing struct {
	entries []store.Entry
	rev     store.Revision
}

func (x gatedStore) Get(ctx context.Context, key string) (store.Entry, error) {
	var r result[store.Entry]
	err := x.do(ctx, "get", key, store.ErrUnavailable, func(ctx context.Context) error {
		e, err := x.Transactor.Get(ctx, key)
		r.set(e)
		return err
	})
	return r.get(), err
}

func (x gatedStore) List(ctx context.Context, prefix string) ([]store.Entry, store.Revision, error) {
	var r result[listing]
	what := "list"
	if prefix == PrefixJobs || prefix == PrefixState || prefix == PrefixBatches || prefix == prefixFleet {
		what = "load"
	}
	err := x.do(ctx, what, prefix, store.ErrUnavailable, func(ctx context.Context) error {
		all, rev, err := x.Transactor.List(ctx, prefix)
		r.set(listing{all, rev})
		return err
	})
	return r.get().entries, r.get().rev, err
}

func (x gatedStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) ([]store.Event, store.Revision, error) {
	type events struct {
		all  []store.Event
		next store.Revision
	}
	var r result[events]
	r.set(events{next: after})
	err := x.do(ctx, "watch", prefix, store.ErrUnavailable, func(ctx context.Context) error {
		all, next, err := x.Transactor.Watch(ctx, prefix, after, wait)
		r.set(events{all, next})
		return err
	})
	if err != nil {
		return nil, after, err
	}
	return r.get().all, r.get().next, nil
}

func (x gatedStore) Commit(ctx context.Context, t store.Txn) (store.Revision, error) {
	var r result[store.Revision]
	key := ""
	if len(t.Writes) > 0 {
		key = t.Writes[0].Key
	}
	if len(t.Checks) > 0 && slices.ContainsFunc(t.Checks, func(k store.Check) bool { return k.Key == leaderKey }) {
		x.g.spaceClaim()
	}
	err := x.do(ctx, "commit", key, store.ErrUnknownOutcome, func(ctx context.Context) error {
		rev, err := x.Transactor.Commit(ctx, t)
		r.set(rev)
		return err
	})
	return r.get(), err
}

const (
	// leaderKey is the key of the leader's record, as in package lead; claims are conditional on it.
	leaderKey = "cell/lead"
	// claimGrid is the time between the times at which claims are sent.
	claimGrid = 200 * time.Millisecond
)

// spaceClaim holds a claim until the next of some times, which differ between the daemons, so that which of them
// leads next follows from the seed and not from the random delay of a claim.
func (g *gate) spaceClaim() {
	offset := time.Duration(xxhash.Sum64String(fmt.Sprint(g.seed, g.name)) % uint64(claimGrid/4))
	now := time.Now()
	time.Sleep(now.Truncate(claimGrid).Add(claimGrid + offset).Sub(now))
}

func (x gatedStore) Put(ctx context.Context, key string, value []byte, prev store.Revision, lease store.LeaseID) (store.Revision, error) {
	var r result[store.Revision]
	err := x.do(ctx, "put", key, store.ErrUnknownOutcome, func(ctx context.Context) error {
		rev, err := x.Transactor.Put(ctx, key, value, prev, lease)
		r.set(rev)
		return err
	})
	return r.get(), err
}

func (x gatedStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var r result[store.LeaseID]
	err := x.do(ctx, "lease", "", store.ErrUnknownOutcome, func(ctx context.Context) error {
		id, err := x.Transactor.GrantLease(ctx, ttl)
		r.set(id)
		return err
	})
	return r.get(), err
}

func (x gatedStore) RenewLease(ctx context.Context, id store.LeaseID) error {
	return x.do(ctx, "lease", "", store.ErrUnknownOutcome, func(ctx context.Context) error { return x.Transactor.RenewLease(ctx, id) })
}

// gatedLog is a log whose writer stands still with its daemon: a pause at a decision is one in the
// middle of an event of the engine.
type gatedLog struct {
	g *gate
	w io.Writer
}

func (l gatedLog) Write(p []byte) (int, error) {
	l.g.strike("decision")
	l.g.wait()
	return l.w.Write(p)
}

// gatedPeers carries the calls between the daemons of a test.
type gatedPeers struct {
	g   *gate
	all *peerNodes
}

// peerNodes has the daemons that answer calls.
type peerNodes struct {
	mu    sync.Mutex
	nodes map[string]*peerNode
}

type peerNode struct {
	g   *gate
	mux *peer.Mux
}

func (n *peerNodes) join(name string, g *gate) *peer.Mux {
	n.mu.Lock()
	defer n.mu.Unlock()
	mux := peer.NewMux()
	n.nodes[name] = &peerNode{g, mux}
	return mux
}

func (p gatedPeers) CallAddr(ctx context.Context, addr string, method peer.Method, req, resp any) (peer.Ref, error) {
	data, err := peer.Marshal(req)
	if err != nil {
		return peer.Ref{}, err
	}
	p.all.mu.Lock()
	to := p.all.nodes[addr]
	p.all.mu.Unlock()
	var r result[[]byte]
	err = p.g.call(ctx, "peer call", "peer call answered", addr, errNoAnswer, func(ctx context.Context) error {
		done := make(chan error, 1)
		go func() {
			to.g.wait()
			if to.g.isKilled() {
				return
			}
			answer, err := to.mux.Dispatch(ctx, peer.Ref{}, method, data)
			r.set(answer)
			done <- err
		}()
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	})
	if err != nil {
		return peer.Ref{}, err
	}
	return peer.Ref{}, peer.Unmarshal(r.get(), resp)
}
