package cellnode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/internal/sleep"
	"fennelshunt.example/fennelshunt/process/lead"
	"fennelshunt.example/fennelshunt/process/quota"
	"fennelshunt.example/fennelshunt/version/work"
)

// slowSource answers each call after a while, with a version or nothing.
type slowSource struct {
	takes time.Duration
	next  *work.Catalog
}

func (s *slowSource) Current(ctx context.Context) (*work.Catalog, store.Revision, error) {
	return s.next, 1, sleep.For(ctx, s.takes)
}

func (s *slowSource) Glance(ctx context.Context) (*work.Catalog, error) {
	return s.next, sleep.For(ctx, s.takes)
}

func (s *slowSource) Watch(ctx context.Context, after store.Revision, _ time.Duration) (*work.Catalog, store.Revision, error) {
	return s.next, after, sleep.For(ctx, s.takes)
}

func TestAgeOfTheConfigurationIsNeverUnderstated(t *testing.T) {
	// Failure looked for: an answer that was long on its way makes a version look fresher
	//   than it is, and a key that was taken away meanwhile goes on working.
	synctest.Test(t, func(t *testing.T) {
		source := &slowSource{takes: 400 * time.Millisecond, next: &work.Catalog{Version: 1}}
		c := newCatalogs(source, nil, zerolog.Nop())
		_, err := c.read(t.Context())
		require.NoError(t, err)
		require.Equal(t, 400*time.Millisecond, c.age(), "a reading tells what was when it was asked for")

		source.next, source.takes = nil, 1900*time.Millisecond
		_, err = c.watch(t.Context(), 1, 1500*time.Millisecond)
		require.NoError(t, err)
		require.Equal(t, 400*time.Millisecond, c.age(), "a watch without changes was answered after its wait at the earliest")

		source.takes = 200 * time.Millisecond // sooner than asked for
		_, err = c.watch(t.Context(), 1, 1500*time.Millisecond)
		require.NoError(t, err)
		require.Zero(t, c.age())

		source.next = &work.Catalog{Version: 2}
		_, err = c.watch(t.Context(), 1, 1500*time.Millisecond)
		require.NoError(t, err)
		require.Equal(t, 200*time.Millisecond, c.age(), "a change may have been the first of several")

		c.confirm(time.Now().Add(-time.Hour))
		require.Equal(t, 200*time.Millisecond, c.age(), "an older word takes nothing back")
		time.Sleep(5 * time.Second) // as long as the process stood still
		require.Equal(t, 5200*time.Millisecond, c.age())
	})
}

func TestAccountsOfLedPartsAreShown(t *testing.T) {
	led, followed := &part{}, &part{}
	led.rows.Store(&[]quota.Row{{Account: "north"}, {Account: "south"}})
	n := &Node{}
	n.built.Store(&[]*part{followed, led})
	require.Equal(t, []quota.Row{{Account: "north"}, {Account: "south"}}, n.accountRows())
	led.rows.Store(nil)
	require.Empty(t, n.accountRows(), "another daemon leads")
}

func TestNeighboursAreThoseThatFollowByName(t *testing.T) {
	var members []lead.Member
	for _, name := range []string{"a", "b", "c", "d"} {
		members = append(members, lead.Member{Name: name})
	}
	var names []string
	for _, m := range othersAfter(members, "c") {
		names = append(names, m.Name)
	}
	require.Equal(t, []string{"d", "a", "b"}, names)
	require.Empty(t, othersAfter(members[:1], "a"))
}
