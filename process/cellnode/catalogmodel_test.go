package cellnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/version/work"
)

// catalogStore is a store of versions, each with the time at which it was acknowledged.
type catalogStore struct {
	mu   sync.Mutex
	acks []time.Time // of version i+1
}

func (s *catalogStore) publish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks = append(s.acks, time.Now())
}

func (s *catalogStore) newest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.acks))
}

// at returns the newest version that had been acknowledged at a time.
func (s *catalogStore) at(t time.Time) (version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, ack := range s.acks {
		if !ack.After(t) {
			version = int64(i + 1)
		}
	}
	return version
}

// laggingSource reaches a catalogStore with random delays, or not at all while unreachable is set.
type laggingSource struct {
	store *catalogStore

	mu          sync.Mutex
	rng         *rand.Rand
	unreachable bool
}

func (s *laggingSource) delay(ctx context.Context) error {
	s.mu.Lock()
	d, unreachable := time.Duration(s.rng.IntN(300))*time.Millisecond, s.unreachable
	s.mu.Unlock()
	if err := sleep.For(ctx, d); err != nil {
		return err
	}
	if unreachable {
		return store.ErrUnavailable
	}
	return nil
}

func (s *laggingSource) setUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
}

func (s *laggingSource) Current(ctx context.Context) (*work.Catalog, store.Revision, error) {
	if err := s.delay(ctx); err != nil {
		return nil, 0, err
	}
	v := s.store.newest()
	return &work.Catalog{Version: v}, store.Revision(v), s.delay(ctx)
}

func (s *laggingSource) CurrentCached(ctx context.Context) (*work.Catalog, error) {
	c, _, err := s.Current(ctx)
	return c, err
}

func (s *laggingSource) Watch(ctx context.Context, after store.Revision, wait time.Duration) (*work.Catalog, store.Revision, error) {
	if err := s.delay(ctx); err != nil {
		return nil, 0, err
	}
	const step = 50 * time.Millisecond
	for until := time.Now().Add(wait); ; {
		if v := s.store.newest(); store.Revision(v) > after {
			return &work.Catalog{Version: v}, store.Revision(v), s.delay(ctx)
		}
		if !time.Now().Before(until) {
			return nil, after, s.delay(ctx)
		}
		if err := sleep.For(ctx, step); err != nil {
			return nil, after, err
		}
	}
}

func TestAgesHoldOverDaemonsThatLag(t *testing.T) {
	// Guards against a daemon that takes its version for more current than it is, from
	// whichever source, and continues to accept a revoked key. Versions are published at
	// random while the store rejects daemons, answers take up to 0.6 s, and daemons pull
	// from each other. Invariants: a version that was acknowledged before now minus the age
	// is not newer than the version held, and no version is replaced by an older one.
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		daemons := rapid.IntRange(2, 5).Draw(r, "daemons")
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &catalogStore{}
			s.publish()
			var sources []*laggingSource
			var all []*catalogs
			var running sync.WaitGroup
			for i := range daemons {
				source := &laggingSource{store: s, rng: rand.New(rand.NewPCG(seed, uint64(i)+2))}
				c := newCatalogs(source, &store.AdaptiveTimeout{Min: 200 * time.Millisecond, Max: 1500 * time.Millisecond}, zerolog.Nop())
				sources, all = append(sources, source), append(all, c)
				running.Go(func() { _ = c.Serve(ctx) }) // ends with ctx
			}
			held := make([]int64, daemons)
			for range 120 {
				time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
				switch rng.IntN(5) {
				case 0:
					s.publish()
				case 1:
					sources[rng.IntN(daemons)].setUnreachable(rng.IntN(2) == 0)
				}
				asker, asked := all[rng.IntN(daemons)], all[rng.IntN(daemons)]
				latency := time.Duration(rng.IntN(200)) * time.Millisecond
				running.Go(func() { pullOverSlowLink(t, asker, asked, latency) })
				for i, c := range all {
					age, now := c.age(), c.Current() // read together: a version may come into force at any moment
					if now == nil {
						require.Zero(t, held[i])
						continue
					}
					require.GreaterOrEqual(t, now.Version, held[i])
					held[i] = now.Version
					require.LessOrEqual(t, s.at(time.Now().Add(-age)), now.Version, "daemon %d, age %v", i, age)
				}
			}
			cancel()
			running.Wait()
		})
	})
}

// pullOverSlowLink has asker pull from asked over a link that takes d in each direction.
func pullOverSlowLink(t *testing.T, asker, asked *catalogs, d time.Duration) {
	at, request := time.Now(), asker.request()
	time.Sleep(d)
	reply, err := asked.answer(request)
	time.Sleep(d)
	if err != nil {
		return // it holds an older version or none
	}
	_, err = asker.merge("asked", at, reply)
	assert.NoError(t, err)
}
