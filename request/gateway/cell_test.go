package gateway

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/keys"
	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/connection/store"
	"fennelshunt.example/fennelshunt/process/fleet"
	"fennelshunt.example/fennelshunt/process/fleet/fleettest"
	"fennelshunt.example/fennelshunt/process/ownership"
	"fennelshunt.example/fennelshunt/process/ownership/ownershiptest"
	"fennelshunt.example/fennelshunt/process/plan"
	"fennelshunt.example/fennelshunt/request/forward"
	"fennelshunt.example/fennelshunt/request/idem"
	"fennelshunt.example/fennelshunt/request/outlier"
	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/standin/kv"
)

// cell is a group of daemons with a gateway and a key table each, over one pool
// of slots.
type cell struct {
	pool      *pool
	claims    *ownershiptest.Cell
	endpoints []*endpoint.Endpoint
	gateways  []*Gateway
	urls      []string
	keys      []*idem.Manager
	members   []fleet.Member
	servers   [][]*httptest.Server // of each daemon: for callers and for other daemons
	opened    []*atomic.Int64      // of each daemon: connections accepted from other daemons
}

func newCell(t testing.TB, daemons, instances int, o Options) *cell {
	t.Helper()
	c := &cell{pool: newPool(), claims: ownershiptest.NewCell()}
	for i := range instances {
		c.endpoints = append(c.endpoints, startEndpoint(t, c.pool,
			endpoint.Options{Slots: 4, Connections: 64, Seed: uint64(i), Work: time.Millisecond}))
	}
	memory := kv.New()
	peers := make([]*httptest.Server, daemons)
	for i := range daemons {
		peers[i] = httptest.NewUnstartedServer(nil)
		c.members = append(c.members, fleet.Member{
			Ref:         peer.Ref{ID: peer.MemberID("d" + strconv.Itoa(i)), Incarnation: 1},
			ForwardAddr: peers[i].Listener.Addr().String(),
		})
	}
	for i, m := range c.members {
		view := fleettest.NewView(m, c.members...)
		keys := idem.New(idem.Options{Self: m.Ref, Directory: c.claims.Directory(m.Ref), Members: view,
			Store: store.NewClient(memory, store.Options{FleetSize: 1}).Role(store.RoleIntents), Log: zerolog.Nop(), WritesPerSecond: 1000})
		o.Self, o.Slots, o.Keys = m.ID, c.pool, keys
		o.Forwarder = forward.New(forward.Options{Members: func() int { return daemons }})
		o.Peers, o.AllowPlainPeers = forward.New(forward.Options{}), true
		o.Outliers = outlier.New(outlier.Options{})
		g, callers := startServer(t, o)
		peers[i].Config = NewServer(g.PeerHandler())
		opened := &atomic.Int64{}
		peers[i].Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		c.opened = append(c.opened, opened)
		peers[i].Start()
		t.Cleanup(peers[i].Close)
		c.gateways, c.urls, c.keys = append(c.gateways, g), append(c.urls, callers.URL), append(c.keys, keys)
		c.servers = append(c.servers, []*httptest.Server{callers, peers[i]})
	}
	for i := range idem.Shards {
		owner := i % daemons
		r := ownership.Resource(ownership.KeysPrefix + strconv.Itoa(i))
		c.keys[owner].Acquired(t.Context(), c.claims.Set(r, c.members[owner].Ref))
	}
	return c
}

// kill closes the daemon's listeners and connections and assigns its keys to
// another one. The daemon is not notified, as if it were suspended: requests
// that it has started continue.
func (c *cell) kill(t testing.TB, i, successor int) {
	t.Helper()
	for _, s := range c.servers[i] {
		require.NoError(t, s.Listener.Close())
		s.CloseClientConnections()
	}
	for n := range idem.Shards {
		r := ownership.Resource(ownership.KeysPrefix + strconv.Itoa(n))
		if c.claims.Claim(r).Owner == c.members[i].Ref {
			c.keys[successor].Acquired(t.Context(), c.claims.Set(r, c.members[successor].Ref))
		}
	}
}

// runs returns how often the request with that key ran, at all endpoints.
func (c *cell) runs(key string) int {
	n := 0
	for _, e := range c.endpoints {
		n += e.Runs(key)
	}
	return n
}

func (c *cell) setFaults(f endpoint.Faults) {
	for _, e := range c.endpoints {
		e.SetFaults(f)
	}
}

func (c *cell) checkLimits(t testing.TB) {
	t.Helper()
	for _, e := range c.endpoints {
		require.Empty(t, e.Report().Violations)
	}
}

// TestManyForwardedRequestsKeepTheirConnections guards against a handshake for each request
// that is forwarded to its key owner, when many are forwarded at once.
func TestManyForwardedRequestsKeepTheirConnections(t *testing.T) {
	c := newCell(t, 2, 16, Options{})
	c.setFaults(endpoint.Faults{Delay: 20 * time.Millisecond})
	const together, rounds = 60, 5
	for round := range rounds {
		var wg sync.WaitGroup
		for i := range together {
			wg.Go(func() {
				key := fmt.Sprintf("deed-%d-%d", round, i)
				r := do(t, "POST", c.urls[0], key, "deed", KeyHeader, key)
				assert.NoError(t, r.err)
				assert.Equal(t, http.StatusOK, r.status)
			})
		}
		wg.Wait()
	}
	require.LessOrEqual(t, c.opened[0].Load()+c.opened[1].Load(), int64(together), "more connections than concurrent requests")
}

func TestKeyRunsOnceWhicheverDaemonsItReaches(t *testing.T) {
	// Guards against a key that runs twice because the caller's retry reaches
	// another daemon behind the load balancer, which has no record of the first
	// request.
	c := newCell(t, 3, 2, Options{})
	c.setFaults(endpoint.Faults{Delay: 30 * time.Millisecond})
	results := make(chan result)
	const arrivals = 6
	for i := range arrivals {
		go func() {
			results <- do(t, "POST", c.urls[i%len(c.urls)], "deed-7", "deed 7", KeyHeader, "deed-7")
		}()
	}
	for range arrivals {
		r := <-results
		require.NoError(t, r.err)
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
		require.Equal(t, "ran", r.verdict())
		require.Equal(t, string(endpoint.ResponseBody("deed-7", []byte("deed 7"))), string(r.body))
	}
	require.Equal(t, 1, c.runs("deed-7"))

	other := do(t, "POST", c.urls[0], "deed-7", "deed 8", KeyHeader, "deed-7")
	require.Equal(t, "not-run", other.verdict(), "the key of another request")
	require.Equal(t, idem.CodeMismatch, other.header.Get("Fennel-Code"))
}

func TestKeyRunsAtMostOnceThroughACrashOfItsOwner(t *testing.T) {
	// Guards against a key that runs twice because its owner crashes, or is
	// partitioned, after it has sent the request, and the caller's retry reaches
	// the new owner: only the old one had a record that the request was sent.
	c := newCell(t, 3, 4, Options{})
	c.setFaults(endpoint.Faults{Delay: 2 * time.Millisecond})
	var wg sync.WaitGroup
	var whole, unknown atomic.Int32
	const total, killAt = 240, 80
	for i := range total {
		if i == killAt {
			c.kill(t, 0, 1)
		}
		wg.Go(func() {
			key := "pallet-" + strconv.Itoa(i)
			var last []string
			for try := range 6 {
				r := do(t, "POST", c.urls[(i+try)%3], key, key, KeyHeader, key)
				last = append(last, r.header.Get("Fennel-Code")+r.verdict())
				switch {
				case r.err != nil || r.verdict() == "not-run":
					time.Sleep(10 * time.Millisecond) // the caller's retry, at another daemon
					continue
				case r.status == http.StatusOK && string(r.body) == string(endpoint.ResponseBody(key, []byte(key))):
					whole.Add(1)
				case r.verdict() == "may-have-run":
					unknown.Add(1)
				case r.header.Get("Fennel-Code") == idem.CodeAnswerNotKept:
					// The old owner had made the outcome durable, but kept the answer in memory.
					if c.runs(key) != 1 {
						t.Errorf("%s got answer_not_kept, but did not run once", key)
					}
					unknown.Add(1)
				default:
					t.Errorf("%s: status %d, %s, %.80q", key, r.status, r.verdict(), r.body)
				}
				return
			}
			t.Errorf("%s was never answered: %s", key, last)
		})
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	for i := range total {
		require.LessOrEqual(t, c.runs("pallet-"+strconv.Itoa(i)), 1, "order %d", i)
	}
	require.Greater(t, whole.Load(), int32(total*9/10), "%d may have run", unknown.Load())
	t.Logf("whole %d, may have run %d", whole.Load(), unknown.Load())
}

func TestForwardedRequestsNeedMutualTLS(t *testing.T) {
	g := New(Options{Config: testConfig(time.Second), Slots: newPool(), Forwarder: forward.New(forward.Options{})})
	server := httptest.NewServer(g.PeerHandler())
	defer server.Close()
	r := do(t, "POST", server.URL, "k", "", KeyHeader, "k", ForwardedHeader, "d1")
	require.Equal(t, http.StatusForbidden, r.status)
	require.Equal(t, "not-run", r.verdict())
}

func TestForwardedRequestsOverMutualTLS(t *testing.T) {
	// Guards against a refusal of every keyed request that another daemon
	// forwards over mutual TLS: the handler identifies daemons by the verified
	// chains, which a TLS configuration with its own verification leaves empty.
	// Peers without a certificate, or with one of another CA, must be refused.
	own, err := keys.Ephemeral("127.0.0.1")
	require.NoError(t, err)
	foreign, err := keys.Ephemeral("127.0.0.1")
	require.NoError(t, err)
	table := &ownerOfAll{}
	g := New(Options{Config: testConfig(5 * time.Second), Slots: newPool(), Forwarder: forward.New(forward.Options{}), Keys: table})
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(g.PeerHandler())
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // refused handshakes
	server.Listener = tls.NewListener(server.Listener, own.PeerHTTPConfig())
	server.Start()
	defer server.Close()

	send := func(c *tls.Config) (*forward.Answer, error) {
		h := http.Header{ServiceHeader: {testService}, ForwardedHeader: {"d1"}, KeyHeader: {"k"}}
		forward.PrepareRequest(h, "id")
		return forward.New(forward.Options{TLS: c}).Send(t.Context(), plan.Endpoint{Address: server.Listener.Addr().String(), Slots: 1, Conns: 2},
			&forward.Outgoing{Method: "POST", URL: &url.URL{Path: "/"}, Host: testService, Header: h, ID: "id"})
	}
	a, err := send(own.PeerConfig())
	require.NoError(t, err)
	defer a.Close()
	require.Equal(t, http.StatusOK, a.Status)
	require.EqualValues(t, 1, table.begun.Load())
	without := own.PeerConfig()
	without.GetCertificate, without.GetClientCertificate = nil, nil
	for name, c := range map[string]*tls.Config{"without a certificate": without, "stranger": foreign.PeerConfig()} {
		_, err := send(c)
		require.Error(t, err, name)
	}
	require.EqualValues(t, 1, table.begun.Load(), "a refused request was served")
}

// ownerOfAll is a key table that owns every key and has an answer for each.
type ownerOfAll struct{ begun atomic.Int32 }

func (*ownerOfAll) Owner(idem.Key) (fleet.Member, bool, bool) { return fleet.Member{}, true, true }

func (o *ownerOfAll) Begin(context.Context, idem.Request) (*idem.Attempt, *idem.Answer, error) {
	o.begun.Add(1)
	return nil, &idem.Answer{Status: http.StatusOK}, nil
}
