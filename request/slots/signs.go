package slots

import (
	"context"
	"fmt"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// signRetry is the pause between two tries to tell a daemon of a leaving
	// endpoint; several fit into the 3 s within which all must know.
	signRetry = 300 * time.Millisecond
	// signTimeout ends the tries; by then the partition's owner tells.
	signTimeout = 30 * time.Second
)

// signs spreads signs of leaving to the other daemons.
type signs struct{ m *Manager }

func newSigns(m *Manager) *signs { return &signs{m: m} }

// spread tells every member, each until it answers.
func (s *signs) spread(address string) {
	for _, member := range s.m.opts.Members.Members() {
		if member.Ref != s.m.opts.Self {
			go s.tell(member.Ref, address)
		}
	}
}

func (s *signs) tell(to peer.Ref, address string) {
	ctx, cancel := context.WithTimeout(s.m.ctx, signTimeout)
	defer cancel()
	for ctx.Err() == nil && !s.m.opts.Members.Gone(to) {
		if s.tryTell(ctx, to, address) == nil {
			return
		}
		_ = sleep.For(ctx, signRetry) // the loop looks at ctx
	}
}

func (s *signs) tryTell(ctx context.Context, to peer.Ref, address string) error {
	ctx, cancel := context.WithTimeout(ctx, signRetry)
	defer cancel()
	return s.m.opts.Caller.Call(ctx, to, methodLeaving, leavingSign{Address: address}, nil)
}

func (m *Manager) handleLeaving(_ context.Context, _ peer.Ref, payload []byte) (any, error) {
	var sign leavingSign
	if err := peer.Unmarshal(payload, &sign); err != nil {
		return nil, fmt.Errorf("slots.leaving: %w", err)
	}
	m.leaving(sign.Address)
	return nil, nil
}
