package openorder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"fennelshunt.example/fennelshunt/connection/runner"
	"fennelshunt.example/fennelshunt/version/work"
)

func life(n int64) runner.Ref {
	return runner.Ref{ID: runner.IncarnationID("w", n), Address: "10.0.0.1"}
}

var task = work.TaskID{Job: "00000000000000aa", Step: 1, Index: 2}

// TestOrderStaysOpenAfterALaterTryWasAnswered guards against an order that is forgotten since another call with it had an answer.
func TestOrderStaysOpenAfterALaterTryWasAnswered(t *testing.T) {
	b := New()
	b.Sent(life(1), task, 1)
	require.True(t, b.Of(task)[0].InFlight())
	b.Unanswered(life(1), task, 1, 2, 9)
	b.Sent(life(1), task, 1)
	require.False(t, b.Of(task)[0].TooOld(10), "a call is on its way")
	b.Answered("w", task, 1)
	require.False(t, b.Of(task)[0].TooOld(8))
	require.True(t, b.Of(task)[0].TooOld(9))
	require.True(t, b.AnyOpen())
	b.Remove(b.Of(task)[0])
	require.False(t, b.AnyOpen())
	require.Zero(t, b.Len())
}

// TestAnsweredOrderIsForgotten guards against orders that pile up.
func TestAnsweredOrderIsForgotten(t *testing.T) {
	b := New()
	b.Sent(life(1), task, 1)
	require.True(t, b.OnStep(task))
	require.False(t, b.AnyOpen())
	b.Answered("w", task, 1)
	require.Zero(t, b.Len())
	require.False(t, b.OnStep(task))
	require.Empty(t, b.All())
}

// TestRefusalHoldsForOneIncarnation guards against a refusal of one incarnation that counts for those after it.
func TestRefusalHoldsForOneIncarnation(t *testing.T) {
	b := New()
	b.Unanswered(life(1), task, 1, 2, 9)
	b.Unanswered(life(1), task, 3, 2, 9)
	b.Refused(life(2), task, 2)
	require.Equal(t, life(2), b.Find("w", task, 1).To)
	require.Equal(t, life(2).ID, b.Find("w", task, 1).RefusedBy)
	require.Empty(t, b.Find("w", task, 3).RefusedBy, "a higher run")
	b.Gone(life(1).ID)
	require.Equal(t, life(2).ID, b.Find("w", task, 1).RefusedBy)
	b.Gone(life(2).ID)
	require.Empty(t, b.Find("w", task, 1).RefusedBy)
	b.Refused(runner.Ref{ID: runner.IncarnationID("v", 1)}, task, 5)
	require.Empty(t, b.Find("w", task, 1).RefusedBy, "another worker")
}

// TestLateRenewalsProlongWhatAnOrderStarted guards against a lease that is taken for expired though a call may still renew it.
func TestLateRenewalsProlongWhatAnOrderStarted(t *testing.T) {
	b := New()
	o := b.Add(life(1), task, 1, 5)
	require.EqualValues(t, 5, b.LeaseCalls(o))
	b.ProlongLeases("w", 7)
	b.ProlongLeases("v", 70)
	require.EqualValues(t, 7, b.LeaseCalls(o))
	b.Remove(o)
	require.EqualValues(t, 5, b.LeaseCalls(b.Add(life(1), task, 1, 5)))
	require.True(t, b.TakeAdded())
	require.False(t, b.TakeAdded())
}

// TestBookAgainstARecount guards against indexes that do not agree with one another.
func TestBookAgainstARecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type key struct {
			name string
			task work.TaskID
			run  uint64
		}
		b, calls, until := New(), map[key]int{}, map[key]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			k := key{name, work.TaskID{Job: "j", Step: rapid.IntRange(0, 1).Draw(t, "step"), Index: rapid.IntRange(0, 1).Draw(t, "index")}, rapid.Uint64Range(1, 2).Draw(t, "run")}
			to := runner.Ref{ID: runner.IncarnationID(name, rapid.Int64Range(1, 3).Draw(t, "life"))}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.Sent(to, k.task, k.run)
				calls[k]++
			case 1:
				b.Answered(name, k.task, k.run)
				calls[k] = max(calls[k]-1, 0)
			case 2:
				end := time.Duration(rapid.IntRange(1, 9).Draw(t, "until"))
				b.Unanswered(to, k.task, k.run, 1, end)
				calls[k], until[k] = max(calls[k]-1, 0), max(until[k], end)
			case 3:
				if o := b.Find(name, k.task, k.run); o != nil {
					b.Remove(o)
				}
				delete(calls, k)
				delete(until, k)
			}
			want, open, steps := 0, 0, map[int]bool{}
			for _, name := range []string{"a", "b"} {
				for i := range 8 {
					k := key{name, work.TaskID{Job: "j", Step: i & 1, Index: i >> 1 & 1}, uint64(1 + i>>2)}
					o := b.Find(k.name, k.task, k.run)
					if calls[k] == 0 && until[k] == 0 {
						require.Nil(t, o)
						continue
					}
					require.Equal(t, until[k], o.Until)
					require.Equal(t, calls[k] > 0, o.InFlight())
					require.Contains(t, b.ByName(name), o)
					require.Contains(t, b.Of(k.task), o)
					steps[k.task.Step] = true
					want++
					if until[k] > 0 {
						open++
					}
				}
			}
			require.Equal(t, want, b.Len())
			require.Len(t, b.All(), want)
			require.Equal(t, open > 0, b.AnyOpen())
			for step := range 2 {
				require.Equal(t, steps[step], b.OnStep(work.TaskID{Job: "j", Step: step, Index: 1}))
			}
		}
	})
}
