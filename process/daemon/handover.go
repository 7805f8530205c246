package daemon

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/ownership"
)

const (
	// successorWait bounds the wait for the claims of what was handed over.
	successorWait = 8 * time.Second
	// successorLinger is how long the daemon still answers its successors'
	// questions after the last claim.
	successorLinger = time.Second
)

// ownedNow returns the claims that this daemon holds.
func (l *life) ownedNow() []ownership.Claim {
	var claims []ownership.Claim
	for _, prefix := range []string{ownership.PartitionPrefix, ownership.ShardPrefix, ownership.ServicePrefix, ownership.KeysPrefix} {
		claims = append(claims, l.owners.Owned(prefix)...)
	}
	return claims
}

// awaitSuccessors waits until somebody has claimed what this daemon handed
// over, and then a little longer.
//
// What goes wrong otherwise: the new owner of a slot pool asks its predecessor
// for the books; if that is gone already, every slot that it may have granted
// counts as taken until its credits and the requests' limit have run out, and
// callers wait for some 18 s after an upgrade's step.
func (l *life) awaitSuccessors(ctx context.Context, handed []ownership.Claim) {
	ctx, cancel := context.WithTimeout(ctx, successorWait)
	defer cancel()
	for {
		changed := l.owners.Changed()
		if !l.othersAlive() || l.succeeded(handed) {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(successorLinger):
	}
}

// othersAlive reports whether another daemon can claim anything.
func (l *life) othersAlive() bool {
	for _, m := range l.fleet.Members() {
		if m.Ref != l.self && m.State == fleet.Alive {
			return true
		}
	}
	return false
}

// succeeded reports whether every claim has a later owner.
func (l *life) succeeded(handed []ownership.Claim) bool {
	for _, c := range handed {
		if now, ok := l.owners.Owner(c.Resource); !ok || now.Epoch <= c.Epoch {
			return false
		}
	}
	return true
}
