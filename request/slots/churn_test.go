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

// churn drives faults and load in one cell.
type churn struct {
	*cell
	r        *rand.Rand
	lives    uint64
	attempts map[int]int
	pending  int // requests under way
	done     chan error
}

// TestChurnNeverExceedsSlots runs load through kills, pauses, cuts, loss,
// outages of the store and endpoint churn.
//
// Symptom: an instance gets more requests at once than it has slots, a waiter
// is never answered, or slots are lost for good.
// Sequence: random; see churn.fault.
// Cause: a slot counted as free while someone may still use it, or the reverse.
func TestChurnNeverExceedsSlots(t *testing.T) {
	seeds := 6
	if os.Getenv("FENNEL_LONG") != "" {
		seeds = 200
	}
	for seed := range seeds {
		if only := os.Getenv("FENNEL_SEED"); only != "" && only != strconv.Itoa(seed) {
			continue
		}
		synctest.Test(t, func(t *testing.T) { runChurn(t, uint64(seed)) })
	}
}

func runChurn(t *testing.T, seed uint64) {
	c := &churn{
		cell: newCell(t, seed, churnDaemons), r: rand.New(rand.NewPCG(seed, 11)), lives: 1,
		attempts: map[int]int{}, done: make(chan error, 100000),
	}
	defer c.close()
	c.setEndpoints(churnInstances, churnSlots)
	c.own(c.daemons["d0"])
	end := time.Now().Add(churnTime)
	next := time.Now().Add(5 * time.Second) // the first owner has granted by then
	for time.Now().Before(end) {
		if !time.Now().Before(next) {
			c.fault()
			c.replaceLostOwner()
			next = time.Now().Add(time.Duration(c.r.IntN(2500)) * time.Millisecond)
		}
		c.load()
		time.Sleep(time.Duration(c.r.ExpFloat64() * float64(40*time.Millisecond)))
	}
	c.heal()
	c.drain()
	// Longer than a credit, a request and the margins take to run out, twice.
	time.Sleep(90 * time.Second)
	c.requireAllSlots(c.daemons["d1"], churnInstances*churnSlots)
	require.Positive(t, c.users.started, "seed %d", seed)
}

// load starts one request at a random daemon that runs.
func (c *churn) load() {
	d := c.daemons[memberID(c.r.IntN(churnDaemons))]
	if d.dead.Load() || d.paused.Load() {
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

// churnRequest may give up on the request while the instance still works.
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
	c.users.begin(s.Endpoint())
	time.AfterFunc(service, func() { c.users.end(s.Endpoint()) })
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
		c.revive(d)
	case 2:
		c.cutStore(d)
	case 3:
		c.healStore(d)
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
	if d.dead.Load() {
		return
	}
	d.dead.Store(true)
	d.stop()
	c.net.Stop(d.ref)
	for _, o := range c.daemons {
		o.view.SetGone(d.ref)
	}
}

func (c *churn) revive(d *daemon) {
	if !d.dead.Load() {
		return
	}
	c.lives++
	c.start(peer.Ref{ID: d.ref.ID, Incarnation: c.lives})
}

func (c *churn) cutStore(d *daemon) {
	if d.cut().IsZero() {
		d.setCut(time.Now())
		d.directory.Freeze()
	}
}

func (c *churn) healStore(d *daemon) {
	if d.cut().IsZero() {
		return
	}
	d.setCut(time.Time{})
	d.directory.Thaw()
	claim := c.claims.Claim(serviceResource(testService))
	if p := d.pool(testService); p != nil && p.epoch < claim.Epoch {
		d.Lost(claim.Resource, p.epoch)
	}
}

// pause holds a daemon for longer than its credits last.
func (c *churn) pause(d *daemon) {
	if d.dead.Load() || d.paused.Load() {
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

// move gives the pool to d as the ownership manager would: by a release, or
// from an owner that is dead or has been cut off for longer than its lease.
func (c *churn) move(d *daemon) {
	claim := c.claims.Claim(serviceResource(testService))
	if d.dead.Load() || d.paused.Load() || !d.cut().IsZero() || claim.Owner == d.ref {
		return
	}
	old := c.daemons[claim.Owner.ID]
	lapsed := old.ref != claim.Owner || old.dead.Load() || !old.cut().IsZero() && time.Since(old.cut()) > 9*time.Second
	switch {
	case lapsed:
		if old.ref == claim.Owner {
			c.goneForOthers(old)
		}
		c.own(d)
	case !old.paused.Load() && old.cut().IsZero():
		_ = old.Releasing(c.t.Context(), claim.Resource)
		c.claims.Release(claim.Resource)
		c.own(d)
	}
}

// replaceLostOwner lets one in three chances pass, so that some time goes by.
func (c *churn) replaceLostOwner() {
	owner := c.claims.Claim(serviceResource(testService)).Owner
	d := c.daemons[owner.ID]
	if (d.ref != owner || d.dead.Load()) && c.r.IntN(3) > 0 {
		c.move(c.daemons[memberID(c.r.IntN(churnDaemons))])
	}
}

// goneForOthers cuts an owner whose lease lapsed off from whoever has the
// store, as the rule that declares it gone requires.
func (c *churn) goneForOthers(old *daemon) {
	for _, o := range c.daemons {
		if o != old && o.cut().IsZero() {
			o.view.SetGone(old.ref)
			c.net.Cut(old.ref.ID, o.ref.ID)
		}
	}
}

// heal ends every fault; a daemon that was declared gone restarts.
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
		c.healStore(d)
		if d.dead.Load() || c.goneSomewhere(d) {
			c.kill(d)
			c.revive(d)
		}
	}
	c.own(c.daemons["d1"])
	c.setFresh()
}

func (c *churn) goneSomewhere(d *daemon) bool {
	for _, o := range c.daemons {
		if o.view.Gone(d.ref) {
			return true
		}
	}
	return false
}

// setFresh replaces every instance, so that no sign of leaving is left.
func (c *churn) setFresh() {
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

// drain asserts that every request got its answer.
func (c *churn) drain() {
	for ; c.pending > 0; c.pending-- {
		if err := <-c.done; err != nil && verdict.Of(err) != verdict.NotRun {
			c.t.Errorf("a request without a slot was not told not run: %v", err)
		}
	}
}
