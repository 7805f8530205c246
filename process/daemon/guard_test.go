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

func newTestIncarnation() *incarnation {
	return &incarnation{log: zerolog.Nop(), sup: suture.New("test", suture.Spec{})}
}

// TestFailedComponentEndsTheIncarnation guards against a daemon that keeps its claims without
// serving them, so that requests of a service, or of some keys, wait forever: a component
// panics, or one that cannot run twice returns, and the supervisor restarts it alone, whereupon
// it returns at once.
func TestFailedComponentEndsTheIncarnation(t *testing.T) {
	errStore := errors.New("store")
	for _, c := range []struct {
		name  string
		once  bool
		serve serviceFunc
		want  error
	}{
		{"panic", false, panics, errPanic},
		{"panic of a component that cannot run twice", true, panics, errPanic},
		{"return", true, func(context.Context) error { return nil }, errEnded},
		{"error", true, func(context.Context) error { return errStore }, errStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			inc := newTestIncarnation()
			inc.sup.Add(&guard{inc: inc, svc: c.serve, once: c.once})
			served := make(chan error, 1)
			go func() { served <- inc.sup.Serve(t.Context()) }()
			receive(t, served, "end of the incarnation")
			ended := inc.ended.Load()
			require.NotNil(t, ended)
			require.ErrorIs(t, ended, c.want)
			require.Equal(t, restartPause, ended.pause)
		})
	}
}

// TestErrorRestartsAComponent guards against a daemon that gives up all its claims for a
// transient error, because every return of a component ends the incarnation, even of one that can
// be restarted.
func TestErrorRestartsAComponent(t *testing.T) {
	inc := newTestIncarnation()
	ctx, cancel := context.WithCancel(t.Context())
	var starts atomic.Int32
	inc.add(serviceFunc(func(ctx context.Context) error {
		if starts.Add(1) == 1 {
			return errors.New("passes")
		}
		cancel()
		<-ctx.Done()
		return ctx.Err()
	}))
	inc.addOnce(serviceFunc(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}))
	served := make(chan error, 1)
	go func() { served <- inc.sup.Serve(ctx) }()
	require.ErrorIs(t, receive(t, served, "end of the daemon"), context.Canceled)
	require.EqualValues(t, 2, starts.Load())
	require.Nil(t, inc.ended.Load())
}
