package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
)

const (
	// syncTimeout bounds one fetch of a member list.
	syncTimeout = 3 * time.Second
	// disagreementTimeout is how long no peer may have had the same members as this daemon
	// before it fetches a list; differences due to deltas in transit are resolved sooner.
	disagreementTimeout = 5 * time.Second
	// syncInterval is the minimum time between fetches for that reason, and
	// infoInterval between fetches for the addresses of an incarnation.
	syncInterval = 15 * time.Second
	infoInterval = 2 * time.Second
	// seedInterval is the pause between two rounds of asking the seeds.
	seedInterval = time.Second
)

// compareDigest records that a peer has the same members, if so.
func (l *loop) compareDigest(theirs uint64) {
	if theirs == l.table.digest {
		l.lastAgree = time.Now()
	}
}

// considerSync fetches the whole list if deltas have not brought this daemon to agree with
// any peer, or if the addresses of an incarnation are unknown.
func (l *loop) considerSync(now time.Time) {
	if l.syncing || len(l.targets) == 0 {
		return
	}
	since := now.Sub(l.lastSync)
	disagree := now.Sub(l.lastAgree) > disagreementTimeout && since > syncInterval
	if !disagree && (since < infoInterval || !l.lacksInfo()) {
		return
	}
	l.syncing, l.lastSync = true, now
	target := l.table.entries[l.targets[rand.IntN(len(l.targets))]].ref()
	request := l.syncRequest()
	go l.fleet.syncWith(l.ctx, target, request)
}

func (l *loop) syncRequest() syncRequest {
	return syncRequest{Self: l.table.entries[l.fleet.self.ID].delta}
}

func (l *loop) lacksInfo() bool {
	for _, e := range l.table.entries {
		if e.Ended == NotEnded && e.Info == nil {
			return true
		}
	}
	return false
}

// synced is the outcome of a sync.
type synced struct {
	reply  syncReply
	failed bool
}

func (f *Fleet) syncWith(ctx context.Context, target peer.Ref, request syncRequest) {
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply syncReply
	err := f.options.Caller.Call(callCtx, target, methodSync, request, &reply)
	// An error of post means that the loop has ended.
	_ = f.post(ctx, synced{reply: reply, failed: err != nil})
}

func (s synced) apply(l *loop) {
	l.syncing = false
	if s.failed {
		return
	}
	l.fleet.stats.Syncs.Add(1)
	l.lastAgree = time.Now()
	for i, d := range s.reply.Members {
		if i == maxSyncMembers {
			break
		}
		l.merge(d, false)
	}
	l.fleet.markJoined()
}

// ownSyncRequest asks the loop for the syncRequest of this daemon.
type ownSyncRequest struct{ reply chan<- syncRequest }

func (s ownSyncRequest) apply(l *loop) { s.reply <- l.syncRequest() }

// join asks the seeds for the members until one of them, or the store, has answered.
// Otherwise a daemon that starts while the store is down would see no other members.
func (f *Fleet) join(ctx context.Context) error {
	if len(f.options.Seeds) == 0 || f.options.SeedCaller == nil {
		if f.options.Store == nil {
			f.markJoined()
		}
		return nil
	}
	for {
		for _, seed := range f.options.Seeds {
			if f.hasJoined() {
				return nil
			}
			f.syncWithSeed(ctx, seed)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.joined:
			return nil
		case <-time.After(seedInterval):
		}
	}
}

func (f *Fleet) syncWithSeed(ctx context.Context, seed string) {
	request := make(chan syncRequest, 1)
	if f.post(ctx, ownSyncRequest{reply: request}) != nil {
		return // the loop has ended
	}
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var reply syncReply
	who, err := f.options.SeedCaller.CallAddr(callCtx, seed, methodSync, <-request, &reply)
	if err != nil || who.ID == f.self.ID {
		return // the caller tries the next seed
	}
	// An error of post means that the loop has ended.
	_ = f.post(ctx, synced{reply: reply})
}

func (f *Fleet) hasJoined() bool {
	select {
	case <-f.joined:
		return true
	default:
		return false
	}
}

// markJoined is called from the loop, or before it runs.
func (f *Fleet) markJoined() { f.joinOnce.Do(func() { close(f.joined) }) }
