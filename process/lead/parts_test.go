package lead

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// TestTwoPartsAreNotClaimedAtOnce guards against a daemon that leads two parts beside one
// that leads none, because it claimed both before it led either.
func TestTwoPartsAreNotClaimedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		var first sync.WaitGroup // both electors ask before either claims
		first.Add(2)
		var mainNow, partNow atomic.Pointer[daemon]
		busy := func(other *atomic.Pointer[daemon]) func() bool {
			var once sync.Once
			return func() bool {
				d := other.Load()
				leads := d != nil && d.e.Leads()
				once.Do(func() { first.Done(); first.Wait() })
				return leads
			}
		}
		self := Member{Name: "a", Peer: "a", Cores: 1}
		main := startWith(Options{Self: self, Store: m, Log: zerolog.Nop(), Busy: busy(&partNow)})
		mainNow.Store(main)
		part := startWith(Options{Self: self, Store: store.Prefixed{Transactor: m, Prefix: PartPrefix(1)}, Log: zerolog.Nop(),
			Main: main.e, Busy: busy(&mainNow)})
		partNow.Store(part)
		time.Sleep(busyDelay / 2)
		require.Len(t, leading(main, part), 1)
		time.Sleep(2 * busyDelay)
		require.Len(t, leading(main, part), 2, "nobody else is there")
		part.stop()
		main.stop()
	})
}
