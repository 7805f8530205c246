package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

// attempt is one Apply of a race.
type attempt struct {
	file   string
	base   uint64
	weight int
	result Result
	err    error
}

// race is several operators applying on several daemons at the same time.
type race struct {
	t     *testing.T
	store *kv.Memory
	seed  uint64

	mu       sync.Mutex
	attempts map[string]attempt // by author, unique per attempt
}

// operator applies n files, often the same one and with content used before, so that
// chunks become unreferenced and referenced again.
func (r *race) operator(id, n int) {
	random := rand.New(rand.NewPCG(r.seed, uint64(id)))
	h := newHistory(r.store, WithKeep(1<<20))
	for i := range n {
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		a := attempt{file: fmt.Sprintf("f%d", random.IntN(4)), weight: random.IntN(3)}
		if s, err := h.Current(ctx); err == nil {
			a.base = s.Version
			file := &spec.File{Name: a.file}
			if a.weight > 0 {
				file.Teams = []spec.Team{{Name: a.file, Weight: a.weight}}
			}
			author := fmt.Sprintf("%d-%d", id, i)
			a.result, a.err = h.Apply(ctx, file, a.base, author)
			r.mu.Lock()
			r.attempts[author] = a
			r.mu.Unlock()
		}
		cancel()
	}
}

// sweeper collects all chunks repeatedly, pausing between the steps as a suspended
// process does.
func (r *race) sweeper(ctx context.Context, id int) (collected uint64) {
	random := rand.New(rand.NewPCG(r.seed, 1000+uint64(id)))
	h := newHistory(r.store)
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		items, _, err := h.handle.List(ctx, prefixChunk)
		if err != nil {
			continue
		}
		found := make(map[Hash]store.Revision)
		for _, item := range items {
			hash, _ := parseChunkKey(item.Key)
			found[hash] = item.Revision
		}
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		_ = h.collectChunks(ctx, found) // after a fault, the next round repeats it
	}
	return h.Stats().Collected
}

// reader asserts that the latest version can always be read completely.
func (r *race) reader(ctx context.Context) (reads int) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		_, err := newHistory(r.store).Current(ctx)
		if errors.Is(err, ErrNoChunk) || errors.Is(err, ErrCorrupt) {
			r.t.Errorf("a version in force cannot be read: %v", err)
		}
		if err == nil {
			reads++
		}
	}
	return reads
}

// check replays the record and compares it with the result that each operator got.
func (r *race) check() {
	h := newHistory(r.store)
	last, err := h.Current(context.Background())
	require.NoError(r.t, err)
	changes, err := h.List(context.Background(), 0, 1<<20)
	require.NoError(r.t, err)
	require.Len(r.t, changes, int(last.Version), "every version is on record")
	latest := make(map[string]uint64)
	weights := make(map[string]int)
	for v := uint64(1); v <= last.Version; v++ {
		c := changes[last.Version-v]
		a, ok := r.attempts[c.Author]
		require.True(r.t, ok && c.Version == v && c.File == a.file)
		require.GreaterOrEqual(r.t, a.base, latest[a.file], "version %d overwrote a change that its author had not seen", v)
		if a.err == nil {
			require.Equal(r.t, v, a.result.Version)
			require.False(r.t, a.result.Unchanged)
		} else {
			var unknown *UnknownOutcomeError
			require.ErrorAs(r.t, a.err, &unknown, "error says that nothing was applied, but it is version %d", v)
			require.Equal(r.t, v, unknown.Version)
		}
		delete(r.attempts, c.Author) // one apply, one version
		latest[a.file], weights[a.file] = v, a.weight
	}
	for author, a := range r.attempts {
		require.True(r.t, a.err != nil || a.result.Unchanged, "%s got version %d, which another apply created", author, a.result.Version)
	}
	for file, weight := range weights {
		team := last.Config.Teams[file]
		require.Equal(r.t, weight > 0, team != nil)
		if team != nil {
			require.Equal(r.t, weight, team.Weight)
		}
	}
}

// TestRacingAppliesMakeOneHistory guards against two operators getting the same version, an
// applied file that is missing, or a version in force without its content. Operators race on few
// files over several daemons; answers and requests are lost, the store is down for moments, and
// writes take effect late; meanwhile collectors delete unreferenced chunks and are suspended
// between steps. Faults of this kind come from a guessed outcome of a compare-and-swap, and from
// a collector that deletes chunks that an apply is about to name.
func TestRacingAppliesMakeOneHistory(t *testing.T) {
	seeds := uint64(3)
	if os.Getenv("FENNEL_LONG") != "" {
		seeds = 300
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) { runRace(t, seed) })
	}
}

func runRace(t *testing.T, seed uint64) {
	r := &race{t: t, store: kv.NewSeeded(seed), seed: seed, attempts: make(map[string]attempt)}
	r.store.SetFaults(kv.Faults{LoseAnswers: 0.1, LoseRequests: 0.05, Refuse: 0.02, Delay: 3 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	var background, operators sync.WaitGroup
	var collected uint64
	var reads int
	background.Go(func() { collected = r.sweeper(ctx, 0) })
	background.Go(func() { r.sweeper(ctx, 1) })
	background.Go(func() { reads = r.reader(ctx) })
	for id := range 6 {
		operators.Go(func() { r.operator(id, 60) })
	}
	outage := time.AfterFunc(20*time.Second, func() { r.store.SetFaults(kv.Faults{Down: true}) })
	again := time.AfterFunc(28*time.Second, func() {
		r.store.SetFaults(kv.Faults{LoseAnswers: 0.4, LoseRequests: 0.1, Delay: 20 * time.Millisecond})
	})
	operators.Wait()
	outage.Stop()
	again.Stop()
	cancel()
	background.Wait()
	r.store.SetFaults(kv.Faults{})
	time.Sleep(time.Minute)
	require.NotZero(t, collected, "the collector has deleted chunks")
	require.NotZero(t, reads)
	r.check()
}
