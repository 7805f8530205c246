package daemon

import (
	"context"
	"time"

	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/ownership"
)

const (
	// successorWait bounds the wait until other daemons have claimed the released
	// resources.
	successorWait = 8 * time.Second
	// successorLinger is how long the daemon still answers its successors' calls
	// after the last claim.
	successorLinger = time.Second
)

// ownedNow returns the claims that this daemon holds.
func (inc *incarnation) ownedNow() []ownership.Claim {
	var claims []ownership.Claim
	for _, prefix := range []string{ownership.PartitionPrefix, ownership.ShardPrefix, ownership.ServicePrefix, ownership.KeysPrefix} {
		claims = append(claims, inc.owners.Owned(prefix)...)
	}
	return claims
}

// awaitSuccessors waits until other daemons have claimed the resources that this
// daemon released, and then for successorLinger.
//
// The new owner of a slot pool asks its predecessor for the credit records. If the
// predecessor has exited, every slot that it may have granted counts as in use until
// its credits and the requests' time limit have expired, and callers wait for some
// 18 s after each step of a rolling upgrade.
func (inc *incarnation) awaitSuccessors(ctx context.Context, transferred []ownership.Claim) {
	ctx, cancel := context.WithTimeout(ctx, successorWait)
	defer cancel()
	for {
		changed := inc.owners.Changed()
		if !inc.peersAlive() || inc.succeeded(transferred) {
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

// peersAlive reports whether there is another daemon that can claim resources.
func (inc *incarnation) peersAlive() bool {
	for _, m := range inc.fleet.Members() {
		if m.Ref != inc.self && m.State == fleet.Alive {
			return true
		}
	}
	return false
}

// succeeded reports whether every claim has a later owner.
func (inc *incarnation) succeeded(transferred []ownership.Claim) bool {
	for _, c := range transferred {
		if now, ok := inc.owners.Owner(c.Resource); !ok || now.Epoch <= c.Epoch {
			return false
		}
	}
	return true
}
