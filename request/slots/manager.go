package slots

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/verdict"
)

// holderTick is how often holders check whether a renewal or a retry is due.
const holderTick = 100 * time.Millisecond

// recentMemberWindow is how long a member that is no longer listed still counts towards the
// majority that a new owner needs; it is longer than a store lease and a takeover together.
const recentMemberWindow = 5 * time.Minute

// Manager is one daemon's part in sharing the slots of all services: a holder for every service,
// and a pool for each service that it owns. It implements Acquirer, and ownership.Handler for
// ownership.ServicePrefix, and receives plan.State.
type Manager struct {
	opts      Options
	ctx       context.Context
	cancel    context.CancelFunc
	endpoints *endpoints
	notices   *notices
	counts    Counters
	limits    *limits

	mu        sync.Mutex
	holders   map[string]*holder
	pools     map[string]*pool
	handovers map[string]*handover        // credit records of pools that this daemon no longer owns
	roster    map[peer.MemberID]bool      // members at the time when the lease was last fresh
	recent    map[peer.MemberID]time.Time // when each member was last listed
}

var (
	_ Acquirer          = (*Manager)(nil)
	_ ownership.Handler = (*Manager)(nil)
)

// New returns a manager and registers its peer methods.
func New(opts Options) *Manager {
	opts.setDefaults()
	m := &Manager{
		opts: opts, endpoints: newEndpoints(), limits: newLimits(opts.RequestLimit),
		holders: map[string]*holder{}, pools: map[string]*pool{}, handovers: map[string]*handover{},
		roster: map[peer.MemberID]bool{}, recent: map[peer.MemberID]time.Time{},
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.notices = newNotices(m)
	opts.Registrar.Handle(methodReport, m.handleReport)
	opts.Registrar.Handle(methodPush, m.handlePush)
	opts.Registrar.Handle(methodLeaving, m.handleLeaving)
	return m
}

// Serve runs renewals and retries until ctx ends; then every pool stops.
func (m *Manager) Serve(ctx context.Context) error {
	defer m.cancel()
	t := time.NewTicker(holderTick)
	defer t.Stop()
	for {
		changed := m.opts.Directory.Changed()
		m.followOwners()
		m.updateRoster()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-t.C:
			now := time.Now()
			for _, h := range m.allHolders() {
				h.tick(now)
			}
		}
	}
}

// Acquire implements Acquirer.
func (m *Manager) Acquire(ctx context.Context, service string) (Slot, error) {
	h := m.holder(service)
	if h == nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusNotFound, Code: CodeUnknownService, Err: errUnknownService}
	}
	return h.acquire(ctx)
}

// Saturated reports whether requests wait here because all slots of the service are in use, over all
// daemons. The pool's last announcement of that can only be outdated while no request waits.
func (m *Manager) Saturated(service string) bool {
	h := m.holder(service)
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contended && h.waiters.Len() > 0
}

// Apply takes a partition's state from the cell's view.
func (m *Manager) Apply(s plan.State) {
	m.refresh(m.endpoints.apply(s))
}

// MarkLeaving records the first notice that the endpoint at the address is leaving and notifies
// every daemon. From then on this daemon sends no new request to it.
func (m *Manager) MarkLeaving(address string) {
	if m.applyNotice(address) {
		m.notices.broadcast(address)
	}
}

// applyNotice applies a leaving notice; it returns false when the notice was known.
func (m *Manager) applyNotice(address string) bool {
	changed, isNew := m.endpoints.markLeaving(address)
	m.refresh(changed)
	return isNew
}

// refresh passes changed endpoint lists to the holders and pools.
func (m *Manager) refresh(services map[string]bool) {
	for service := range services {
		list := m.endpoints.of(service)
		if h := m.holder(service); h != nil {
			h.setEndpoints(list)
		}
		if p := m.pool(service); p != nil {
			p.post(func() { p.setEndpoints(m.endpoints.of(service), false) })
		}
	}
}

// holder returns the holder of a service, nil for an unknown service.
func (m *Manager) holder(service string) *holder {
	m.mu.Lock()
	h, ok := m.holders[service]
	m.mu.Unlock()
	if ok {
		return h
	}
	if _, ok := m.opts.RequestLimit(service); !ok {
		return nil
	}
	list := m.endpoints.of(service)
	m.mu.Lock()
	defer m.mu.Unlock()
	if h, ok := m.holders[service]; ok {
		return h
	}
	h = newHolder(m, service)
	h.endpoints = list
	m.holders[service] = h
	if claim, ok := m.opts.Directory.Owner(serviceResource(service)); ok {
		h.setOwner(claim)
	}
	return h
}

func (m *Manager) allHolders() []*holder {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*holder, 0, len(m.holders))
	for _, h := range m.holders {
		out = append(out, h)
	}
	return out
}

func (m *Manager) pool(service string) *pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools[service]
}

// followOwners passes new owners to the holders.
func (m *Manager) followOwners() {
	for _, h := range m.allHolders() {
		if claim, ok := m.opts.Directory.Owner(serviceResource(h.service)); ok {
			h.setOwner(claim)
		}
	}
}

// leaseFresh reports whether it is certain that no other daemon has taken over this daemon's
// claims.
func (m *Manager) leaseFresh() bool {
	return m.opts.LeaseRenewed == nil || time.Since(m.opts.LeaseRenewed()) < m.opts.LeaseFresh
}

// updateRoster records the members while the lease is fresh.
func (m *Manager) updateRoster() {
	if !m.leaseFresh() {
		return
	}
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.roster)
	m.roster[m.opts.Self.ID] = true
	for _, member := range m.opts.Members.Members() {
		m.roster[member.ID] = true
		m.recent[member.ID] = now
	}
	for id, at := range m.recent {
		if now.Sub(at) > recentMemberWindow {
			delete(m.recent, id)
		}
	}
}

// Acquired implements ownership.Handler.
func (m *Manager) Acquired(_ context.Context, g ownership.Grant) {
	service := strings.TrimPrefix(string(g.Resource), ownership.ServicePrefix)
	p := newPool(m, service, g.Claim)
	p.beginTakeover(g)
	p.setEndpoints(m.endpoints.of(service), true)
	m.mu.Lock()
	old := m.pools[service]
	m.pools[service] = p
	m.mu.Unlock()
	if old != nil {
		old.cancel()
	}
	go p.run()
	if p.takeover != nil {
		go p.collect()
	}
	if h := m.holder(service); h != nil {
		h.setOwner(g.Claim)
	}
}

// Lost implements ownership.Handler. The credit records are kept for the next owner.
func (m *Manager) Lost(r ownership.Resource, epoch uint64) {
	service := strings.TrimPrefix(string(r), ownership.ServicePrefix)
	if p := m.pool(service); p != nil && p.epoch <= epoch {
		m.freezePool(context.Background(), p)
	}
}

// Releasing implements ownership.Handler.
func (m *Manager) Releasing(ctx context.Context, r ownership.Resource) error {
	service := strings.TrimPrefix(string(r), ownership.ServicePrefix)
	if p := m.pool(service); p != nil {
		m.freezePool(ctx, p)
	}
	return nil
}

// freezePool freezes a pool and keeps its credit records.
func (m *Manager) freezePool(ctx context.Context, p *pool) {
	frozen := make(chan *handover, 1)
	var records *handover
	if p.do(ctx, func() { frozen <- p.freeze() }) {
		records = <-frozen
	}
	p.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools[p.service] == p {
		delete(m.pools, p.service)
	}
	if records != nil {
		m.handovers[p.service] = records
	}
}

// settled reports to the ownership manager that earlier owners are accounted for.
func (m *Manager) settled(c ownership.Claim) {
	if m.opts.Settle == nil {
		return
	}
	go func() {
		if err := m.opts.Settle(m.ctx, c); err != nil {
			m.opts.Log.Warn().Err(err).Str("resource", string(c.Resource)).Msg("could not record that earlier owners are accounted for; the next owner must account for them again")
		}
	}()
}

// majority reports whether the set holds more than half of the members at the time when this
// daemon's store lease was last fresh.
func (m *Manager) majority(set map[peer.MemberID]bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return moreThanHalf(m.roster, set)
}

// recentMajority is majority over the members of the last recentMemberWindow, so that it
// overlaps with a majority of an owner that was disconnected in that time.
func (m *Manager) recentMajority(set map[peer.MemberID]bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return moreThanHalf(m.recent, set)
}

func moreThanHalf[V any](of map[peer.MemberID]V, set map[peer.MemberID]bool) bool {
	n := 0
	for id := range of {
		if set[id] {
			n++
		}
	}
	return n*2 > len(of)
}

func (m *Manager) handleReport(ctx context.Context, from peer.Ref, payload []byte) (any, error) {
	var r report
	if err := peer.Unmarshal(payload, &r); err != nil {
		return nil, fmt.Errorf("slots.report: %w", err)
	}
	return m.deliverReport(ctx, from, r)
}

// errPoolStopped means that the pool may have processed a report, but has stopped answering.
var errPoolStopped = errors.New("slots: the pool has stopped")

func (m *Manager) deliverReport(ctx context.Context, from peer.Ref, r report) (reply, error) {
	p := m.pool(r.Service)
	claim, _ := m.opts.Directory.Owner(serviceResource(r.Service))
	if p == nil || p.epoch != r.Epoch {
		return reply{Status: statusNotOwner, Claim: claim}, nil
	}
	var out reply
	if !p.do(ctx, func() { out = p.report(from, r) }) {
		return reply{}, errPoolStopped
	}
	return out, nil
}

func (m *Manager) handlePush(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
	var msg push
	if err := peer.Unmarshal(payload, &msg); err != nil {
		return nil, fmt.Errorf("slots.push: %w", err)
	}
	return m.deliverPush(msg), nil
}

func (m *Manager) deliverPush(msg push) pushReply {
	h := m.holder(msg.Service)
	if h == nil {
		return pushReply{Status: statusNotOwner}
	}
	if p := m.pool(msg.Service); p != nil && p.epoch < msg.Terms.Epoch {
		m.freezePool(m.ctx, p)
	}
	out := h.applyPush(msg)
	if msg.Collect && out.Status == statusOK {
		m.mu.Lock()
		out.Pool = m.handovers[msg.Service]
		m.mu.Unlock()
	}
	return out
}

// callReport sends a report; a pool on this daemon is called directly.
func (m *Manager) callReport(ctx context.Context, to peer.Ref, r report) (reply, error) {
	if to == m.opts.Self {
		return m.deliverReport(ctx, to, r)
	}
	var out reply
	err := m.opts.Caller.Call(ctx, to, methodReport, r, &out)
	return out, err
}

func (m *Manager) callPush(ctx context.Context, to peer.Ref, msg push) (pushReply, error) {
	if to == m.opts.Self {
		return m.deliverPush(msg), nil
	}
	var out pushReply
	err := m.opts.Caller.Call(ctx, to, methodPush, msg, &out)
	return out, err
}
