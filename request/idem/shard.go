package idem

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/request/verdict"
)

// Memory overhead charged for a kept answer, in bytes. Headers are charged too:
// otherwise an answer with 64 KB of headers would count as an empty one.
const (
	entryOverhead  = 512
	headerOverhead = 48 // per header: its name and its list of values
	stringOverhead = 16 // per value
)

var (
	errOutcomeUnknown = errors.New("an earlier arrival of the key was sent and its end is not known")
	errNotKept        = errors.New("the request ran and its answer is no longer kept")
	errTableFull      = errors.New("too many keys in memory")
	errDraining       = errors.New("the home of the key is being handed over")
)

// entry is a key whose request is running or whose answer is kept. The fields
// above done are immutable; answer and err are set before done is closed.
type entry struct {
	hash          keyHash
	fingerprint   uint64
	nonIdempotent bool
	done          chan struct{}
	answer        *Answer
	err           error
	cost          int
}

// shard is this daemon's table of the keys of one shard under one epoch.
type shard struct {
	m     *Manager
	n     int
	epoch uint64
	log   *keyLog

	mu       sync.Mutex
	entries  map[keyHash]*entry
	logged   map[keyHash]loggedKey // non-idempotent keys with a record in the log
	running  int
	draining bool
	closed   bool
	idle     chan struct{} // closed when the shard is draining and no request runs
}

// loggedKey is the in-memory copy of a key's latest record in the log.
type loggedKey struct {
	fingerprint uint64
	at          int64
	outcome     outcome
}

func newShard(ctx context.Context, m *Manager, n int, epoch uint64) *shard {
	s := &shard{m: m, n: n, epoch: epoch, entries: map[keyHash]*entry{}, logged: map[keyHash]loggedKey{}, idle: make(chan struct{})}
	s.log = newKeyLog(ctx, s)
	return s
}

// fingerprint64 includes NonIdempotent in the fingerprint, so that a key cannot
// be used again with another value of it.
func fingerprint64(r Request) uint64 {
	f := uint64(r.Fingerprint)
	if r.NonIdempotent {
		f = ^f
	}
	return f
}

// begin returns an attempt for the first arrival of a key, and for every other
// one the entry to join.
func (s *shard) begin(ctx context.Context, h keyHash, r Request) (*entry, *Attempt, error) {
	if r.NonIdempotent {
		if err := s.log.waitReady(ctx); err != nil {
			return nil, nil, notRun(http.StatusServiceUnavailable, CodeOwnerNotReady, err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fp := fingerprint64(r)
	if e, ok := s.entries[h]; ok {
		if e.fingerprint != fp {
			return nil, nil, notRun(http.StatusUnprocessableEntity, CodeMismatch, errMismatch)
		}
		s.m.counts.Joined.Add(1)
		return e, nil, nil
	}
	if s.closed || s.draining {
		return nil, nil, notRun(http.StatusServiceUnavailable, CodeOwnerNotReady, errDraining)
	}
	if r.NonIdempotent {
		if err := s.checkLogged(h, fp); err != nil {
			return nil, nil, err
		}
	}
	if s.m.keys.Load() >= int64(s.m.opts.MaxKeys) {
		return nil, nil, notRun(http.StatusServiceUnavailable, CodeTableFull, errTableFull)
	}
	e := &entry{hash: h, fingerprint: fp, nonIdempotent: r.NonIdempotent, done: make(chan struct{})}
	s.entries[h] = e
	s.m.keys.Add(1)
	s.running++
	return nil, &Attempt{shard: s, entry: e}, nil
}

// checkLogged refuses a key for which the log says that its request was or may
// have been sent.
func (s *shard) checkLogged(h keyHash, fp uint64) error {
	k, ok := s.logged[h]
	if !ok || s.m.expired(k.at) {
		return nil
	}
	if k.fingerprint != fp {
		return notRun(http.StatusUnprocessableEntity, CodeMismatch, errMismatch)
	}
	switch k.outcome {
	case outcomeNotRun:
		return nil
	case outcomeRan:
		return answerNotKept()
	default:
		s.m.counts.OutcomeUnknown.Add(1)
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusConflict, Code: CodeOutcomeUnknown, Err: errOutcomeUnknown}
	}
}

func answerNotKept() *verdict.Error {
	return &verdict.Error{Verdict: verdict.Ran, Status: http.StatusGone, Code: CodeAnswerNotKept, Err: errNotKept}
}

// expired reports whether the retention of an intent of that time has expired.
func (m *Manager) expired(at int64) bool {
	return time.Since(time.Unix(at, 0)) > m.opts.IntentRetention
}

// intend makes e's intent durable.
func (s *shard) intend(ctx context.Context, e *entry) error {
	return s.log.append(ctx, record{Key: e.hash, Fingerprint: e.fingerprint, At: time.Now().Unix()})
}

// finish completes e with its answer.
func (s *shard) finish(e *entry, a *Answer) {
	kept := !a.NotKept && len(a.Body) <= s.m.opts.MaxAnswer
	s.mu.Lock()
	if kept {
		e.answer = a
		e.cost = a.size() + entryOverhead
	} else {
		e.err = answerNotKept()
		s.remove(e)
	}
	s.setOutcome(e, outcomeRan)
	s.complete(e)
	keep := kept && !s.closed
	s.mu.Unlock()
	if keep {
		s.m.answers.add(s, e, time.Now().Add(s.m.opts.AnswerRetention))
	}
}

// fail completes e without an answer.
func (s *shard) fail(e *entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.err = err
	s.remove(e)
	switch verdict.Of(err) {
	case verdict.NotRun:
		s.setOutcome(e, outcomeNotRun)
	case verdict.Ran:
		s.setOutcome(e, outcomeRan)
	}
	s.complete(e)
}

// setOutcome records the outcome of a non-idempotent request with an intent. It
// becomes durable with a later write of the log. The caller holds mu.
func (s *shard) setOutcome(e *entry, to outcome) {
	k, ok := s.logged[e.hash]
	if !e.nonIdempotent || !ok {
		return
	}
	k.outcome = to
	s.logged[e.hash] = k
	s.log.noteOutcome(record{Key: e.hash, Fingerprint: k.fingerprint, At: k.at, End: to})
}

// complete wakes the arrivals that joined e, and drain. The caller holds mu.
func (s *shard) complete(e *entry) {
	close(e.done)
	s.running--
	if s.running < 0 {
		panic(fmt.Sprintf("idem: shard %d: more completions than attempts", s.n))
	}
	s.signalIdle()
}

func (s *shard) signalIdle() {
	if !s.draining || s.running > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

// remove deletes e from the entries. The caller holds mu.
func (s *shard) remove(e *entry) {
	if s.entries[e.hash] == e {
		delete(s.entries, e.hash)
		s.m.keys.Add(-1)
	}
}

// evict removes an entry whose answer is no longer kept.
func (s *shard) evict(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(e)
}

// noteRecord updates the in-memory copy of a key's record. The caller holds mu.
func (s *shard) noteRecord(r record) {
	if s.closed {
		return
	}
	if _, ok := s.logged[r.Key]; !ok {
		s.m.keys.Add(1)
	}
	s.logged[r.Key] = loggedKey{fingerprint: r.Fingerprint, at: r.At, outcome: r.End}
}

// assertNoIntent checks the invariant that a key has at most one intent that may
// have been sent. The caller holds mu.
func (s *shard) assertNoIntent(r record) {
	k, ok := s.logged[r.Key]
	if ok && k.outcome != outcomeNotRun && !s.m.expired(k.at) {
		panic(fmt.Sprintf("idem: shard %d: second intent of key %x", s.n, r.Key))
	}
}

// sweep removes keys past their retention.
func (s *shard) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, k := range s.logged {
		if s.m.expired(k.at) {
			delete(s.logged, h)
			s.m.keys.Add(-1)
		}
	}
}

// drain stops new requests, waits for the running ones and writes their outcomes.
func (s *shard) drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.signalIdle()
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		return fmt.Errorf("requests with keys are still in progress: %w", ctx.Err())
	}
	return s.log.flush(ctx)
}

// resume allows new requests again after a drain that failed.
func (s *shard) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
	s.idle = make(chan struct{})
}

// close stops the log and drops the keys. Running requests continue and complete
// their entries; no new ones start.
func (s *shard) close() {
	s.log.stop()
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		s.m.keys.Add(-int64(len(s.entries) + len(s.logged)))
		s.entries, s.logged = nil, nil
	}
	s.mu.Unlock()
	s.m.answers.removeShard(s)
}
