package kv

import (
	"encoding/json"
	"errors"
	"net/http"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/connection/store/wire"
)

// method handles one kind of call of the protocol.
type method func(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error)

// Handler serves s over the protocol of package wire. If s returns
// ErrUnknownOutcome, the connection is closed without a response, as it is when the
// response of a real service is lost.
func Handler(s store.Store) http.Handler {
	mux := http.NewServeMux()
	for path, m := range map[string]method{
		wire.PathGet: get, wire.PathList: list, wire.PathPut: put, wire.PathDelete: remove,
		wire.PathWatch: watch, wire.PathGrant: grant, wire.PathRenew: renew, wire.PathRevoke: revoke,
	} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { serve(s, m, w, r) })
	}
	return mux
}

func serve(s store.Store, m method, w http.ResponseWriter, r *http.Request) {
	var req wire.Request
	body := http.MaxBytesReader(w, r.Body, wire.MaxRequestSize)
	if err := json.NewDecoder(body).Decode(&req); err != nil {
		refuse(w, bodyError(err))
		return
	}
	reply, err := m(s, r, req)
	if errors.Is(err, store.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return store.ErrTooLarge
	}
	return err
}

func refuse(w http.ResponseWriter, err error) {
	status, failure := store.EncodeRefusal(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(failure)
}

func get(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	e, err := s.Get(r.Context(), req.Key)
	return wire.Reply{Entries: []wire.Entry{wireEntry(e, false)}}, err
}

func list(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	entries, rev, err := s.List(r.Context(), req.Key)
	reply := wire.Reply{Revision: uint64(rev)}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, wireEntry(e, false))
	}
	return reply, err
}

func put(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	rev, err := s.Put(r.Context(), req.Key, req.Value, store.Revision(req.Prev), store.LeaseID(req.Lease))
	return wire.Reply{Revision: uint64(rev)}, err
}

func remove(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	return wire.Reply{}, s.Delete(r.Context(), req.Key, store.Revision(req.Prev))
}

func watch(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	events, rev, err := s.Watch(r.Context(), req.Key, store.Revision(req.After), req.Wait())
	reply := wire.Reply{Revision: uint64(rev)}
	for _, e := range events {
		reply.Entries = append(reply.Entries, wireEntry(e.Entry, e.Deleted))
	}
	return reply, err
}

func grant(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	id, err := s.GrantLease(r.Context(), req.TTL())
	return wire.Reply{Lease: uint64(id)}, err
}

func renew(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	return wire.Reply{}, s.RenewLease(r.Context(), store.LeaseID(req.Lease))
}

func revoke(s store.Store, r *http.Request, req wire.Request) (wire.Reply, error) {
	return wire.Reply{}, s.RevokeLease(r.Context(), store.LeaseID(req.Lease))
}

func wireEntry(e store.Entry, deleted bool) wire.Entry {
	return wire.Entry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Lease: uint64(e.Lease), Deleted: deleted}
}
