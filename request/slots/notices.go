package slots

import (
	"context"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// noticeRetryInterval is the pause between two attempts to notify a daemon of a leaving
	// endpoint; several attempts fit into the 3 s within which all daemons must have been
	// notified.
	noticeRetryInterval = 300 * time.Millisecond
	// noticeTimeout ends the attempts; by then the partition's owner lists the endpoint as
	// leaving.
	noticeTimeout = 30 * time.Second
)

// notices sends leaving notices to the other daemons.
type notices struct{ m *Manager }

func newNotices(m *Manager) *notices { return &notices{m: m} }

// broadcast notifies every member, and retries each until it answers.
func (s *notices) broadcast(address string) {
	for _, member := range s.m.opts.Members.Members() {
		if member.Ref != s.m.opts.Self {
			go s.notify(member.Ref, address)
		}
	}
}

func (s *notices) notify(to peer.Ref, address string) {
	ctx, cancel := context.WithTimeout(s.m.ctx, noticeTimeout)
	defer cancel()
	for ctx.Err() == nil && !s.m.opts.Members.HasEnded(to) {
		if s.tryNotify(ctx, to, address) == nil {
			return
		}
		_ = sleep.For(ctx, noticeRetryInterval) // the loop condition checks ctx
	}
}

func (s *notices) tryNotify(ctx context.Context, to peer.Ref, address string) error {
	ctx, cancel := context.WithTimeout(ctx, noticeRetryInterval)
	defer cancel()
	return s.m.opts.Caller.Call(ctx, to, methodLeaving, leavingNotice{Address: address}, nil)
}

func (m *Manager) handleLeaving(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
	var notice leavingNotice
	if err := peer.Unmarshal(payload, &notice); err != nil {
		return nil, fmt.Errorf("slots.leaving: %w", err)
	}
	m.applyNotice(notice.Address)
	return nil, nil
}
