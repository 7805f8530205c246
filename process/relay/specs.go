package relay

import (
	"context"
	"fmt"
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
//
// An id may be used again once its job has been forgotten, so a spec that is asked for by its digest is
// compared with it.
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

// find returns the cached spec of a job. digest is that of the spec, 0 if it is not known.
func (c *specCache) find(id work.JobID, digest uint64) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec, ok := c.recent[id]
	if !ok {
		spec, ok = c.old[id]
	}
	return spec, ok && hasDigest(spec, digest)
}

// hasDigest reports whether a spec may be the one with a digest, 0 if that is not known.
func hasDigest(spec string, digest uint64) bool { return digest == 0 || work.DigestOf(spec) == digest }

// get returns a job's spec, from the cache or from acceptedBy, the daemon that accepted the
// job. digest is as for find. The error is errNoSpec, or the context's if acceptedBy may still answer.
func (c *specCache) get(ctx context.Context, id work.JobID, acceptedBy string, digest uint64) (string, error) {
	if spec, ok := c.find(id, digest); ok {
		return spec, nil
	}
	if acceptedBy == "" || c.isDown(acceptedBy) {
		return "", errNoSpec
	}
	found := c.flights.DoChan(fmt.Sprint(id, digest), func() (any, error) {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), specTimeout)
		defer cancel()
		var r specReply
		if _, err := c.peers.CallAddr(bounded, acceptedBy, MethodSpec, specRequest{Job: id, Digest: digest}, &r); err != nil {
			c.markDown(acceptedBy)
			return nil, err
		}
		if r.Known = r.Known && hasDigest(r.Spec, digest); r.Known {
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
		spec, ok := c.find(q.Job, q.Digest)
		return specReply{Spec: spec, Known: ok}, nil
	}))
}
