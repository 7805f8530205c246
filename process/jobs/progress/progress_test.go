package progress

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// mapStore is a store in memory that fails writes and loses their responses at random.
type mapStore struct {
	items map[string]store.Item
	rev   store.Revision
	lose  float64
	rng   *rand.Rand
}

func newMapStore(seed uint64) *mapStore {
	return &mapStore{items: map[string]store.Item{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (s *mapStore) Get(_ context.Context, key string) (store.Item, error) {
	if item, ok := s.items[key]; ok {
		return item, nil
	}
	return store.Item{}, store.ErrNotFound
}

func (s *mapStore) Swap(_ context.Context, key string, data []byte, prev store.Revision, _ store.LeaseID) (store.Revision, error) {
	if s.rng.Float64() < s.lose/2 {
		return 0, store.ErrUnavailable
	}
	if len(data) > store.MaxDataSize {
		return 0, store.ErrTooLarge
	}
	if s.items[key].Revision != prev {
		return 0, store.ErrConflict
	}
	s.rev++
	s.items[key] = store.Item{Key: key, Data: data, Revision: s.rev}
	if s.rng.Float64() < s.lose/2 {
		return 0, store.ErrUnknownOutcome
	}
	return s.rev, nil
}

func (s *mapStore) Delete(_ context.Context, key string, prev store.Revision) error {
	if s.items[key].Revision != prev {
		return store.ErrConflict
	}
	delete(s.items, key)
	return nil
}

func owner(n uint64) peer.Ref { return peer.Ref{ID: "d", Incarnation: n} }

func encoded(t require.TestingT, j *Job) []byte {
	data, err := j.Encode()
	require.NoError(t, err)
	return data
}

// TestJobKeepsEverything compares encoded and decoded bitmaps with plain maps.
func TestJobKeepsEverything(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		j, failures := NewJob("j", 3), map[uint32]int{}
		index := rapid.Uint32Range(0, 70_000)
		for _, i := range rapid.SliceOfN(index, 0, 400).Draw(rt, "failures") {
			failures[i] = j.AddFailure(i)
		}
		done := rapid.SliceOfN(index, 0, 400).Draw(rt, "done")
		for _, i := range done {
			j.Done.Add(i)
			j.ClearFailures(i)
			delete(failures, i)
		}
		got, err := DecodeJob(encoded(rt, j))
		require.NoError(rt, err)
		for i, n := range failures {
			require.Equal(rt, n, got.Failures(i))
		}
		for _, i := range done {
			require.True(rt, got.Finished(i))
			require.Zero(rt, got.Failures(i))
		}
		require.True(rt, got.Done.Equals(j.Done))
	})
}

// TestTakeoverStopsTheOldWriter lets owners write and be superseded at random over a
// store that loses responses. Progress that a Flush reported durable is never lost, and
// an old owner never writes after the takeover. It guards against rerunning tasks that
// were done and acknowledged: pages that the takeover reads but does not rewrite could
// be changed by the old owner afterwards.
func TestTakeoverStopsTheOldWriter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		handle := newMapStore(rapid.Uint64().Draw(rt, "seed"))
		big := rapid.Bool().Draw(rt, "big")
		type holder struct {
			file  *File
			epoch uint64
		}
		var files []holder
		durable := map[Key]int{}
		newest := uint64(0)
		for step := range rapid.IntRange(1, 25).Draw(rt, "steps") {
			if len(files) == 0 || rapid.IntRange(0, 4).Draw(rt, "what") == 0 {
				newest++
				file, jobs, _, err := Open(ctx, handle, 1, newest, owner(newest))
				require.NoError(rt, err)
				found := map[Key]int{}
				for _, j := range jobs {
					found[Key{j.Name, j.Generation}] = int(j.Done.GetCardinality())
				}
				for key, n := range durable {
					require.GreaterOrEqual(rt, found[key], n, "durable progress of %v", key)
				}
				files = append(files, holder{file, newest})
				continue
			}
			handle.lose = float64(rapid.IntRange(0, 50).Draw(rt, "lose")) / 100
			h := files[rapid.IntRange(0, len(files)-1).Draw(rt, "who")]
			key := Key{fmt.Sprintf("job%d", rapid.IntRange(0, 5).Draw(rt, "job")), 1}
			j := NewJob(key.Job, 1)
			n := durable[key] + step + 1
			j.Done.AddRange(0, uint64(n))
			if big {
				for i := range uint32(40_000) {
					j.Failed.Add(1_000_000 + i*uint32(7+step)*11)
				}
			}
			h.file.Apply(Update{Jobs: map[Key][]byte{key: encoded(rt, j)}})
			err := h.file.Flush(ctx)
			handle.lose = 0
			switch {
			case err == nil:
				require.Equal(rt, newest, h.epoch, "an old owner wrote after the takeover")
				durable[key] = n
			case h.epoch < newest:
				require.Error(rt, err)
			default:
				require.False(rt, errors.Is(err, ErrSuperseded), "the newest owner was stopped")
			}
		}
	})
}

func TestFileSplitsBelowTheLimit(t *testing.T) {
	ctx := context.Background()
	handle := newMapStore(1)
	file, _, _, err := Open(ctx, handle, 4, 1, owner(1))
	require.NoError(t, err)
	const jobs = 60_000
	update := Update{Jobs: map[Key][]byte{}, ConfigVersion: 9}
	for i := range jobs {
		j := NewJob(fmt.Sprintf("survey-task-%06d", i), 7)
		j.Done.Add(0)
		update.Jobs[Key{j.Name, 7}] = encoded(t, j)
	}
	file.Apply(update)
	require.NoError(t, file.Flush(ctx))
	require.Greater(t, file.head.Pages, 1)
	_, found, head, err := Open(ctx, handle, 4, 2, owner(2))
	require.NoError(t, err)
	require.Len(t, found, jobs)
	require.EqualValues(t, 9, head.ConfigVersion)
	require.NoError(t, file.Flush(ctx), "nothing to write")
	file.Apply(Update{Jobs: map[Key][]byte{{"survey-task-000001", 7}: nil}})
	require.ErrorIs(t, file.Flush(ctx), ErrSuperseded)
}
