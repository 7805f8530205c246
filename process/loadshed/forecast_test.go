package loadshed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/peer"
)

var gangs = Class{Priority: 1}

func cellWith(steps ...Step) *Cell { return &Cell{Cores: 1000, Proxies: 10, Steps: steps} }

// run makes a digest every Period in which work is started, and returns the last one.
func run(f *Forecast, from, until time.Duration, perSecond float64, cell *Cell) (d *Digest) {
	for now := from; now <= until; now += Period {
		f.Started(gangs, "", perSecond*Period.Seconds())
		d = f.Digest(now, 1, cell)
	}
	return d
}

func TestRateIsThatOfStartsWhileWorkWaits(t *testing.T) {
	// Guards against expected waits by a rate that is not that of the recent starts.
	var f Forecast
	waiting := cellWith(Step{Class: gangs, Work: 500, Left: 5 * time.Second, AwaitsAdvice: true}, Step{Class: gangs, Work: 1500, Rank: Late}, Step{Class: gangs, Work: 7000, Rank: TooLate})
	d := run(&f, 0, 4*time.Second, 100, waiting)
	require.Zero(t, d.Classes[0].Rate, "not known yet")
	d = run(&f, 4100*time.Millisecond, 12*time.Second, 100, waiting)
	require.InDelta(t, 100, d.Classes[0].Rate, 1)
	require.Equal(t, Waiting{InTime: 500, Late: 1500}, d.Classes[0].Work, "work that is too late comes after a new job")
	require.InDelta(t, 0.25, d.Classes[0].Advice, 1e-9)
	require.Equal(t, []float64{0, 0, 0, 0, 500}, d.Classes[0].Due)
}

func TestFewSubmissionsAreNoLowRate(t *testing.T) {
	// Guards against refusals because few submissions, and so few starts, are taken for a slow cell.
	var f Forecast
	for now := time.Duration(0); now < 30*time.Second; now += Period {
		cell := cellWith()
		if now%(5*time.Second) < time.Second { // a gang every 5 s waits for a second
			cell = cellWith(Step{Class: gangs, Work: 1000})
		}
		if now%(5*time.Second) == time.Second {
			f.Started(gangs, "", 1000)
		}
		if d := f.Digest(now, 1, cell); len(d.Classes) > 0 {
			require.Zero(t, d.Classes[0].Rate, now)
		}
	}
}

func TestRateIsNotKnownWhileNothingStarts(t *testing.T) {
	// Guards against refusals after an outage in which nothing could start.
	var f Forecast
	d := run(&f, 0, 20*time.Second, 0, cellWith(Step{Class: gangs, Work: 500}))
	require.Zero(t, d.Classes[0].Rate)

	// With starts of other classes the work is starved, and at most one more step starts in a window.
	for now := 20 * time.Second; now < 40*time.Second; now += Period {
		f.Started(Class{}, "", 10)
		d = f.Digest(now, 1, cellWith(Step{Class: gangs, Work: 500}, Step{Class: gangs, Work: 500}))
	}
	require.InDelta(t, 500/window.Seconds(), d.Classes[0].Rate, 1)
}

func TestShortLapseIsNoLowRate(t *testing.T) {
	// Guards against refusals because a burst of more urgent work delayed a class for some seconds.
	var f Forecast
	waiting := cellWith(Step{Class: gangs, Work: 500})
	run(&f, 0, 30*time.Second, 100, waiting)
	for now := 30100 * time.Millisecond; now < 40*time.Second; now += Period {
		f.Started(Class{}, "", 10)
		d := f.Digest(now, 1, waiting)
		require.Greater(t, d.Classes[0].Rate, 60.0, now)
	}
}

func TestAccountsAreListedOnlyUnderOverload(t *testing.T) {
	// Guards against large digests: one is sent with every answer, also over slow links.
	var f Forecast
	cell := cellWith(Step{Class: gangs, Account: "a", Work: 10})
	cell.Accounts = []Account{{Name: "a", Weight: 2}, {Name: "b", Weight: 1}}
	d := f.Digest(0, 1, cell)
	data, err := peer.Marshal(d)
	require.NoError(t, err)
	t.Logf("%d bytes", len(data))
	require.Less(t, len(data), 200)
	require.Empty(t, d.Accounts)
	require.Equal(t, 3.0, d.Weights)
	cell.Steps[0].Work = 10000
	cell.Accounts[1].Beyond = 0.9
	d = f.Digest(Period, 1, cell)
	require.True(t, d.Overloaded())
	require.Len(t, d.Accounts, 2)
	require.Equal(t, "a", d.Accounts[0].Name)
}

func TestDigestsOfManyAccountsStaySmall(t *testing.T) {
	// Guards against digests whose size grows with the number of accounts.
	var f Forecast
	cell := cellWith()
	for i := range 1200 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		cell.Accounts = append(cell.Accounts, Account{Name: name, Weight: 1})
		cell.Steps = append(cell.Steps, Step{Class: gangs, Account: name, Work: float64(i)})
	}
	d := f.Digest(0, 1, cell)
	require.Len(t, d.Accounts, maxAccounts)
	require.Equal(t, 1199.0, d.Accounts[0].Classes[0].Work.InTime, "those with the most work")
	data, err := peer.Marshal(d)
	require.NoError(t, err)
	t.Logf("%d bytes", len(data))
	require.Less(t, len(data), 4<<10)
}

// quotaCell returns a cell in which a gang of an account waits for its quota, in front of n smaller steps
// that fit into what the quota leaves and wait for advice. The account's cap takes a second for each.
func quotaCell(n int) *Cell {
	cell := cellWith(Step{Class: gangs, Account: "a", Work: 10, Quota: 1, Left: 5 * time.Second, AwaitsQuota: true})
	for range n {
		cell.Steps = append(cell.Steps, Step{Class: gangs, Account: "a", Work: 10, Quota: 1, Left: 5 * time.Second, AwaitsAdvice: true})
	}
	cell.Accounts = []Account{{Name: "a", Weight: 1}}
	return cell
}

func TestRateWithinTheQuotaIsThatOfStarts(t *testing.T) {
	// Guards against accepting jobs that the quota delays until they are worth nothing: the work of all
	// steps, taken as that of the few that wait for the quota, made the rate of starts look higher.
	var f Forecast
	var d *Digest
	for now := time.Duration(0); now <= 12*time.Second; now += Period {
		f.Started(gangs, "a", 10*Period.Seconds())
		d = f.Digest(now, 1, quotaCell(49))
	}
	own := d.account("a")
	require.NotNil(t, own)
	require.InDelta(t, 10, own.Classes[0].Rate, 0.5)
	w, over := d.Expect(Job{Priority: 1, Account: "a", Objective: 6 * time.Second, Path: time.Second})
	require.False(t, over)
	require.InDelta(t, 50, w.Total().Seconds(), 3)
}

func TestWorkThatFitsTheQuotaDelaysLaterWork(t *testing.T) {
	// Guards against accepting jobs that the quota delays until they are worth nothing: before the rate of
	// starts is known, only the steps that wait for the quota counted, not those that are served before
	// the job and will use the quota as well.
	var f Forecast
	d := f.Digest(0, 1, quotaCell(49))
	w, _ := d.Expect(Job{Priority: 1, Account: "a", Objective: 6 * time.Second, Path: time.Second})
	require.InDelta(t, 50, w.Total().Seconds(), 1)
	require.Equal(t, "quota", w.Cause())

	// While nothing waits for the quota, it delays nothing.
	cell := quotaCell(49)
	cell.Steps[0].AwaitsQuota = false
	d = f.Digest(Period, 1, cell)
	w, _ = d.Expect(Job{Priority: 1, Account: "a", Objective: 6 * time.Second, Path: time.Second})
	require.Zero(t, w.Quota)
}
