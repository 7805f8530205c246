package traffic

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestBytesAndConnectionsAreCountedByKind(t *testing.T) {
	var m Meter
	near, far := net.Pipe()
	c := m.WrapCounting("orders", near)
	go func() {
		_, _ = io.CopyN(far, far, 5) // echoes
	}()
	_, err := c.Write([]byte("hello"))
	require.NoError(t, err)
	buf := make([]byte, 5)
	_, err = io.ReadFull(c, buf)
	require.NoError(t, err)
	require.EqualValues(t, 1, m.Open())
	require.Equal(t, Counts{Calls: 1, Sent: 5, Received: 5, Opened: 1}, m.Snapshot()["orders"])
	require.NoError(t, c.Close())
	_ = c.Close() // closed twice, counted once
	require.Zero(t, m.Open())
	var shown struct {
		Open  int64           `json:"open_connections"`
		Kinds map[Kind]Counts `json:"kinds"`
	}
	require.NoError(t, json.Unmarshal([]byte(m.String()), &shown))
	require.Equal(t, m.Snapshot(), shown.Kinds)
}

func TestNilMeterCountsNothing(t *testing.T) {
	var m *Meter
	m.Add("a", 1, 1)
	near, _ := net.Pipe()
	require.NoError(t, m.Wrap("a", near).Close())
	require.Empty(t, m.Snapshot())
	require.Zero(t, m.Open())
	require.Contains(t, m.String(), "open_connections")
}

func TestConcurrentCountsOfManyKinds(t *testing.T) {
	// Guards against kinds from other daemons using unbounded memory, and against lost
	// updates by concurrent callers.
	rapid.Check(t, func(t *rapid.T) {
		var m Meter
		kinds := rapid.IntRange(1, 3*maxKinds).Draw(t, "kinds")
		var wg sync.WaitGroup
		for worker := range 4 {
			wg.Go(func() {
				for i := range kinds {
					m.Add(Kind(fmt.Sprint("k", i)), int64(worker), 2)
				}
			})
		}
		wg.Wait()
		all := m.Snapshot()
		require.LessOrEqual(t, len(all), maxKinds+1)
		var sum Counts
		for _, c := range all {
			sum = sum.Add(c)
		}
		require.Equal(t, Counts{Calls: uint64(4 * kinds), Sent: uint64(6 * kinds), Received: uint64(8 * kinds)}, sum)
		require.Equal(t, Counts{}, sum.Sub(sum))
	})
}
