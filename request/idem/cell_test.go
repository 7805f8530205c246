package idem

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
	"fennelshunt.example/fennelshunt/process/ownership/ownershiptest"
	"fennelshunt.example/fennelshunt/request/verdict"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// daemon is a Manager under test, with the identity of its daemon.
type daemon struct {
	*Manager
	ref       peer.Ref
	directory *ownershiptest.Directory
	stop      context.CancelFunc
}

// cell is a group of daemons over one store.
type cell struct {
	t       testing.TB
	kv      *kv.Memory
	claims  *ownershiptest.Cell
	daemons []*daemon
}

func newCell(t testing.TB, daemons int, change func(*Options)) *cell {
	c := &cell{t: t, kv: kv.New(), claims: ownershiptest.NewCell()}
	for i := range daemons {
		c.add(i, 1, change)
	}
	return c
}

// add starts an incarnation of the i-th daemon.
func (c *cell) add(i int, incarnation uint64, change func(*Options)) *daemon {
	ref := peer.Ref{ID: peer.MemberID(fmt.Sprintf("d%d", i)), Incarnation: incarnation}
	d := &daemon{ref: ref, directory: c.claims.Directory(ref)}
	client := store.NewClient(c.kv, store.Options{OperationTimeout: 2 * time.Second})
	opts := Options{
		Self: ref, Directory: d.directory, Members: fleettest.NewView(fleet.Member{Ref: ref}),
		Store: client.Role(store.RoleIntents), Log: zerolog.Nop(),
	}
	if change != nil {
		change(&opts)
	}
	d.Manager = New(opts)
	var ctx context.Context
	ctx, d.stop = context.WithCancel(context.Background())
	go func() { _ = d.Serve(ctx) }()
	if i < len(c.daemons) {
		c.daemons[i] = d
	} else {
		c.daemons = append(c.daemons, d)
	}
	return d
}

func (c *cell) close() {
	for _, d := range c.daemons {
		d.stop()
	}
}

// own assigns the shard to d. The previous owner is not notified, as if it were
// suspended.
func (c *cell) own(n int, d *daemon) {
	d.Acquired(c.t.Context(), c.claims.Set(resource(n), d.ref))
}

// newRequest returns a non-idempotent request with the key text.
func newRequest(text string) Request {
	return Request{Key: Key{Team: "guild", Service: "remodel-desk", Text: text}, Fingerprint: 7, NonIdempotent: true}
}

func (r Request) shard() int { return r.Key.hash().shard() }

// begun calls Begin for r at d and requires that it returns an attempt.
func begun(t testing.TB, d *daemon, r Request) *Attempt {
	t.Helper()
	a, _, err := d.Begin(t.Context(), r)
	require.NoError(t, err)
	require.NotNil(t, a)
	return a
}

// requireCode requires that Begin for r at d fails with that code and verdict.
func requireCode(t testing.TB, d *daemon, r Request, code string, v verdict.Verdict) {
	t.Helper()
	_, _, err := d.Begin(t.Context(), r)
	var e *verdict.Error
	require.True(t, errors.As(err, &e), "%v", err)
	require.Equal(t, code, e.Code)
	require.Equal(t, v, e.Verdict)
}
