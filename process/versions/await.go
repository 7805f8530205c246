package versions

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/fleet"
)

const (
	// PropagationLimit is the time within which an applied version is to be in
	// force on every daemon.
	PropagationLimit = 9 * time.Second
	// awaitWait is how long the called daemon waits before it answers a call.
	awaitWait = 3 * time.Second
	// awaitPause is the pause after a failed call.
	awaitPause = 200 * time.Millisecond
	// maxAwait bounds the wait that a peer may request.
	maxAwait = 10 * time.Second
)

// MemberVersion is the version that a member has in force.
type MemberVersion struct {
	Member peer.MemberID `json:"member"`
	Zone   string        `json:"zone"`
	State  fleet.State   `json:"state"`
	// Version is the latest version known to be in force there.
	Version uint64 `json:"version"`
	// Known is false when nothing has been received from or about the member yet.
	Known bool `json:"heard"`
}

// InForce returns for each member the latest version known to be in force
// there, 0 if nothing is known.
func (r *Replicator) InForce() map[peer.MemberID]uint64 {
	versions := make(map[peer.MemberID]uint64)
	for _, m := range r.Members() {
		versions[m.Member] = m.Version
	}
	return versions
}

// Members returns what is known of each member, sorted by ID.
func (r *Replicator) Members() []MemberVersion { return r.versionsOf(r.options.Fleet.Members()) }

// versionsOf returns what is known of each of the current members.
func (r *Replicator) versionsOf(members []fleet.Member) []MemberVersion {
	r.observed.retain(members)
	known := make([]MemberVersion, 0, len(members))
	for _, m := range members {
		known = append(known, r.memberVersion(m))
	}
	return known
}

func (r *Replicator) memberVersion(m fleet.Member) MemberVersion {
	v := MemberVersion{Member: m.ID, Zone: m.Zone, State: m.State}
	if m.ID == r.options.Fleet.Self().ID {
		v.Version, v.Known = r.current.Load().Version, r.isLoaded()
		return v
	}
	s, ok := r.observed.of(m.Ref)
	v.Version, v.Known = s.Version, ok
	return v
}

// Await waits until every member has the version in force, or ctx ends, and
// returns what is known of each then. Members below the version lag. Daemons that
// join meanwhile, or that this daemon learns of late, are members as well.
func (r *Replicator) Await(ctx context.Context, version uint64) []MemberVersion {
	awaited, waiting := map[peer.Ref]bool{}, 0
	done := make(chan struct{})
	for {
		changed := r.options.Fleet.Changed()
		members := r.options.Fleet.Members()
		for _, m := range members {
			if awaited[m.Ref] {
				continue
			}
			awaited[m.Ref] = true
			waiting++
			go func() {
				r.awaitMember(ctx, m, version)
				done <- struct{}{}
			}()
		}
		if waiting == 0 {
			return r.versionsOf(members)
		}
		select {
		case <-done:
			waiting--
		case <-changed:
		}
	}
}

// Lagging returns those of members that do not have the version in force.
func Lagging(members []MemberVersion, version uint64) []MemberVersion {
	return slices.DeleteFunc(slices.Clone(members), func(m MemberVersion) bool { return m.Version >= version })
}

// awaitMember waits for one member.
func (r *Replicator) awaitMember(ctx context.Context, m fleet.Member, version uint64) {
	if m.ID == r.options.Fleet.Self().ID {
		r.awaitSelf(ctx, version)
		return
	}
	for ctx.Err() == nil && !r.options.Fleet.HasEnded(m.Ref) {
		if s, ok := r.observed.of(m.Ref); ok && s.Version >= version {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, awaitWait+gossipTimeout)
		var reply Gossip
		err := r.options.Caller.Call(callCtx, m.Ref, MethodAwait, Await{Version: version, WaitMillis: awaitWait.Milliseconds()}, &reply)
		cancel()
		if err != nil {
			_ = sleep.For(ctx, awaitPause) // the loop checks ctx
			continue
		}
		r.merge(m.Ref, reply)
	}
}

// awaitSelf waits until the version is in force here.
func (r *Replicator) awaitSelf(ctx context.Context, version uint64) {
	for {
		changed := r.Changed()
		if r.current.Load().Version >= version {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// serveAwait handles MethodAwait: it answers once the version is in force here, or
// after the requested wait.
func (r *Replicator) serveAwait(ctx context.Context, _ peer.Ref, payload []byte) (any, error) {
	var request Await
	if err := peer.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	wait := min(max(time.Duration(request.WaitMillis)*time.Millisecond, 0), maxAwait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r.awaitSelf(ctx, request.Version)
	return r.gossip(true), nil
}

// Survey asks every member for its version and returns the answers, sorted by
// member, with what was known before of those that did not answer.
func (r *Replicator) Survey(ctx context.Context) []MemberVersion {
	self := r.options.Fleet.Self().ID
	limit := make(chan struct{}, surveyCalls)
	var asking sync.WaitGroup
	for _, m := range r.options.Fleet.Members() {
		if m.ID == self {
			continue
		}
		limit <- struct{}{}
		asking.Go(func() {
			defer func() { <-limit }()
			r.exchange(ctx, m.Ref, true)
		})
	}
	asking.Wait()
	members := r.Members()
	slices.SortFunc(members, func(a, b MemberVersion) int { return strings.Compare(string(a.Member), string(b.Member)) })
	return members
}

// surveyCalls is the number of members asked at a time.
const surveyCalls = 32
