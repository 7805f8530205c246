package loadshed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/version/work"
)

// gang is a job of a gang queue: its value is lost after 30 s.
var gang = Job{Priority: 1, Account: "a", Objective: 10 * time.Second, Path: 5 * time.Second}

// overload is a digest by which gangs of the accounts a and b wait for far longer than they are worth
// anything.
func overload() *Digest {
	return &Digest{Epoch: 1, Cores: 1000, Proxies: 10, Weights: 4,
		Classes:  []ClassLoad{{Class: Class{Priority: 1}, Work: Waiting{InTime: 3000, Late: 9000}, Due: []float64{3000}, Rate: 100, Advice: 0.25}},
		Accounts: []AccountLoad{{Name: "a", Weight: 1, Classes: []AccountClass{{Class: Class{Priority: 1}, Work: Waiting{InTime: 2000, Late: 3000}}}}, {Name: "b", Weight: 1}}}
}

func judge(d *Digest, j Job) Decision {
	var g Gate
	g.Take(d, 0)
	return g.Judge(j, 0, d.Epoch, 0.5)
}

func TestOverloadIsRefused(t *testing.T) {
	// Guards against accepting jobs that are worth nothing when they are completed.
	x := judge(overload(), gang)
	require.True(t, x.Refuse)
	require.Equal(t, Wait{Room: 90 * time.Second, Advice: 30 * time.Second}, x.Wait, "12,000 core-seconds at 100 per second, a quarter of it for advice")
	require.Equal(t, "room", x.Wait.Cause())
}

func TestBusyCellRefusesNothing(t *testing.T) {
	// Guards against refusing jobs that would still be of value: late is not too late.
	d := overload()
	d.Classes[0].Work, d.Classes[0].Due = Waiting{InTime: 1500, Late: 1500}, []float64{1500}
	x := judge(d, gang)
	require.False(t, x.Refuse)
	require.Equal(t, 30*time.Second, x.Wait.Total())
}

func TestWorkThatComesAfterTheJobDoesNotCount(t *testing.T) {
	// Guards against refusals because of less urgent work.
	urgent := Job{Priority: 0, Account: "a", Objective: 2 * time.Second, Path: time.Second}
	require.Equal(t, Decision{}, judge(overload(), urgent), "gangs wait, of a less urgent queue")

	// Late steps come after those that can be in time, and those with a later due time after the
	// others of their class.
	d := overload()
	d.Classes[0].Work, d.Classes[0].Due = Waiting{InTime: 9000, Late: 90000}, []float64{100, 0, 0, 0, 0, 0, 0, 0, 8900}
	x := judge(d, gang)
	require.False(t, x.Refuse)
	require.Equal(t, time.Second, x.Wait.Total())
}

func TestAccountIsJudgedByItsShare(t *testing.T) {
	// Guards against refusing an account's jobs because of the work of others.
	d := overload()
	require.True(t, judge(d, gang).Refuse)
	small := gang
	small.Account = "b"
	require.Equal(t, Decision{}, judge(d, small), "b has nothing waiting")
	small.Account = "not-listed"
	require.Equal(t, Decision{}, judge(d, small))
	d.Accounts[1].Beyond = 0.6
	small.Account = "b"
	require.True(t, judge(d, small).Refuse, "what it submits beyond its entitlement comes after all the other work")
}

func TestShortJobsAreNotJudgedAsBeyond(t *testing.T) {
	// Guards against refusing quick jobs of an account that submits too much: it is not certain which of
	// them are beyond its entitlement.
	d := overload()
	d.Accounts[1].Beyond = 1
	short := Job{Priority: 1, Account: "b", Objective: window/work.LateFactor - time.Millisecond, Path: time.Second}
	require.False(t, judge(d, short).Refuse)
	short.Objective = window/work.LateFactor + time.Millisecond
	require.True(t, judge(d, short).Refuse)
}

func TestQuotaOfTheAccountDelaysIt(t *testing.T) {
	// Guards against accepting jobs that the account's quota delays until they are worth nothing.
	d := &Digest{Epoch: 1, Cores: 1000, Proxies: 10, Weights: 1, Accounts: []AccountLoad{{Name: "a", Weight: 1,
		Classes: []AccountClass{{Class: Class{Priority: 1}, Work: Waiting{Late: 600}, Blocked: Waiting{Late: 600}, Quota: Waiting{Late: 60}}}}}}
	x := judge(d, gang)
	require.False(t, x.Refuse, "late work comes after a job that can be in time")
	d.Accounts[0].Classes[0].Work = Waiting{InTime: 600, Late: 600}
	d.Accounts[0].Classes[0].Rate = 10
	x = judge(d, gang)
	require.True(t, x.Refuse)
	require.Equal(t, Wait{Quota: 2 * time.Minute}, x.Wait)
	require.Equal(t, "quota", x.Wait.Cause())
}

func TestOnlyFreshDigestsOfTheLeaderAreUsed(t *testing.T) {
	// Guards against refusals because of a load that is over, or by a deposed leader's digest.
	var g Gate
	require.True(t, g.Judge(gang, 0, 1, 0).Outdated, "no digest yet")
	d := overload()
	d.Age = 300 * time.Millisecond
	g.Take(d, 2*time.Second)
	require.True(t, g.Judge(gang, 2700*time.Millisecond, 1, 0).Refuse)
	require.Equal(t, time.Second, g.Judge(gang, 2700*time.Millisecond, 1, 0).Age, "counted from the sending of the request, with its age at the leader")
	require.Equal(t, Decision{Outdated: true}, g.Judge(gang, 2701*time.Millisecond, 1, 0))
	require.Equal(t, Decision{Outdated: true}, g.Judge(gang, 2*time.Second, 2, 0), "another leader has taken over")

	// Answers can overtake each other.
	calm := &Digest{Epoch: 1}
	g.Take(calm, 1500*time.Millisecond)
	require.True(t, g.Judge(gang, 2*time.Second, 1, 0).Refuse, "that digest is older")
	g.Take(&Digest{Epoch: 2}, 1500*time.Millisecond)
	require.False(t, g.Judge(gang, 2*time.Second, 2, 0).Refuse)
	g.Take(overload(), 3*time.Second)
	require.True(t, g.Judge(gang, 3*time.Second, 1, 0).Outdated, "an earlier leader's digest is not taken")
}

func TestJobsThatCannotBeJudgedAreAccepted(t *testing.T) {
	// Guards against refusing jobs whose end cannot be estimated.
	plain := work.Job{Queue: work.Queue{Priority: 1, Slack: 2}, Account: "a", Steps: []work.Step{{Count: 2, Estimate: 5 * time.Second}}}
	require.True(t, judge(overload(), JobOf(&plain)).Refuse)
	for what, change := range map[string]func(*work.Job){
		"repeats":      func(j *work.Job) { j.Repeat = 2 },
		"starts later": func(j *work.Job) { j.StartAt = 1 },
		"no estimate":  func(j *work.Job) { j.Steps[0].Estimate = 0 },
		"long-running": func(j *work.Job) { j.Steps[0].LongRunning = true },
		"best effort":  func(j *work.Job) { j.Steps[0].BestEffort = true },
	} {
		j := plain
		j.Steps = []work.Step{plain.Steps[0]}
		change(&j)
		require.False(t, judge(overload(), JobOf(&j)).Refuse, what)
	}
}

// drawDigest draws a digest with classes of both kinds and some accounts.
func drawDigest(t *rapid.T) *Digest {
	amount := rapid.Float64Range(0, 20000)
	waiting := func(name string) Waiting {
		return Waiting{InTime: amount.Draw(t, name+" in time"), Late: amount.Draw(t, name+" late")}
	}
	d := &Digest{Epoch: 1, Cores: rapid.Float64Range(0, 10000).Draw(t, "cores"), Proxies: rapid.Float64Range(0, 40).Draw(t, "proxies"), Weights: 10}
	for _, beyond := range []bool{false, true} {
		for p := range 3 {
			c := ClassLoad{Class: Class{Priority: p, Over: beyond}, Work: waiting("work"), Proxy: waiting("proxy"), Rate: rapid.Float64Range(0, 2000).Draw(t, "rate"), Advice: rapid.Float64Range(0, 1).Draw(t, "advice")}
			c.Due = []float64{c.Work.InTime / 2, 0, 0, 0, 0, 0, c.Work.InTime / 2}
			d.Classes = append(d.Classes, c)
		}
	}
	for _, name := range []string{"a", "b"} {
		a := AccountLoad{Name: name, Weight: rapid.Float64Range(0.1, 5).Draw(t, "weight"), Beyond: rapid.Float64Range(0, 1).Draw(t, "beyond")}
		for p := range 3 {
			a.Classes = append(a.Classes, AccountClass{Class: Class{Priority: p}, Work: waiting("own"), Proxy: waiting("own proxy"), Quota: Waiting{InTime: rapid.Float64Range(0, 60).Draw(t, "quota")}})
		}
		d.Accounts = append(d.Accounts, a)
	}
	return d
}

func drawJob(t *rapid.T) Job {
	objective := time.Duration(rapid.IntRange(1, 60000).Draw(t, "objective")) * time.Millisecond
	return Job{Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Account: rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "account"),
		Objective: objective, Path: time.Duration(float64(objective) * rapid.Float64Range(0.1, 1).Draw(t, "path"))}
}

func TestMoreLoadNeverShortensTheWait(t *testing.T) {
	// Guards against accepting a job under more load than that under which it is refused.
	rapid.Check(t, func(t *rapid.T) {
		d, j := drawDigest(t), drawJob(t)
		before := judge(d, j)
		more := rapid.Float64Range(0, 50000).Draw(t, "more")
		c := &d.Classes[rapid.IntRange(0, len(d.Classes)-1).Draw(t, "class")]
		if rapid.Bool().Draw(t, "late") {
			c.Work.Late += more
		} else {
			c.Work.InTime += more
			c.Due[0] += more
		}
		after := judge(d, j)
		if after.Wait.Total() < before.Wait.Total()-time.Microsecond {
			t.Fatalf("wait %v, with more load %v", before.Wait, after.Wait)
		}
		if before.Refuse && !after.Refuse {
			t.Fatal("refused, and with more load accepted")
		}
	})
}

func TestOthersBeyondTheirEntitlementDoNotCount(t *testing.T) {
	// Guards against refusing an account's jobs because of what others submit beyond their entitlement.
	rapid.Check(t, func(t *rapid.T) {
		d, j := drawDigest(t), drawJob(t)
		if a := d.account(j.Account); a != nil {
			a.Beyond = 0
		}
		before := judge(d, j)
		for i := range d.Classes {
			if c := &d.Classes[i]; c.Class.Over {
				c.Work.InTime += rapid.Float64Range(0, 1e6).Draw(t, "in time")
				c.Work.Late += rapid.Float64Range(0, 1e6).Draw(t, "late")
				c.Proxy.InTime += rapid.Float64Range(0, 1e6).Draw(t, "proxy")
				c.Rate *= rapid.Float64Range(0, 1).Draw(t, "rate")
			}
		}
		if after := judge(d, j); after != before {
			t.Fatalf("before %+v, after %+v", before, after)
		}
	})
}

func TestRefusalsKeepTheirBounds(t *testing.T) {
	// Guards against refusals that break the package's guarantees: a Retry-After is 1 to 3 whole
	// seconds, a refused job would end after it has lost its value, and an account without waiting
	// work is never refused.
	rapid.Check(t, func(t *rapid.T) {
		d, j := drawDigest(t), drawJob(t)
		var g Gate
		g.Take(d, 0)
		x := g.Judge(j, time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*time.Millisecond, 1, rapid.Float64Range(0, 1).Draw(t, "spread"))
		if !x.Refuse {
			if x.RetryAfter != 0 {
				t.Fatalf("accepted with a Retry-After of %v", x.RetryAfter)
			}
			return
		}
		if x.RetryAfter < time.Second || x.RetryAfter > 3*time.Second || x.RetryAfter%time.Second != 0 {
			t.Fatalf("Retry-After %v", x.RetryAfter)
		}
		if x.Age > MaxAge || x.Wait.Total()+j.Path < work.LateFactor*j.Objective || j.Account == "c" {
			t.Fatalf("refused: %+v", x)
		}
	})
}

func TestRetriesAreSpread(t *testing.T) {
	// Guards against refused callers that return together: the header has whole seconds only.
	for _, excess := range []time.Duration{0, 1500 * time.Millisecond, time.Minute} {
		seen := map[time.Duration]int{}
		for i := range 100 {
			seen[retryAfter(excess, float64(i)/100)]++
		}
		require.GreaterOrEqual(t, len(seen), 2, excess)
		for after, n := range seen {
			require.LessOrEqual(t, n, 70, after)
		}
	}
}
