package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// storeServer serves the platform's store to one daemon, over the project's own in-memory store.
type storeServer struct {
	kv     *kv.Memory
	addr   string
	silent atomic.Bool // no call of this daemon is answered
}

// pageItems is how many items a page of a range holds: about 500, as PROTOCOL.md says.
const pageItems = 500

func newStoreServer(m *kv.Memory) (*storeServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &storeServer{kv: m, addr: l.Addr().String()}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func item(e store.Entry) map[string]any {
	return map[string]any{"key": e.Key, "value": e.Value, "revision": e.Revision, "created": e.Revision, "lease": e.Lease}
}

func items(all []store.Entry) []map[string]any {
	out := []map[string]any{}
	for _, e := range all {
		out = append(out, item(e))
	}
	return out
}

func (s *storeServer) refuse(w http.ResponseWriter, err error) {
	var conflict *store.ConflictError
	switch {
	case errors.As(err, &conflict):
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": items(conflict.Current)})
	case errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrLeaseLost):
		answer(w, http.StatusNotFound, map[string]any{})
	case errors.Is(err, store.ErrCompacted):
		answer(w, http.StatusGone, map[string]any{})
	default:
		answer(w, http.StatusServiceUnavailable, map[string]any{})
	}
}

func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	q, ctx := r.URL.Query(), r.Context()
	switch path := r.URL.Path; {
	case path == "/fennelshunt/kv-key":
		e, err := s.kv.Get(ctx, q.Get("key"))
		if err != nil {
			s.refuse(w, err)
			return
		}
		answer(w, http.StatusOK, item(e))
	case path == "/fennelshunt/kv-range":
		all, rev, err := s.kv.List(ctx, q.Get("prefix"))
		if err != nil {
			s.refuse(w, err)
			return
		}
		page, truncated := []store.Entry{}, false
		for _, e := range all {
			if e.Key <= q.Get("after") {
				continue
			}
			if len(page) == pageItems {
				truncated = true
				break
			}
			page = append(page, e)
		}
		answer(w, http.StatusOK, map[string]any{"items": items(page), "truncated": truncated, "store_revision": rev})
	case path == "/fennelshunt/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		events, rev, err := s.kv.Watch(ctx, q.Get("prefix"), store.Revision(after), time.Duration(wait)*time.Millisecond)
		if err != nil {
			s.refuse(w, err)
			return
		}
		out := []map[string]any{}
		for _, e := range events {
			if e.Deleted {
				out = append(out, map[string]any{"key": e.Key, "revision": e.Revision, "tombstone": true})
				continue
			}
			out = append(out, item(e.Entry))
		}
		answer(w, http.StatusOK, map[string]any{"events": out, "store_revision": rev})
	case path == "/fennelshunt/kv-txn":
		s.txn(w, r)
	case path == "/fennelshunt/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		id, err := s.kv.GrantLease(ctx, time.Duration(in.TTL)*time.Millisecond)
		if err != nil {
			s.refuse(w, err)
			return
		}
		answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTL})
	case strings.HasPrefix(path, "/fennelshunt/kv-keep/"), strings.HasPrefix(path, "/fennelshunt/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
		var err error
		if r.Method == http.MethodDelete {
			err = s.kv.RevokeLease(ctx, store.LeaseID(id))
		} else {
			err = s.kv.RenewLease(ctx, store.LeaseID(id))
		}
		if err != nil {
			s.refuse(w, err)
			return
		}
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *storeServer) txn(w http.ResponseWriter, r *http.Request) {
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
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := store.Txn{Deletes: in.Remove}
	for _, c := range in.Expected {
		t.Checks = append(t.Checks, store.Check{Key: c.Key, Revision: store.Revision(c.Revision)})
	}
	for _, x := range in.Set {
		t.Writes = append(t.Writes, store.Write{Key: x.Key, Value: x.Value, Lease: store.LeaseID(x.Lease)})
	}
	rev, err := s.kv.Commit(r.Context(), t)
	if err != nil {
		s.refuse(w, err)
		return
	}
	answer(w, http.StatusOK, map[string]any{"revision": rev})
}
