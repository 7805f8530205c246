package idem

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// sweepInterval is the interval at which answers past their retention are evicted.
const sweepInterval = 5 * time.Second

// retryAfterMillis is the retry delay for callers that are refused because the
// key owner or the store is not ready.
const retryAfterMillis = 1000

var (
	errNotOwner = errors.New("this daemon is not the home of the key")
	errMismatch = errors.New("the key was used before for another request")
)

// Manager is one daemon's part of the key table: the keys of the shards that it
// owns. It implements Table and ownership.Handler for ownership.KeysPrefix.
type Manager struct {
	opts    Options
	limiter *rate.Limiter
	shards  [Shards]atomic.Pointer[shard]
	answers answerCache
	keys    atomic.Int64
	counts  Counters
}

var (
	_ Table             = (*Manager)(nil)
	_ ownership.Handler = (*Manager)(nil)
)

// New returns a manager. It owns no shard until Acquired is called.
func New(opts Options) *Manager {
	opts.setDefaults()
	m := &Manager{opts: opts}
	m.limiter = rate.NewLimiter(m.writeShare())
	m.answers.init(opts.AnswerMemory)
	return m
}

// writeShare returns this daemon's share of the cell's write rate, and the burst.
func (m *Manager) writeShare() (rate.Limit, int) {
	share := m.opts.WritesPerSecond / float64(max(1, len(m.opts.Members.Members())))
	return rate.Limit(share), int(share) + 1
}

// Resources returns the names of all shards, for the ownership manager.
func Resources() []ownership.Resource {
	out := make([]ownership.Resource, Shards)
	for n := range out {
		out[n] = resource(n)
	}
	return out
}

func resource(n int) ownership.Resource {
	return ownership.Resource(ownership.KeysPrefix + strconv.Itoa(n))
}

// shardOf returns the number of a keys resource.
func shardOf(r ownership.Resource) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(string(r), ownership.KeysPrefix))
	return n, err == nil && n >= 0 && n < Shards
}

// keyHash represents a Key in memory and in the log. It is a cryptographic hash
// because callers choose the text: with a weak one a caller could construct two
// keys that collide.
type keyHash [16]byte

func (k Key) hash() keyHash {
	h := sha256.New()
	for _, part := range []string{k.Team, k.Service, k.Text} {
		writePart(h, []byte(part))
	}
	return keyHash(h.Sum(nil)[:16])
}

func (h keyHash) shard() int { return int(h[0]) % Shards }

// Owner implements Table.
func (m *Manager) Owner(k Key) (fleet.Member, bool, bool) {
	claim, ok := m.opts.Directory.Owner(resource(k.hash().shard()))
	if !ok {
		return fleet.Member{}, false, false
	}
	if claim.Owner == m.opts.Self {
		return m.opts.Members.Self(), true, true
	}
	member, ok := m.opts.Members.Lookup(claim.Owner.ID)
	if !ok || member.Ref != claim.Owner || member.State == fleet.Ended {
		return fleet.Member{}, false, false
	}
	return member, false, true
}

// Begin implements Table.
func (m *Manager) Begin(ctx context.Context, r Request) (*Attempt, *Answer, error) {
	h := r.Key.hash()
	s := m.shards[h.shard()].Load()
	if s == nil {
		return nil, nil, notRun(http.StatusServiceUnavailable, CodeNotOwner, errNotOwner)
	}
	e, attempt, err := s.begin(ctx, h, r)
	if err != nil || attempt != nil {
		return attempt, nil, err
	}
	return join(ctx, e)
}

// join waits for another arrival's attempt to complete.
func join(ctx context.Context, e *entry) (*Attempt, *Answer, error) {
	select {
	case <-e.done:
	case <-ctx.Done():
		return nil, nil, &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusGatewayTimeout,
			Code: CodeJoinTimeout, RetryAfterMillis: retryAfterMillis, Err: ctx.Err()}
	}
	if e.err != nil {
		return nil, nil, e.err
	}
	return nil, e.answer, nil
}

// Acquired implements ownership.Handler.
func (m *Manager) Acquired(ctx context.Context, g ownership.Grant) {
	n, ok := shardOf(g.Resource)
	if !ok {
		return
	}
	s := newShard(ctx, m, n, g.Epoch)
	if old := m.shards[n].Swap(s); old != nil {
		old.close()
	}
	go s.log.run()
}

// Lost implements ownership.Handler.
func (m *Manager) Lost(r ownership.Resource, epoch uint64) {
	n, ok := shardOf(r)
	if !ok {
		return
	}
	s := m.shards[n].Load()
	if s != nil && s.epoch <= epoch && m.shards[n].CompareAndSwap(s, nil) {
		s.close()
	}
}

// Releasing implements ownership.Handler: it starts no new requests in the shard,
// waits for the running ones, and makes their outcomes durable. When that fails
// this daemon keeps the claim and the shard, and starts requests again. If it
// dropped the shard, no daemon would serve its keys, and retries of a request
// that still runs would be refused with outcome_unknown.
func (m *Manager) Releasing(ctx context.Context, r ownership.Resource) error {
	n, ok := shardOf(r)
	if !ok {
		return nil
	}
	s := m.shards[n].Load()
	if s == nil {
		return nil
	}
	if err := s.drain(ctx); err != nil {
		s.resume()
		return fmt.Errorf("release %s: %w", r, err)
	}
	if m.shards[n].CompareAndSwap(s, nil) {
		s.close()
	}
	return nil
}

// Serve evicts answers past their retention and adapts the write rate to the
// number of members, until ctx is done.
func (m *Manager) Serve(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			m.closeAll()
			return ctx.Err()
		case <-t.C:
			m.answers.expire(time.Now())
			share, burst := m.writeShare()
			m.limiter.SetLimit(share)
			m.limiter.SetBurst(burst)
		}
	}
}

func (m *Manager) closeAll() {
	for n := range m.shards {
		if s := m.shards[n].Swap(nil); s != nil {
			s.close()
		}
	}
}

func notRun(status int, code string, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.NotRun, Status: status, Code: code, Err: err}
	if status == http.StatusServiceUnavailable {
		e.RetryAfterMillis = retryAfterMillis
	}
	return e
}
