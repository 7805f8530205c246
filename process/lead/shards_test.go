package lead

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// TestTwoShardsAreNotClaimedAtOnce guards against a daemon that leads two shards while
// another one leads none, because it claimed both before it led either.
func TestTwoShardsAreNotClaimedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := kv.New()
		var first sync.WaitGroup // both electors call LeadsAnother before either claims
		first.Add(2)
		var primaryNow, shardNow atomic.Pointer[daemon]
		leadsAnother := func(other *atomic.Pointer[daemon]) func() bool {
			var once sync.Once
			return func() bool {
				d := other.Load()
				leads := d != nil && d.e.Leads()
				once.Do(func() { first.Done(); first.Wait() })
				return leads
			}
		}
		self := Member{Name: "a", Peer: "a", Cores: 1}
		primary := startWith(Options{Self: self, Store: m, Log: zerolog.Nop(), LeadsAnother: leadsAnother(&shardNow)})
		primaryNow.Store(primary)
		shard := startWith(Options{Self: self, Store: store.Prefixed{Transactor: m, Prefix: ShardPrefix(1)}, Log: zerolog.Nop(),
			Primary: primary.e, LeadsAnother: leadsAnother(&primaryNow)})
		shardNow.Store(shard)
		time.Sleep(leadsAnotherDelay / 2)
		require.Len(t, leading(primary, shard), 1)
		time.Sleep(2 * leadsAnotherDelay)
		require.Len(t, leading(primary, shard), 2, "there is no other daemon")
		shard.stop()
		primary.stop()
	})
}

// TestVacancyIsLeftToDaemonsThatAnswer guards against a daemon that leads two shards
// permanently because the others, which lead none and answer, claim a second or more later.
func TestVacancyIsLeftToDaemonsThatAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		late    time.Duration // until the other daemon's elector for the shard starts
		answers bool
		own     bool // the daemon that already leads gets the shard
	}{
		{"slow", 2500 * time.Millisecond, true, false}, {"does not answer", 2500 * time.Millisecond, false, true},
		{"claims too late", 10 * time.Second, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, n := kv.New(), newNetwork()
				elect := func(name string, primary *Elector, leadsAnother func() bool) *daemon {
					o := Options{Self: Member{Name: name, Peer: name, Cores: 1}, Store: m, Log: zerolog.Nop(), Primary: primary, LeadsAnother: leadsAnother, Peers: testPeer{n, name}}
					if primary != nil {
						o.Store, o.Suffix = store.Prefixed{Transactor: m, Prefix: ShardPrefix(1)}, ".1"
					}
					return startWith(o)
				}
				a := elect("a", nil, nil)
				muxA, muxB := peer.NewMux(), peer.NewMux()
				a.e.Register(muxA)
				n.join("a", muxA)
				time.Sleep(2 * time.Second)
				require.NotNil(t, a.term())
				b := elect("b", nil, nil)
				if c.answers {
					b.e.Register(muxB)
					n.join("b", muxB)
				}
				time.Sleep(time.Second)
				aShard := elect("a", a.e, a.e.Leads)
				aShard.e.Register(muxA)
				time.Sleep(c.late)
				bShard := elect("b", b.e, b.e.Leads)
				bShard.e.Register(muxB)
				time.Sleep((leadsAnotherRounds + 1) * leadsAnotherDelay)
				require.Len(t, leading(aShard, bShard), 1)
				require.Equal(t, c.own, aShard.term() != nil)
				for _, d := range []*daemon{aShard, bShard, a, b} {
					d.stop()
				}
			})
		})
	}
}
