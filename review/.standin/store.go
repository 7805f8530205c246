package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platformStore is the store of PROTOCOL.md ("The platform's metadata store"), in memory. It loses nothing
// and answers at once.
type platformStore struct {
	addr string

	mu        sync.Mutex
	rev       uint64
	entries   map[string]entry
	history   []entry // the last historySize changes; value nil for a removal
	forgotten uint64  // changes up to this revision are not in history any more
	changed   chan struct{}
	leases    map[uint64]*lease
	lastLease uint64
}

type entry struct {
	key               string
	value             []byte
	revision, created uint64
	lease             uint64
	tombstone         bool
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

const (
	historySize = 20_000
	rangePage   = 500
)

func newPlatformStore() (*platformStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &platformStore{addr: l.Addr().String(), rev: 1, entries: map[string]entry{}, changed: make(chan struct{}), leases: map[uint64]*lease{}}
	go func() { _ = http.Serve(l, s) }() // until the process ends
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

// put writes a value as the platform or its operator does.
func (s *platformStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data, 0)
	s.wake()
}

func (s *platformStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.unset(key)
	s.wake()
}

// set, unset and wake are called with s.mu held; all changes of one call have one revision.
func (s *platformStore) set(key string, value []byte, lease uint64) {
	e := entry{key: key, value: value, revision: s.rev, created: s.rev, lease: lease}
	if old, ok := s.entries[key]; ok {
		e.created = old.created
	}
	s.entries[key] = e
	s.history = append(s.history, e)
}

func (s *platformStore) unset(key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	s.history = append(s.history, entry{key: key, revision: s.rev, tombstone: true})
}

func (s *platformStore) wake() {
	if excess := len(s.history) - historySize; excess > 0 {
		s.forgotten = s.history[excess-1].revision
		s.history = slices.Delete(s.history, 0, excess)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose time is over, and endLease ends one; its keys are removed.
func (s *platformStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *platformStore) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for key, e := range s.entries {
		if e.lease == id {
			s.unset(key)
		}
	}
	s.wake()
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a caller that has left needs no answer
}

func (e entry) item() map[string]any {
	if e.tombstone {
		return map[string]any{"key": e.key, "revision": e.revision, "tombstone": true}
	}
	return map[string]any{"key": e.key, "value": e.value, "revision": e.revision, "created": e.created, "lease": e.lease}
}

func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch path := strings.TrimPrefix(r.URL.Path, "/fennelshunt/"); {
	case path == "kv-key":
		s.mu.Lock()
		e, ok := s.entries[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{"store_revision": rev})
			return
		}
		out := e.item()
		out["store_revision"] = rev
		answer(w, http.StatusOK, out)
	case path == "kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case path == "kv-txn":
		s.serveTxn(w, r)
	case path == "kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 { // ttl_min_ms
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.mu.Lock()
		s.lastLease++
		id := s.lastLease
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTL})
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		_, text, _ := strings.Cut(path, "/")
		id, _ := strconv.ParseUint(text, 10, 64)
		s.mu.Lock()
		l, ok := s.leases[id]
		switch {
		case ok && r.Method == http.MethodDelete:
			s.endLease(id)
		case ok:
			l.until = time.Now().Add(l.ttl)
		}
		s.mu.Unlock()
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func (s *platformStore) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := []map[string]any{}
	for _, key := range keys[:min(len(keys), rangePage)] {
		page = append(page, s.entries[key].item())
	}
	rev := s.rev
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": page, "truncated": len(keys) > rangePage, "store_revision": rev})
}

func (s *platformStore) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	for late := wait <= 0; ; {
		s.mu.Lock()
		events, rev, changed, gone := []map[string]any{}, s.rev, s.changed, after < s.forgotten
		from, _ := slices.BinarySearchFunc(s.history, after+1, func(e entry, rev uint64) int { return int(int64(e.revision) - int64(rev)) })
		for _, e := range s.history[from:] {
			if strings.HasPrefix(e.key, prefix) {
				events = append(events, e.item())
			}
		}
		s.mu.Unlock()
		switch {
		case gone:
			answer(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0 || late:
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			late = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Set)+len(in.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, body := http.StatusOK, map[string]any{}
	present := []map[string]any{}
	for _, c := range in.Expected {
		e, ok := s.entries[c.Key]
		if ok {
			present = append(present, e.item())
		}
		if e.revision != c.Revision { // 0 for a key that does not exist
			status = http.StatusPreconditionFailed
		}
	}
	for _, x := range in.Set {
		if status == http.StatusOK && x.Lease != 0 && s.leases[x.Lease] == nil {
			status = http.StatusNotFound
		}
	}
	switch status {
	case http.StatusOK:
		s.rev++
		for _, x := range in.Set {
			s.set(x.Key, x.Value, x.Lease)
		}
		for _, key := range in.Remove {
			s.unset(key)
		}
		body["revision"] = s.rev
		s.wake()
	case http.StatusPreconditionFailed:
		body["items"] = present
	}
	s.mu.Unlock()
	answer(w, status, body)
}
