package preemption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/version/work"
)

const ms = time.Millisecond

// small returns a run that may be stopped for a step of priority 1.
func small(id, cores int) Run {
	return Run{ID: id, Size: work.Resources{CPU: cores * 1000}, Priority: 2, Checkpoints: true, Age: time.Second,
		Remaining: 2 * time.Second, Slack: 10 * time.Second, Renewal: time.Second}
}

func gangOf(count, cores int) Claim {
	return Claim{Need: work.Resources{CPU: cores * 1000}, Count: count, Priority: 1}
}

// TestOnlyRunsWithLittleToLoseAreEligible guards against victims that lose their work, miss
// their objective, or are as urgent as the step.
func TestOnlyRunsWithLittleToLoseAreEligible(t *testing.T) {
	usual := small(1, 4)
	require.True(t, usual.Eligible(&Claim{Priority: 1}))
	for name, change := range map[string]func(*Run){
		"writes no checkpoints":  func(r *Run) { r.Checkpoints = false },
		"member of a gang":       func(r *Run) { r.Protected = true },
		"as urgent":              func(r *Run) { r.Priority = 1 },
		"more urgent":            func(r *Run) { r.Priority = 0 },
		"young":                  func(r *Run) { r.Age = MinAge - 1 },
		"almost done":            func(r *Run) { r.Remaining = AlmostDone },
		"stopped too often":      func(r *Run) { r.Stopped = MaxPerTask },
		"no slack":               func(r *Run) { r.Slack = Restart + r.Renewal },
		"late already":           func(r *Run) { r.Slack = -time.Second },
		"long wait for a ticket": func(r *Run) { r.Renewal = r.Slack },
	} {
		r := usual
		change(&r)
		require.False(t, r.Eligible(&Claim{Priority: 1}), name)
	}
}

// TestBorrowedCapacityIsReclaimed guards against work within its account's entitlement that waits
// for work beyond it, and against the reverse.
func TestBorrowedCapacityIsReclaimed(t *testing.T) {
	borrowed := small(1, 4)
	borrowed.Borrowed, borrowed.Priority, borrowed.Slack = true, 0, -time.Second
	reclaims := Claim{Priority: 2, Reclaims: true}
	require.True(t, borrowed.Eligible(&reclaims), "its priority and its objective are no obstacle")
	require.False(t, borrowed.Eligible(&Claim{Priority: 2}), "the step has no account, or reclaiming is off")
	require.False(t, borrowed.Eligible(&Claim{Priority: 2, Reclaims: true, Borrows: true}), "the step has borrowed itself")
	for name, change := range map[string]func(*Run){
		"within its entitlement": func(r *Run) { r.Borrowed = false },
		"writes no checkpoints":  func(r *Run) { r.Checkpoints = false },
		"member of a gang":       func(r *Run) { r.Protected = true },
		"young":                  func(r *Run) { r.Age = MinAge - 1 },
		"almost done":            func(r *Run) { r.Remaining = AlmostDone },
		"stopped too often":      func(r *Run) { r.Stopped = MaxPerTask },
	} {
		r := borrowed
		change(&r)
		require.False(t, r.Eligible(&reclaims), name)
	}
	less := small(2, 4)
	require.False(t, less.Eligible(&Claim{Priority: 1, Borrows: true}), "nothing is stopped for work that has borrowed")
	require.False(t, less.Eligible(&Claim{Priority: 1, Reclaims: true, OnlyReclaims: true}))
	require.True(t, less.Eligible(&Claim{Priority: 1, Reclaims: true}))
}

// TestLossOfALateRunIsWhatItStillEarns guards against borrowed runs that are too costly to stop
// although they are late in any case.
func TestLossOfALateRunIsWhatItStillEarns(t *testing.T) {
	tight, late := small(1, 4), small(2, 4)
	tight.Slack, late.Slack = 0, -time.Second
	require.InDelta(t, stopCost+4*0.3+4*2, tight.Loss(), 1e-9)
	require.InDelta(t, stopCost+4*0.3+4*2*0.2, late.Loss(), 1e-9)
}

// TestFewLargeVictimsBeforeManySmallOnes guards against more stops, and more calls for new
// tickets, than the same capacity needs.
func TestFewLargeVictimsBeforeManySmallOnes(t *testing.T) {
	w := Worker{ID: 7, Limit: 1, Runs: []Run{small(1, 2), small(2, 2), small(3, 2), small(4, 2), small(5, 8)}}
	p, ok := Choose(gangOf(1, 8), []Worker{w})
	require.True(t, ok)
	require.Equal(t, 1, p.Victims)
	require.Equal(t, 5, p.Slots[0].Victims[0].ID)
}

// TestVictimsWithMostSlackComeFirst guards against stops by which runs with little slack end late.
func TestVictimsWithMostSlackComeFirst(t *testing.T) {
	tight, loose := small(1, 8), small(2, 8)
	tight.Slack = 1500 * ms
	p, ok := Choose(gangOf(1, 8), []Worker{{Limit: 1, Runs: []Run{tight, loose}}})
	require.True(t, ok)
	require.Equal(t, 2, p.Slots[0].Victims[0].ID)
}

// TestFreeSlotsComeFirst guards against stops although free capacity suffices, and against calls
// that name workers for which the step has tickets.
func TestFreeSlotsComeFirst(t *testing.T) {
	full := Worker{ID: 1, Limit: 2, Runs: []Run{small(1, 16)}}
	free := Worker{ID: 2, Limit: 2, Free: work.Resources{CPU: 16000}, NoTicket: true}
	known := Worker{ID: 3, Limit: 2, Free: work.Resources{CPU: 8000}}
	p, ok := Choose(gangOf(2, 8), []Worker{full, free, known})
	require.True(t, ok)
	require.Zero(t, p.Victims)
	require.Equal(t, 3, p.Slots[0].Worker.ID)
	require.Equal(t, 2, p.Slots[1].Worker.ID)
}

// TestNoPlanWithoutAllSlots guards against stops for a gang that cannot start in spite of them.
func TestNoPlanWithoutAllSlots(t *testing.T) {
	w := Worker{Limit: 4, Runs: []Run{small(1, 8), small(2, 8)}}
	_, ok := Choose(gangOf(3, 8), []Worker{w})
	require.False(t, ok)
}

// TestOnlyAGangThatPreemptionBringsInTimeQualifies guards against stops that change nothing.
func TestOnlyAGangThatPreemptionBringsInTimeQualifies(t *testing.T) {
	c := Claim{Due: 10 * time.Second, Estimate: 4 * time.Second, With: 5 * time.Second, Without: 7 * time.Second}
	require.True(t, c.Qualifies())
	late := c
	late.With = 6001 * ms
	require.False(t, late.Qualifies(), "late with it as well")
	early := c
	early.Without = 6 * time.Second
	require.False(t, early.Qualifies(), "in time without it")
}

// TestPlanIsWorthwhileOnlyIfItGainsMore guards against stops that cost the victims more than the
// step gains.
func TestPlanIsWorthwhileOnlyIfItGainsMore(t *testing.T) {
	p := Plan{Loss: 80}
	require.True(t, p.Worthwhile(101))
	require.False(t, p.Worthwhile(100))
}

// drawWorkers draws workers that are more or less full of runs of which some may be stopped.
func drawWorkers(t *rapid.T, next *int) Worker {
	w := Worker{Limit: rapid.IntRange(0, 4).Draw(t, "limit"), NoTicket: rapid.Bool().Draw(t, "no ticket"),
		Free: work.Resources{CPU: 1000 * rapid.IntRange(-8, 20).Draw(t, "free"), Memory: 1000 * rapid.IntRange(0, 40).Draw(t, "memory")}}
	for range rapid.IntRange(0, 6).Draw(t, "runs") {
		*next++
		w.Runs = append(w.Runs, Run{ID: *next, Size: work.Resources{CPU: 500 * rapid.IntRange(0, 20).Draw(t, "cpu"), Memory: 500 * rapid.IntRange(0, 20).Draw(t, "mem")},
			Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Checkpoints: rapid.Bool().Draw(t, "checkpoints"), Protected: rapid.IntRange(0, 4).Draw(t, "p") == 0,
			Borrowed: rapid.IntRange(0, 2).Draw(t, "borrowed") == 0,
			Stopped:  rapid.IntRange(0, 2).Draw(t, "stopped"), Age: time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * ms,
			Remaining: time.Duration(rapid.IntRange(0, 5000).Draw(t, "remaining")) * ms, Slack: time.Duration(rapid.IntRange(-2000, 12000).Draw(t, "slack")) * ms,
			Renewal: time.Duration(rapid.IntRange(0, 2000).Draw(t, "renewal")) * ms})
	}
	return w
}

// TestPlansKeepTheGuarantees checks with random cells that a plan has exactly as many slots as
// the step has tasks, that the capacity which is free and freed suffices for them, that no
// victim is needless and none ineligible, and that limits per worker hold.
func TestPlansKeepTheGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Claim{Need: work.Resources{CPU: 1000 * rapid.IntRange(1, 12).Draw(t, "need"), Memory: 1000 * rapid.IntRange(0, 12).Draw(t, "need memory")},
			Count: rapid.IntRange(1, 12).Draw(t, "count"), Priority: rapid.IntRange(0, 2).Draw(t, "priority of the step"),
			Borrows: rapid.IntRange(0, 5).Draw(t, "borrows") == 0, Reclaims: rapid.Bool().Draw(t, "reclaims"), OnlyReclaims: rapid.Bool().Draw(t, "only reclaims")}
		next := 0
		var workers []Worker
		for i := range rapid.IntRange(1, 8).Draw(t, "workers") {
			w := drawWorkers(t, &next)
			w.ID = i
			workers = append(workers, w)
		}
		p, ok := Choose(c, workers)
		if !ok {
			most := 0
			for _, w := range workers {
				free := w.Free
				for _, r := range w.Runs {
					if r.Eligible(&c) {
						free = free.Add(r.Size)
					}
				}
				most += c.Need.Times(free, w.Limit)
			}
			if most >= c.Count {
				t.Fatalf("no plan although %d slots of %d could be freed", most, c.Count)
			}
			return
		}
		total, victims, loss := 0, 0, 0.0
		seen := map[int]bool{}
		for _, x := range p.Slots {
			total += x.N
			victims += len(x.Victims)
			free := x.Worker.Free
			for _, r := range x.Victims {
				if !r.Eligible(&c) || seen[r.ID] {
					t.Fatalf("run %d must not be a victim, or is one twice", r.ID)
				}
				// Written out, so that a mistake in Eligible is not repeated here.
				reclaimed := c.Reclaims && r.Borrowed
				switch {
				case c.Borrows, !r.Checkpoints, r.Protected, r.Stopped >= 2:
					t.Fatalf("run %d is never to be stopped, or not for this claim", r.ID)
				case !reclaimed && (c.OnlyReclaims || r.Priority <= c.Priority || r.Slack < Restart+r.Renewal):
					t.Fatalf("run %d is as urgent, or late by the stop, and its capacity is not borrowed", r.ID)
				}
				seen[r.ID] = true
				free = free.Add(r.Size)
				loss += r.Loss()
			}
			if x.N < 1 || x.N > x.Worker.Limit || c.Need.Times(free, x.N) < x.N {
				t.Fatalf("%d slots on worker %d with %+v and a limit of %d", x.N, x.Worker.ID, free, x.Worker.Limit)
			}
			for _, r := range x.Victims {
				if c.Need.Times(free.Sub(r.Size), x.N) >= x.N {
					t.Fatalf("victim %d is needless", r.ID)
				}
			}
		}
		if total != c.Count || victims != p.Victims || loss-p.Loss > 1e-6 || p.Loss-loss > 1e-6 {
			t.Fatalf("the plan has %d slots of %d, %d victims of %d, a loss of %f of %f", total, c.Count, victims, p.Victims, loss, p.Loss)
		}
	})
}

// TestBudgetBoundsStops guards against more stops than the bound per second. Within a second up to
// twice the rate may be stopped, the stored budget and what is gained, and in the long run no more
// than the rate.
func TestBudgetBoundsStops(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Budget{Rate: rapid.IntRange(1, 50).Draw(t, "rate")}
		now := time.Duration(rapid.IntRange(0, 100000).Draw(t, "begin")) * ms
		begin, spent := now, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * ms
			n := min(rapid.IntRange(0, 60).Draw(t, "want"), b.Left(now))
			b.Spend(now, n)
			spent += n
			if most := float64(b.Rate) * (1 + (now - begin).Seconds()); float64(spent) > most+1e-6 {
				t.Fatalf("%d stops in %v at a rate of %d", spent, now-begin, b.Rate)
			}
		}
	})
}

// BenchmarkChoose is a choice for a gang of 20 tasks among 105 full workers, which are the good
// ones of 350.
func BenchmarkChoose(b *testing.B) {
	var workers []Worker
	for i := range 105 {
		w := Worker{ID: i, Limit: 20, NoTicket: true}
		for k := range 9 {
			r := small(k, 3+k%2)
			r.Slack += time.Duration(i*k) * ms
			w.Runs = append(w.Runs, r)
		}
		workers = append(workers, w)
	}
	c := gangOf(20, 9)
	for b.Loop() {
		if _, ok := Choose(c, workers); !ok {
			b.Fatal("no plan")
		}
	}
}
