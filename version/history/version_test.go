package history

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/version/spec"
)

func TestVersionIsReadFromTheStore(t *testing.T) {
	ctx, s := context.Background(), kv.New()
	writer, reader := newHistory(s), newHistory(s)
	for want := range uint64(3) {
		version, err := reader.Version(ctx)
		require.NoError(t, err)
		require.Equal(t, want, version)
		_, err = writer.Apply(ctx, &spec.File{Name: "f", Teams: []spec.Team{{Name: "a", Weight: int(want) + 1}}}, want, "x")
		require.NoError(t, err)
	}
	s.SetFaults(kv.Faults{Down: true})
	_, err := reader.Version(ctx)
	require.ErrorIs(t, err, store.ErrUnavailable)
}
