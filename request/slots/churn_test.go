package slots

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
	"fennelshunt.example/fennelshunt/request/verdict"
)

const (
	churnDaemons   = 5
	churnInstances = 6
	churnSlots     = 4
	churnTime      = 3 * time.Minute
	churnWait      = 4 * time.Second
)

// churn generates faults and load in one cell.
type churn struct {
	*cell
	r            *rand.Rand
	incarnations uint64
	attempts     map[int]int
	pending      int // requests in progress
	done         chan error
}

// TestChurnNeverExceedsSlots runs load during crashes, pauses, disconnections, message loss,
// outages of the store and changes of endpoints, in random sequences; see churn.fault.
//
// It guards against an instance that gets more requests at once than it has slots, a waiter that
// is never answered, and slots that are lost permanently: a slot is counted as free while a holder
// may still use it, or the reverse.
func TestChurnNeverExceedsSlots(t *testing.T) {
	seeds := 6
	if os.Getenv("FENNEL_LONG") != "" {
		seeds = 200
	}
	for seed := range seeds {
		if only := os.Getenv("FENNEL_SEED"); only != "" && only != strconv.Itoa(seed) {
			continue
		}
		synctest.Test(t, func(t *testing.T) { runChurn(t, uint64(seed), func(*churn) {}) })
	}
}

// TestChurnWithSlowAnswersNeverExceedsSlots guards against the same where calls between daemons take
// up to twice their timeout for seconds, so that answers are accepted late.
func TestChurnWithSlowAnswersNeverExceedsSlots(t *testing.T) {
	seeds := 6
	if os.Getenv("FENNEL_LONG") != "" {
		seeds = 200
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			delays := rand.New(rand.NewPCG(uint64(seed), 12))
			next := time.Now()
			runChurn(t, uint64(seed), func(c *churn) {
				if time.Now().Before(next) {
					return
				}
				delay := time.Millisecond
				if delays.IntN(2) == 0 {
					delay = time.Duration(delays.Int64N(int64(DefaultCallTimeout)))
				}
				c.net.SetDelay(delay)
				next = time.Now().Add(time.Duration(delays.IntN(8000)) * time.Millisecond)
			})
		})
	}
}

// runChurn runs one sequence; disturb is called before each request.
func runChurn(t *testing.T, seed uint64, disturb func(*churn)) {
	c := &churn{
		cell: newCell(t, seed, churnDaemons), r: rand.New(rand.NewPCG(seed, 11)), incarnations: 1,
		attempts: map[int]int{}, done: make(chan error, 100000),
	}
	defer c.close()
	c.setEndpoints(churnInstances, churnSlots)
	c.own(c.daemons["d0"])
	end := time.Now().Add(churnTime)
	next := time.Now().Add(5 * time.Second) // by then the first owner has granted credits
	for time.Now().Before(end) {
		if !time.Now().Before(next) {
			c.fault()
			c.replaceLostOwner()
			next = time.Now().Add(time.Duration(c.r.IntN(2500)) * time.Millisecond)
		}
		disturb(c)
		c.load()
		time.Sleep(time.Duration(c.r.ExpFloat64() * float64(40*time.Millisecond)))
	}
	c.net.SetDelay(time.Millisecond)
	c.heal()
	c.drain()
	// Longer than twice the sum of TTL, request limit and margins.
	time.Sleep(90 * time.Second)
	c.requireAllSlots(c.daemons["d1"], churnInstances*churnSlots)
	require.Positive(t, c.instances.started, "seed %d", seed)
}

// load starts one request at a random daemon, if it is running.
func (c *churn) load() {
	d := c.daemons[memberID(c.r.IntN(churnDaemons))]
	if d.crashed.Load() || d.paused.Load() {
		return
	}
	service := time.Duration(c.r.ExpFloat64() * float64(600*time.Millisecond))
	if c.r.IntN(20) == 0 {
		service *= 5
	}
	service = min(service, testLimit)
	unknown := c.r.IntN(30) == 0
	c.pending++
	go func() { c.done <- c.churnRequest(d, service, unknown) }()
}

// churnRequest makes one request. With unknown set, it releases the slot with outcome Unknown while
// the instance still works on the request.
func (c *churn) churnRequest(d *daemon, service time.Duration, unknown bool) error {
	if !unknown {
		_, err := c.request(d, churnWait, service)
		return err
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), churnWait)
	defer cancel()
	s, err := d.Acquire(ctx, testService)
	if err != nil {
		return err
	}
	c.instances.begin(s.Endpoint())
	time.AfterFunc(service, func() { c.instances.end(s.Endpoint()) })
	time.Sleep(service / 2)
	s.Release(Unknown)
	return nil
}

func (c *churn) fault() {
	d := c.daemons[memberID(c.r.IntN(churnDaemons))]
	o := c.daemons[memberID(c.r.IntN(churnDaemons))]
	switch c.r.IntN(10) {
	case 0:
		c.kill(d)
	case 1:
		c.restart(d)
	case 2:
		c.disconnectStore(d)
	case 3:
		c.reconnectStore(d)
	case 4:
		c.net.Cut(d.ref.ID, o.ref.ID)
	case 5:
		c.net.Heal(d.ref.ID, o.ref.ID)
	case 6:
		c.net.SetLoss(float64(c.r.IntN(3)) * 0.1)
	case 7:
		c.pause(d)
	case 8:
		c.churnEndpoint()
	case 9:
		c.move(d)
	}
}

func (c *churn) kill(d *daemon) {
	if d.crashed.Load() {
		return
	}
	d.crashed.Store(true)
	d.stop()
	c.net.Stop(d.ref)
	for _, o := range c.daemons {
		o.view.SetEnded(d.ref)
	}
}

func (c *churn) restart(d *daemon) {
	if !d.crashed.Load() {
		return
	}
	c.incarnations++
	c.start(peer.Ref{ID: d.ref.ID, Incarnation: c.incarnations})
}

func (c *churn) disconnectStore(d *daemon) {
	if d.disconnectedAt().IsZero() {
		d.setDisconnected(time.Now())
		d.directory.Freeze()
	}
}

func (c *churn) reconnectStore(d *daemon) {
	if d.disconnectedAt().IsZero() {
		return
	}
	d.setDisconnected(time.Time{})
	d.directory.Thaw()
	claim := c.claims.Claim(serviceResource(testService))
	if p := d.pool(testService); p != nil && p.epoch < claim.Epoch {
		d.Lost(claim.Resource, p.epoch)
	}
}

// pause pauses a daemon for up to longer than its credits are valid.
func (c *churn) pause(d *daemon) {
	if d.crashed.Load() || d.paused.Load() {
		return
	}
	d.paused.Store(true)
	c.net.Pause(d.ref)
	time.AfterFunc(time.Duration(c.r.IntN(25))*time.Second, func() {
		c.net.Resume(d.ref)
		d.paused.Store(false)
	})
}

// churnEndpoint replaces an instance or marks it as leaving.
func (c *churn) churnEndpoint() {
	i := c.r.IntN(len(c.endpoints))
	if c.r.IntN(2) == 0 {
		c.daemons[memberID(c.r.IntN(churnDaemons))].MarkLeaving(c.endpoints[i].Address)
		return
	}
	c.endpoints = append(c.endpoints[:0:0], c.endpoints...)
	index := c.endpoints[i].Task.Index
	c.attempts[index]++
	c.endpoints[i] = endpoint(index, c.attempts[index], churnSlots)
	c.publish()
}

// move makes d the owner of the pool as the ownership manager would: after a release, or from an
// owner that has failed or has been disconnected for longer than its lease.
func (c *churn) move(d *daemon) {
	claim := c.claims.Claim(serviceResource(testService))
	if d.crashed.Load() || d.paused.Load() || !d.disconnectedAt().IsZero() || claim.Owner == d.ref {
		return
	}
	old := c.daemons[claim.Owner.ID]
	expired := old.ref != claim.Owner || old.crashed.Load() || !old.disconnectedAt().IsZero() && time.Since(old.disconnectedAt()) > 9*time.Second
	switch {
	case expired:
		if old.ref == claim.Owner {
			c.removeForOthers(old)
		}
		c.own(d)
	case !old.paused.Load() && old.disconnectedAt().IsZero():
		_ = old.Releasing(c.t.Context(), claim.Resource)
		c.claims.Release(claim.Resource)
		c.own(d)
	}
}

// replaceLostOwner skips one in three calls, so that some time passes.
func (c *churn) replaceLostOwner() {
	owner := c.claims.Claim(serviceResource(testService)).Owner
	d := c.daemons[owner.ID]
	if (d.ref != owner || d.crashed.Load()) && c.r.IntN(3) > 0 {
		c.move(c.daemons[memberID(c.r.IntN(churnDaemons))])
	}
}

// removeForOthers marks an owner whose lease has expired as ended at every daemon that reaches the
// store, and disconnects it from them: a member counts as ended only while probes of it fail.
func (c *churn) removeForOthers(old *daemon) {
	for _, o := range c.daemons {
		if o != old && o.disconnectedAt().IsZero() {
			o.view.SetEnded(old.ref)
			c.net.Cut(old.ref.ID, o.ref.ID)
		}
	}
}

// heal ends every fault; a daemon that was listed as ended restarts.
func (c *churn) heal() {
	c.net.SetLoss(0)
	for i := range churnDaemons {
		for j := range churnDaemons {
			c.net.Heal(memberID(i), memberID(j))
		}
	}
	time.Sleep(30 * time.Second) // every pause is over
	for i := range churnDaemons {
		d := c.daemons[memberID(i)]
		c.reconnectStore(d)
		if d.crashed.Load() || c.removedSomewhere(d) {
			c.kill(d)
			c.restart(d)
		}
	}
	c.own(c.daemons["d1"])
	c.replaceInstances()
}

func (c *churn) removedSomewhere(d *daemon) bool {
	for _, o := range c.daemons {
		if o.view.HasEnded(d.ref) {
			return true
		}
	}
	return false
}

// replaceInstances replaces every instance, so that no leaving notice applies any more.
func (c *churn) replaceInstances() {
	for i := range c.endpoints {
		index := c.endpoints[i].Task.Index
		c.attempts[index]++
	}
	list := c.endpoints[:0:0]
	for i := range churnInstances {
		list = append(list, endpoint(i, c.attempts[i]+1, churnSlots))
	}
	c.endpoints = list
	c.publish()
}

// drain asserts that every request was answered.
func (c *churn) drain() {
	for ; c.pending > 0; c.pending-- {
		if err := <-c.done; err != nil && verdict.Of(err) != verdict.NotRun {
			c.t.Errorf("a request without a slot has another verdict than not run: %v", err)
		}
	}
}
