package history

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/version/spec"
)

func TestApplyKeepsGenerationsOfUnchangedJobs(t *testing.T) {
	h := newHistory(newStore())
	assert.Equal(t, uint64(1), mustApply(t, h, fileOf("a", 1, 2), 0).Version)
	assert.Equal(t, uint64(2), mustApply(t, h, fileOf("b", 5), 0).Version)
	r := mustApply(t, h, fileOf("a", 1, 3), 2)
	jobs := r.Snapshot.Config.Jobs
	assert.Equal(t, []uint64{1, 3, 2}, []uint64{jobs["a-0"].Generation, jobs["a-1"].Generation, jobs["b-0"].Generation})
	again := mustApply(t, h, fileOf("a", 1, 3), 0)
	assert.True(t, again.Unchanged, "applying what is in force makes no version, on whatever base")
	assert.Equal(t, uint64(3), again.Version)
}

// TestApplyRefusesAChangeOverAnUnseenOne guards against an operator's change being overwritten by
// another operator who was not aware of it: both read version 1 and change the same file, one
// after the other, and an apply replaces the file as a whole.
func TestApplyRefusesAChangeOverAnUnseenOne(t *testing.T) {
	s := newStore()
	h, other := newHistory(s), newHistory(s)
	mustApply(t, h, fileOf("a", 1), 0)
	_, err := other.Apply(context.Background(), fileOf("a", 2), 1, "winner")
	require.NoError(t, err)
	mustApply(t, h, fileOf("b", 1), 1)
	_, err = h.Apply(context.Background(), fileOf("a", 3), 1, "loser")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, uint64(2), conflict.Version)
	assert.Equal(t, "winner", conflict.Author)
	assert.ErrorContains(t, err, "base 2")
	_, err = h.Apply(context.Background(), fileOf("a", 3), 99, "loser")
	var base *BaseError
	require.ErrorAs(t, err, &base)
	current, err := h.Current(context.Background())
	require.NoError(t, err)
	assert.Equal(t, 2, current.Config.Jobs["a-0"].Count)
}

func TestApplyRefusesClashesBetweenFiles(t *testing.T) {
	h := newHistory(newStore())
	mustApply(t, h, fileOf("a", 1), 0)
	clash := fileOf("b", 1)
	clash.Jobs[0].Name = "a-0"
	_, err := h.Apply(context.Background(), clash, 1, "x")
	var invalid *spec.ValidationError
	require.ErrorAs(t, err, &invalid)
	assert.ErrorContains(t, err, `already declared by file "a"`)
	r := mustApply(t, h, &spec.File{Name: "a"}, 1)
	assert.Empty(t, r.Snapshot.Config.Jobs, "an empty file removes the jobs")
	mustApply(t, h, clash, 2)
	_, err = h.Apply(context.Background(), fileOf("a", 7), 1, "x")
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict, "the removal is a change too")
}

func TestFileOfSeveralMegabytes(t *testing.T) {
	s := newStore()
	h := newHistory(s)
	file := fileOf("big", 1)
	for i := range 900 {
		job := file.Jobs[0]
		job.Name = fmt.Sprintf("big-%d", i+1)
		job.Parameters = map[string]string{"data": strings.Repeat(fmt.Sprintf("%07d", i), 500)}
		file.Jobs = append(file.Jobs, job)
	}
	r := mustApply(t, h, file, 0)
	d, _ := r.Snapshot.Document("big")
	assert.Greater(t, d.Change.Content.Size, int64(3<<20))
	fresh, err := newHistory(s).Current(context.Background())
	require.NoError(t, err)
	assert.True(t, spec.SameContent(r.Snapshot.Config, fresh.Config))
}

func TestListGoesBackThroughSegments(t *testing.T) {
	s := newStore()
	h := newHistory(s, WithKeep(4*SegmentLength))
	const versions = 10 * SegmentLength
	for v := range versions {
		mustApply(t, h, fileOf("a", v+1), uint64(v))
	}
	changes, err := h.List(context.Background(), 0, versions)
	require.NoError(t, err)
	require.Len(t, changes, versions)
	for i, c := range changes {
		require.Equal(t, uint64(versions-i), c.Version)
	}
	page, err := h.List(context.Background(), 50, 20)
	require.NoError(t, err)
	assert.Equal(t, []uint64{49, 30}, []uint64{page[0].Version, page[len(page)-1].Version})
	late, err := newHistory(s).Current(context.Background())
	require.NoError(t, err)
	assert.Equal(t, uint64(versions), late.Version)
	assert.Equal(t, versions, late.Config.Jobs["a-0"].Count)
}

// TestLaterReleaseMayAddFields guards against daemons of the earlier release that accept no
// version during an upgrade: a daemon of a later release applies a file, its records have a field
// that is unknown to the earlier release, and a strict decoder refuses them.
func TestLaterReleaseMayAddFields(t *testing.T) {
	type laterChange struct {
		Change
		Extra string `cbor:"99,keyasint"`
	}
	data, err := encoder.Marshal(struct {
		Version uint64        `cbor:"1,keyasint"`
		Recent  []laterChange `cbor:"4,keyasint"`
		Extra   string        `cbor:"99,keyasint"`
	}{1, []laterChange{{Change{Version: 1, File: "a"}, "x"}}, "y"})
	require.NoError(t, err)
	head, err := DecodeHead(data)
	require.NoError(t, err)
	assert.Equal(t, []Change{{Version: 1, File: "a"}}, head.Recent)
	_, err = decodeContent([]byte(`{"file":{"name":"a","later":1},"later":2}`), head.Recent[0])
	require.NoError(t, err)
}
