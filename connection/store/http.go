package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"fennelshunt.example/fennelshunt/connection/store/wire"
)

const (
	// maxReplySize bounds a reply, in bytes: a list may hold many values.
	maxReplySize    = 64 << 20
	maxIdleConns    = 16
	idleConnTimeout = 60 * time.Second
	dialTimeout     = 2 * time.Second
)

// HTTP is the Store over the HTTP+JSON protocol of package wire.
//
// It sends each call at most once. A transport that repeats a write over a new
// connection after the kept-alive one broke would conflict with its own first
// write and report a conflict for a write that took effect. So calls are POSTs
// whose body cannot be rewound, which net/http never repeats.
type HTTP struct {
	base   string
	client *http.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns the Store at baseURL, such as "http://127.0.0.1:2379". If client
// is nil, it uses one of its own. Redirects are not followed.
func NewHTTP(baseURL string, client *http.Client) *HTTP {
	if client == nil {
		client = &http.Client{Transport: newTransport()}
	}
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &HTTP{base: strings.TrimSuffix(baseURL, "/"), client: &own}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	reply, err := h.read(ctx, wire.PathGet, wire.Request{Key: key})
	if err != nil {
		return Entry{}, err
	}
	if len(reply.Entries) != 1 {
		return Entry{}, fmt.Errorf("get %s: %d entries in the reply: %w", key, len(reply.Entries), ErrUnavailable)
	}
	return entryOf(reply.Entries[0]), nil
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	reply, err := h.read(ctx, wire.PathList, wire.Request{Key: prefix})
	if err != nil {
		return nil, 0, err
	}
	entries := make([]Entry, len(reply.Entries))
	for i, e := range reply.Entries {
		entries[i] = entryOf(e)
	}
	return entries, Revision(reply.Revision), nil
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, prev Revision, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueSize {
		return 0, fmt.Errorf("put %s: %w", key, ErrTooLarge)
	}
	req := wire.Request{Key: key, Value: value, Prev: uint64(prev), Lease: uint64(lease)}
	reply, err := h.write(ctx, wire.PathPut, req)
	return Revision(reply.Revision), err
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, prev Revision) error {
	_, err := h.write(ctx, wire.PathDelete, wire.Request{Key: key, Prev: uint64(prev)})
	return err
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Event, Revision, error) {
	req := wire.Request{Key: prefix, After: uint64(after), WaitMillis: wait.Milliseconds()}
	reply, err := h.read(ctx, wire.PathWatch, req)
	if err != nil {
		return nil, 0, err
	}
	events := make([]Event, len(reply.Entries))
	for i, e := range reply.Entries {
		events[i] = Event{Entry: entryOf(e), Deleted: e.Deleted}
	}
	return events, Revision(reply.Revision), nil
}

// GrantLease implements Store.
func (h *HTTP) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	reply, err := h.write(ctx, wire.PathGrant, wire.Request{TTLMillis: ttl.Milliseconds()})
	return LeaseID(reply.Lease), err
}

// RenewLease implements Store.
func (h *HTTP) RenewLease(ctx context.Context, id LeaseID) error {
	_, err := h.write(ctx, wire.PathRenew, wire.Request{Lease: uint64(id)})
	return err
}

// RevokeLease implements Store.
func (h *HTTP) RevokeLease(ctx context.Context, id LeaseID) error {
	_, err := h.write(ctx, wire.PathRevoke, wire.Request{Lease: uint64(id)})
	return err
}

func entryOf(e wire.Entry) Entry {
	return Entry{Key: e.Key, Value: e.Value, Revision: Revision(e.Revision), Lease: LeaseID(e.Lease)}
}

func (h *HTTP) read(ctx context.Context, path string, req wire.Request) (wire.Reply, error) {
	return h.call(ctx, path, req, ErrUnavailable)
}

func (h *HTTP) write(ctx context.Context, path string, req wire.Request) (wire.Reply, error) {
	return h.call(ctx, path, req, ErrUnknownOutcome)
}

// call makes one call. lost is the error to return if the request may have reached
// the service but no answer of the service was received.
func (h *HTTP) call(ctx context.Context, path string, req wire.Request, lost error) (wire.Reply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return wire.Reply{}, fmt.Errorf("%s: %w: %w", path, errInvalid, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, h.base+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return wire.Reply{}, fmt.Errorf("%s: %w: %w", path, errInvalid, err)
	}
	httpReq.ContentLength = int64(len(body))
	httpReq.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(httpReq)
	if err != nil && !connected.Load() {
		return wire.Reply{}, fmt.Errorf("%s: %w: %w", path, ErrUnavailable, err)
	}
	if err != nil {
		return wire.Reply{}, fmt.Errorf("%s: %w: %w", path, lost, err)
	}
	return readReply(resp, path, lost)
}

// onceReader hides bytes.Reader from net/http, so that the request gets no
// GetBody and cannot be replayed.
type onceReader struct{ io.Reader }

func readReply(resp *http.Response, path string, lost error) (wire.Reply, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize+1))
	if err == nil && len(body) > maxReplySize {
		err = errors.New("reply too large")
	}
	if err != nil {
		return wire.Reply{}, fmt.Errorf("%s: %w: read reply: %w", path, lost, err)
	}
	if resp.StatusCode != http.StatusOK {
		if refused := decodeRefusal(body); refused != nil {
			return wire.Reply{}, fmt.Errorf("%s: %w", path, refused)
		}
		return wire.Reply{}, fmt.Errorf("%s: %w: status %s", path, lost, resp.Status)
	}
	var reply wire.Reply
	if err := json.Unmarshal(body, &reply); err != nil {
		return wire.Reply{}, fmt.Errorf("%s: %w: decode reply: %w", path, lost, err)
	}
	return reply, nil
}
