package kv

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fennelshunt.example/fennelshunt/connection/store"
)

// lease is a lease with the keys bound to it. timer fires at until or earlier.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	until time.Time
	keys  map[string]struct{}
}

// GrantLease implements store.Store.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ttl <= 0 {
		return 0, fmt.Errorf("grant lease: time to live %v is not positive", ttl)
	}
	var id store.LeaseID
	err := m.call(ctx, callGrant, func() error {
		m.lastLease++
		id = m.lastLease
		granted := id
		m.leases[id] = &lease{
			ttl:   ttl,
			until: time.Now().Add(ttl),
			keys:  make(map[string]struct{}),
			timer: time.AfterFunc(ttl, func() { m.expire(granted) }),
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// RenewLease implements store.Store.
func (m *Memory) RenewLease(ctx context.Context, id store.LeaseID) error {
	return m.call(ctx, callRenew, func() error {
		l := m.leases[id]
		if l == nil || !time.Now().Before(l.until) {
			return fmt.Errorf("renew lease %d: %w", id, store.ErrLeaseLost)
		}
		l.until = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		return nil
	})
}

// RevokeLease implements store.Store.
func (m *Memory) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return m.call(ctx, callRevoke, func() error {
		if m.leases[id] == nil {
			return fmt.Errorf("revoke lease %d: %w", id, store.ErrLeaseLost)
		}
		m.end(id)
		return nil
	})
}

// expire ends a lease when its timer fires, unless a renewal has extended it meanwhile or
// Faults.FreezeLeases keeps it.
func (m *Memory) expire(id store.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.leases[id]
	if l == nil {
		return
	}
	if left := time.Until(l.until); left > 0 {
		l.timer.Reset(left)
		return
	}
	if m.faults.Down && m.faults.FreezeLeases {
		l.until = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		return
	}
	m.end(id)
}

// end removes a lease and the keys bound to it, in key order.
func (m *Memory) end(id store.LeaseID) {
	l := m.leases[id]
	l.timer.Stop()
	delete(m.leases, id)
	keys := make([]string, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		if e, ok := m.entries.Get(store.Entry{Key: key}); ok && e.Lease == id {
			m.remove(e)
		}
	}
}
