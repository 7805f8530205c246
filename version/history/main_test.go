package history

import (
	"context"
	"fmt"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

// newHistory returns a History with its own client of the store.
func newHistory(s store.Store, options ...Option) *History {
	budget := store.Budget{Writes: 1e6, Reads: 1e6}
	return New(store.NewClient(s, store.Options{Budget: budget}).Role(store.RoleVersions), options...)
}

// fileOf returns a file with one batch job per count.
func fileOf(name string, counts ...int) *spec.File {
	file := &spec.File{Name: name, Teams: []spec.Team{{Name: "team-" + name}}}
	for i, count := range counts {
		file.Jobs = append(file.Jobs, spec.Job{Name: fmt.Sprintf("%s-%d", name, i), Team: "team-" + name, Kind: spec.Batch,
			Count: count, Size: spec.Resources{MilliCPU: 100, MemoryMB: 100}})
	}
	return file
}

func mustApply(t require.TestingT, h *History, file *spec.File, base uint64) Result {
	r, err := h.Apply(context.Background(), file, base, "tester")
	require.NoError(t, err)
	return r
}

func newStore() *kv.Memory { return kv.New() }
