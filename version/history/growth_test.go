package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
)

// TestHistoryStaysWithinTheStore guards against applies that fail after some weeks because a
// value or the store is full: there are 40,000 changes a day, most of them to existing files,
// some remove a file whose name is never used again, and the records and content of earlier
// versions are kept.
func TestHistoryStaysWithinTheStore(t *testing.T) {
	changes, keep := 1500, uint64(40*SegmentLength)
	if os.Getenv("FENNEL_LONG") != "" {
		changes, keep = 40000, 10000
	}
	ctx := context.Background()
	s := newStore()
	h := newHistory(s, WithKeep(keep))
	random := rand.New(rand.NewPCG(1, 2))
	largest, head := 0, 0
	var earlier rotation
	for v := range changes {
		file := fileOf(fmt.Sprintf("f%d", random.IntN(100)), 1+random.IntN(1000), 5, 5)
		if random.IntN(20) == 0 {
			file = fileOf(fmt.Sprintf("day-%d", v), 1)
			mustApply(t, h, file, uint64(v))
			file.Teams, file.Jobs = nil, nil
		}
		r, err := h.Apply(ctx, file, ^uint64(0)>>1, "x")
		var base *BaseError
		require.ErrorAs(t, err, &base)
		r, err = h.Apply(ctx, file, base.Latest, "x")
		require.NoError(t, err)
		select {
		case rotated := <-h.rotated:
			require.NoError(t, h.collect(ctx, earlier, rotated.number))
			earlier = rotated
		default:
		}
		if r.Version%97 == 0 {
			entry, err := s.Get(ctx, KeyHead)
			require.NoError(t, err)
			head = max(head, len(entry.Value))
		}
	}
	bytes := make(map[string]int)
	count := make(map[string]int)
	entries, _, err := s.List(ctx, "config/")
	require.NoError(t, err)
	for _, e := range entries {
		kind := strings.SplitAfterN(e.Key, "/", 3)[1]
		bytes[kind] += len(e.Value)
		count[kind]++
		largest = max(largest, len(e.Value))
	}
	t.Logf("%d versions: head up to %d B, largest value %d B, chunks %d of %d B, segments %d of %d B; %d writes, %d reads",
		h.known.Load().Version, head, largest, count["chunk/"], bytes["chunk/"], count["log/"], bytes["log/"],
		s.Counts().Writes(), s.Counts().Reads())
	require.Less(t, head, 16<<10)
	require.Less(t, largest, store.MaxValueSize/4)
	require.LessOrEqual(t, uint64(count["log/"]), keep/SegmentLength+3)
	require.Less(t, count["chunk/"], 100+4*SegmentLength, "content of earlier versions is deleted")
	fresh, err := newHistory(s).Current(ctx)
	require.NoError(t, err)
	require.Len(t, fresh.Config.Teams, len(h.known.Load().Config.Teams))
}
