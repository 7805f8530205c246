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

// What is charged to a kept answer besides its bytes, in bytes. Without the
// headers an answer with 64 KB of them would count as an empty one.
const (
	entryOverhead  = 512
	headerOverhead = 48 // a header's name and its list of values
	stringOverhead = 16 // a value
)

var (
	errUnknownEnd = errors.New("an earlier arrival of the key was sent and its end is not known")
	errNotKept    = errors.New("the request ran and its answer is no longer kept")
	errTableFull  = errors.New("too many keys in memory")
	errDraining   = errors.New("the home of the key is being handed over")
)

// entry is a key whose request runs or whose answer is kept. The fields above
// done never change; answer and err are set before done is closed.
type entry struct {
	hash          keyHash
	fingerprint   uint64
	nonIdempotent bool
	done          chan struct{}
	answer        *Answer
	err           error
	cost          int
}

// shard is this daemon's table of one shard's keys under one epoch.
type shard struct {
	m     *Manager
	n     int
	epoch uint64
	log   *keyLog

	mu       sync.Mutex
	entries  map[keyHash]*entry
	known    map[keyHash]knownKey // non-idempotent keys with a record in the log
	running  int
	draining bool
	closed   bool
	idle     chan struct{} // closed when draining and nothing runs
}

// knownKey is what memory holds of a key in the log.
type knownKey struct {
	fingerprint uint64
	at          int64
	end         end
}

func newShard(ctx context.Context, m *Manager, n int, epoch uint64) *shard {
	s := &shard{m: m, n: n, epoch: epoch, entries: map[keyHash]*entry{}, known: map[keyHash]knownKey{}, idle: make(chan struct{})}
	s.log = newKeyLog(ctx, s)
	return s
}

// fingerprint64 mixes the flag in: a key may not change its nature.
func fingerprint64(r Request) uint64 {
	f := uint64(r.Fingerprint)
	if r.NonIdempotent {
		f = ^f
	}
	return f
}

// begin returns an attempt for the first arrival and the entry to join for
// every other.
func (s *shard) begin(ctx context.Context, h keyHash, r Request) (*entry, *Attempt, error) {
	if r.NonIdempotent {
		if err := s.log.waitReady(ctx); err != nil {
			return nil, nil, notRun(http.StatusServiceUnavailable, CodeNoHome, err)
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
		return nil, nil, notRun(http.StatusServiceUnavailable, CodeNoHome, errDraining)
	}
	if r.NonIdempotent {
		if err := s.checkKnown(h, fp); err != nil {
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

// checkKnown refuses a key whose request was sent before.
func (s *shard) checkKnown(h keyHash, fp uint64) error {
	k, ok := s.known[h]
	if !ok || s.m.expired(k.at) {
		return nil
	}
	if k.fingerprint != fp {
		return notRun(http.StatusUnprocessableEntity, CodeMismatch, errMismatch)
	}
	switch k.end {
	case endNotRun:
		return nil
	case endRan:
		return answerNotKept()
	default:
		s.m.counts.OutcomeUnknown.Add(1)
		return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusConflict, Code: CodeOutcomeUnknown, Err: errUnknownEnd}
	}
}

func answerNotKept() *verdict.Error {
	return &verdict.Error{Verdict: verdict.Ran, Status: http.StatusGone, Code: CodeAnswerNotKept, Err: errNotKept}
}

// expired reports whether a key with an intent at that time is forgotten.
func (m *Manager) expired(at int64) bool {
	return time.Since(time.Unix(at, 0)) > m.opts.IntentRetention
}

// intend makes e's intent durable.
func (s *shard) intend(ctx context.Context, e *entry) error {
	return s.log.append(ctx, record{Key: e.hash, Fingerprint: e.fingerprint, At: time.Now().Unix()})
}

// finish ends e with its answer.
func (s *shard) finish(e *entry, a *Answer) {
	kept := !a.NotKept && len(a.Body) <= s.m.opts.MaxAnswer
	s.mu.Lock()
	if kept {
		e.answer = a
		e.cost = a.size() + entryOverhead
	} else {
		e.err = answerNotKept()
		s.forget(e)
	}
	s.setEnd(e, endRan)
	s.ended(e)
	keep := kept && !s.closed
	s.mu.Unlock()
	if keep {
		s.m.answers.add(s, e, time.Now().Add(s.m.opts.AnswerRetention))
	}
}

// fail ends e without an answer.
func (s *shard) fail(e *entry, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.err = err
	s.forget(e)
	switch verdict.Of(err) {
	case verdict.NotRun:
		s.setEnd(e, endNotRun)
	case verdict.Ran:
		s.setEnd(e, endRan)
	}
	s.ended(e)
}

// setEnd notes the end of a non-idempotent request with an intent; it becomes
// durable with a later write of the log. The caller holds mu.
func (s *shard) setEnd(e *entry, to end) {
	k, ok := s.known[e.hash]
	if !e.nonIdempotent || !ok {
		return
	}
	k.end = to
	s.known[e.hash] = k
	s.log.noteEnd(record{Key: e.hash, Fingerprint: k.fingerprint, At: k.at, End: to})
}

// ended wakes whoever joined e or drains the shard. The caller holds mu.
func (s *shard) ended(e *entry) {
	close(e.done)
	s.running--
	if s.running < 0 {
		panic(fmt.Sprintf("idem: shard %d: more ends than attempts", s.n))
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

// forget removes e from the entries. The caller holds mu.
func (s *shard) forget(e *entry) {
	if s.entries[e.hash] == e {
		delete(s.entries, e.hash)
		s.m.keys.Add(-1)
	}
}

// drop removes an entry whose answer is no longer kept.
func (s *shard) drop(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(e)
}

// remember stores what the log holds of a key. The caller holds mu.
func (s *shard) remember(r record) {
	if s.closed {
		return
	}
	if _, ok := s.known[r.Key]; !ok {
		s.m.keys.Add(1)
	}
	s.known[r.Key] = knownKey{fingerprint: r.Fingerprint, at: r.At, end: r.End}
}

// assertFree is the invariant that a key has at most one intent that may have
// been sent. The caller holds mu.
func (s *shard) assertFree(r record) {
	k, ok := s.known[r.Key]
	if ok && k.end != endNotRun && !s.m.expired(k.at) {
		panic(fmt.Sprintf("idem: shard %d: second intent of key %x", s.n, r.Key))
	}
}

// sweep forgets keys past their retention.
func (s *shard) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h, k := range s.known {
		if s.m.expired(k.at) {
			delete(s.known, h)
			s.m.keys.Add(-1)
		}
	}
}

// drain begins nothing new, waits until nothing runs and writes the ends.
func (s *shard) drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.signalIdle()
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		return fmt.Errorf("requests with keys still run: %w", ctx.Err())
	}
	return s.log.flush(ctx)
}

// resume begins requests again after a drain that did not succeed.
func (s *shard) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
	s.idle = make(chan struct{})
}

// close stops the log and drops the keys. Requests that run go on and end by
// their entries; nothing new begins.
func (s *shard) close() {
	s.log.stop()
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		s.m.keys.Add(-int64(len(s.entries) + len(s.known)))
		s.entries, s.known = nil, nil
	}
	s.mu.Unlock()
	s.m.answers.forget(s)
}
