package slots

import (
	"sync"
	"time"

	"fennelshunt.example/fennelshunt/process/plan"
)

// leavingNoticeTTL is how long the leaving notice for an instance is kept after it was last
// received; by then the partition's owner lists the endpoint as leaving.
const leavingNoticeTTL = 10 * time.Minute

// earlyNoticeTTL is how long a notice is kept for an address that no partition lists yet,
// because the notice may arrive before the list. It is short, since a later instance may get the
// same address.
const earlyNoticeTTL = 10 * time.Second

// endpoints merges the endpoint lists of the partitions with the leaving notices.
type endpoints struct {
	mu           sync.Mutex
	partitions   map[string]partitionList
	leaving      map[instanceID]time.Time
	earlyNotices map[string]time.Time // notices for addresses not listed yet
}

type partitionList struct {
	epoch, seq uint64
	list       []plan.Endpoint
}

func newEndpoints() *endpoints {
	return &endpoints{partitions: map[string]partitionList{}, leaving: map[instanceID]time.Time{}, earlyNotices: map[string]time.Time{}}
}

// apply stores a partition's state and returns the services whose list changed.
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
		if _, ok := t.earlyNotices[e.Address]; ok {
			t.leaving[instanceOf(e)] = time.Now()
		}
	}
	return changed
}

// markLeaving records the notice for every instance at the address. It returns the services
// affected, and whether the notice is new.
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
	_, known := t.earlyNotices[address]
	t.earlyNotices[address] = time.Now()
	return nil, !known
}

func (t *endpoints) expire(now time.Time) {
	for id, at := range t.leaving {
		if now.Sub(at) > leavingNoticeTTL {
			delete(t.leaving, id)
		}
	}
	for address, at := range t.earlyNotices {
		if now.Sub(at) > earlyNoticeTTL {
			delete(t.earlyNotices, address)
		}
	}
}

// of returns the service's instances by id, with leaving notices applied.
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
