package daemon

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/thejerf/suture/v4"
)

func newTestLife() *life {
	return &life{log: zerolog.Nop(), sup: suture.New("test", suture.Spec{})}
}

// Symptom: a daemon keeps its claims and does nothing for them: requests of a
// service, or of some keys, wait for ever.
// Sequence: a part panics, or one that cannot run twice returns.
// Cause: the supervisor starts the part again, which returns at once.
func TestFailedPartEndsTheLife(t *testing.T) {
	errStore := errors.New("store")
	for _, c := range []struct {
		name  string
		once  bool
		serve serviceFunc
		want  error
	}{
		{"panic", false, panics, errPanic},
		{"panic of a part that cannot run twice", true, panics, errPanic},
		{"return", true, func(context.Context) error { return nil }, errEnded},
		{"error", true, func(context.Context) error { return errStore }, errStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLife()
			l.sup.Add(&part{l: l, service: c.serve, once: c.once})
			served := make(chan error, 1)
			go func() { served <- l.sup.Serve(t.Context()) }()
			receive(t, served, "end of the life")
			over := l.over.Load()
			require.NotNil(t, over)
			require.ErrorIs(t, over, c.want)
			require.Equal(t, failurePause, over.pause)
		})
	}
}

// Symptom: a daemon gives all its claims up for an error that passes.
// Sequence: a part that can run twice returns an error; later the daemon ends.
// Cause: every end of a part ends the life.
func TestErrorRestartsAPart(t *testing.T) {
	l := newTestLife()
	ctx, cancel := context.WithCancel(t.Context())
	var starts atomic.Int32
	l.add(serviceFunc(func(ctx context.Context) error {
		if starts.Add(1) == 1 {
			return errors.New("passes")
		}
		cancel()
		<-ctx.Done()
		return ctx.Err()
	}))
	l.addOnce(serviceFunc(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}))
	served := make(chan error, 1)
	go func() { served <- l.sup.Serve(ctx) }()
	require.ErrorIs(t, receive(t, served, "end of the daemon"), context.Canceled)
	require.EqualValues(t, 2, starts.Load())
	require.Nil(t, l.over.Load())
}
