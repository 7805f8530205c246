package slots

import (
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/process/plan"
)

// leavingKept is how long the sign of a leaving address is kept after it was
// last seen; by then the partition's owner lists the endpoint as leaving.
const leavingKept = 10 * time.Minute

// earlySignKept is how long a sign is kept for an address that no partition
// lists yet: the sign may overtake the list. It is short, because a later
// instance may get the same address.
const earlySignKept = 10 * time.Second

// endpoints merges the partitions' lists and the signs of leaving.
type endpoints struct {
	mu         sync.Mutex
	partitions map[string]partitionList
	leaving    map[instanceID]time.Time
	early      map[string]time.Time // signs for addresses not listed yet
}

type partitionList struct {
	epoch, seq uint64
	list       []plan.Endpoint
}

func newEndpoints() *endpoints {
	return &endpoints{partitions: map[string]partitionList{}, leaving: map[instanceID]time.Time{}, early: map[string]time.Time{}}
}

// apply takes a partition's state and returns the services whose list changed.
func (t *endpoints) apply(s plan.State) map[string]bool {
	if !s.EndpointsChanged {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.partitions[s.Partition]
	if s.Epoch < old.epoch || s.Epoch == old.epoch && s.Seq < old.seq {
		return nil
	}
	t.partitions[s.Partition] = partitionList{epoch: s.Epoch, seq: s.Seq, list: s.Endpoints}
	changed := map[string]bool{}
	for _, list := range [][]plan.Endpoint{old.list, s.Endpoints} {
		for i := range list {
			changed[list[i].Service] = true
		}
	}
	t.expire(time.Now())
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		if _, ok := t.early[e.Address]; ok {
			t.leaving[instanceOf(e)] = time.Now()
		}
	}
	return changed
}

// markLeaving notes the sign for every instance at the address and returns the
// services concerned, and whether the sign is news.
func (t *endpoints) markLeaving(address string) (map[string]bool, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := map[string]bool{}
	listed := false
	for _, p := range t.partitions {
		for i := range p.list {
			e := &p.list[i]
			id := instanceOf(e)
			if e.Address != address {
				continue
			}
			if _, ok := t.leaving[id]; !ok {
				changed[e.Service] = true
			}
			t.leaving[id] = time.Now()
			listed = true
		}
	}
	if listed {
		return changed, len(changed) > 0
	}
	_, known := t.early[address]
	t.early[address] = time.Now()
	return nil, !known
}

func (t *endpoints) expire(now time.Time) {
	for id, at := range t.leaving {
		if now.Sub(at) > leavingKept {
			delete(t.leaving, id)
		}
	}
	for address, at := range t.early {
		if now.Sub(at) > earlySignKept {
			delete(t.early, address)
		}
	}
}

// of returns the service's instances by id, signs of leaving applied.
func (t *endpoints) of(service string) map[instanceID]plan.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[instanceID]plan.Endpoint{}
	for _, p := range t.partitions {
		for _, e := range p.list {
			if e.Service != service || e.Address == "" {
				continue
			}
			id := instanceOf(&e)
			if _, ok := t.leaving[id]; ok {
				e.Leaving = true
			}
			out[id] = e
		}
	}
	return out
}
