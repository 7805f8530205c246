package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/version/work"
)

const (
	// maxSpecs bounds the number of specs that a daemon caches, of up to 4,000 bytes each.
	// An evicted one is read from the store.
	maxSpecs = 4096
	// specTimeout bounds asking another daemon for a spec. Several relays ask for the spec
	// of a wide gang at once, and 4,000 bytes for each of eight take 130 ms on a link
	// of 2 Mbit/s.
	specTimeout = 400 * time.Millisecond
	// unansweredRetryDelay is how long an accepting daemon that did not answer is
	// not asked again.
	unansweredRetryDelay = time.Second
)

// specCache caches the latest specs of jobs. It is safe for concurrent use.
type specCache struct {
	peers Caller

	mu      sync.Mutex
	recent  map[work.JobID]string
	old     map[work.JobID]string // the previous generation
	down    map[string]time.Time  // accepting daemons that did not answer, and until when they are not asked
	flights singleflight.Group
}

func newSpecCache(peers Caller) *specCache {
	return &specCache{peers: peers, recent: map[work.JobID]string{}, down: map[string]time.Time{}}
}

// cacheSpec caches a spec.
func (c *specCache) cacheSpec(id work.JobID, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.recent) >= maxSpecs/2 {
		c.old, c.recent = c.recent, make(map[work.JobID]string, maxSpecs/2)
	}
	c.recent[id] = spec
}

func (c *specCache) find(id work.JobID) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spec, ok := c.recent[id]; ok {
		return spec, true
	}
	spec, ok := c.old[id]
	return spec, ok
}

// get returns a job's spec, from the cache or from acceptedBy, the daemon that accepted the
// job. The error is errNoSpec, or the context's if acceptedBy may still answer.
func (c *specCache) get(ctx context.Context, id work.JobID, acceptedBy string) (string, error) {
	if spec, ok := c.find(id); ok {
		return spec, nil
	}
	if acceptedBy == "" || c.isDown(acceptedBy) {
		return "", errNoSpec
	}
	found := c.flights.DoChan(string(id), func() (any, error) {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), specTimeout)
		defer cancel()
		var r specReply
		if _, err := c.peers.CallAddr(bounded, acceptedBy, MethodSpec, specRequest{Job: id}, &r); err != nil {
			c.markDown(acceptedBy)
			return nil, err
		}
		if r.Known {
			c.cacheSpec(id, r.Spec)
		}
		return r, nil
	})
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case x := <-found:
		if r, ok := x.Val.(specReply); x.Err == nil && ok && r.Known {
			return r.Spec, nil
		}
		return "", errNoSpec
	}
}

func (c *specCache) isDown(acceptedBy string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.down[acceptedBy])
}

// markDown records that an accepting daemon did not answer, and drops expired records.
func (c *specCache) markDown(acceptedBy string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, until := range c.down {
		if now.After(until) {
			delete(c.down, other)
		}
	}
	c.down[acceptedBy] = now.Add(unansweredRetryDelay)
}

// register registers the method by which relays ask for specs.
func (c *specCache) register(r peer.Registrar) {
	r.Handle(MethodSpec, peer.Typed(func(_ context.Context, q specRequest) (any, error) {
		spec, ok := c.find(q.Job)
		return specReply{Spec: spec, Known: ok}, nil
	}))
}
