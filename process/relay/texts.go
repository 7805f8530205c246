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
	// maxTexts bounds the specs that a daemon keeps, of up to 4,000 bytes each. One
	// that is gone is read from the store.
	maxTexts = 4096
	// textTimeout bounds asking another daemon for a spec. Several relays ask for that
	// of a wide gang at once, and 4,000 bytes for each of eight take 130 ms on a link
	// of 2 Mbit/s.
	textTimeout = 400 * time.Millisecond
	// homeDown is how long a home that did not answer is not asked.
	homeDown = time.Second
)

// texts keeps specs of jobs, the latest ones. Safe for concurrent use.
type texts struct {
	peers Caller

	mu    sync.Mutex
	young map[work.JobID]string
	old   map[work.JobID]string // the generation before
	down  map[string]time.Time  // homes that did not answer, until when
	asked singleflight.Group
}

func newTexts(peers Caller) *texts {
	return &texts{peers: peers, young: map[work.JobID]string{}, down: map[string]time.Time{}}
}

// keep remembers a spec.
func (t *texts) keep(id work.JobID, spec string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.young) >= maxTexts/2 {
		t.old, t.young = t.young, make(map[work.JobID]string, maxTexts/2)
	}
	t.young[id] = spec
}

func (t *texts) find(id work.JobID) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if spec, ok := t.young[id]; ok {
		return spec, true
	}
	spec, ok := t.old[id]
	return spec, ok
}

// get returns a job's spec, from memory or from the job's home. The error is
// errNoText, or the context's while the home may still answer.
func (t *texts) get(ctx context.Context, id work.JobID, home string) (string, error) {
	if spec, ok := t.find(id); ok {
		return spec, nil
	}
	if home == "" || t.isDown(home) {
		return "", errNoText
	}
	found := t.asked.DoChan(string(id), func() (any, error) {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), textTimeout)
		defer cancel()
		var r textReply
		if _, err := t.peers.CallAddr(bounded, home, MethodText, textRequest{Job: id}, &r); err != nil {
			t.noteDown(home)
			return nil, err
		}
		if r.Known {
			t.keep(id, r.Spec)
		}
		return r, nil
	})
	select {
	case <-ctx.Done():
		return "", ctx.Err()
	case x := <-found:
		if r, ok := x.Val.(textReply); x.Err == nil && ok && r.Known {
			return r.Spec, nil
		}
		return "", errNoText
	}
}

func (t *texts) isDown(home string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.down[home])
}

// noteDown notes that a home did not answer; those whose time is over are forgotten.
func (t *texts) noteDown(home string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for other, until := range t.down {
		if now.After(until) {
			delete(t.down, other)
		}
	}
	t.down[home] = now.Add(homeDown)
}

// register serves the method for relays.
func (t *texts) register(r peer.Registrar) {
	r.Handle(MethodText, peer.Typed(func(_ context.Context, q textRequest) (any, error) {
		spec, ok := t.find(q.Job)
		return textReply{Spec: spec, Known: ok}, nil
	}))
}
