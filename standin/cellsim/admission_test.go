package cellsim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/process/dispatch"
)

// outcome is what became of the jobs of some runs: accepted ones that never ended, all and those of long
// jobs, or that earned nothing, those that were completed while they were of value, and refused ones. credit and worst are means over the
// runs, of all jobs but the extra ones and of the accounts that were served worst.
type outcome struct {
	never, longNever, worthless, completed, refused int

	credit, worst float64
}

// overloadedRun simulates a cell of which one account submits many times its usual load for a while.
func overloadedRun(t *testing.T, policy dispatch.Policy, seeds uint64) (sum outcome) {
	const length = 40 * time.Second
	for seed := range seeds {
		classes := SurveyClasses(64, 0.8)
		o := options(t, 64, 0.8, length)
		o.Seed, o.Daemons, o.Classes, o.Accounts, o.Policy = seed+1, 8, classes, Accounts(6, classes), policy
		o.Pattern.Hot = []HotAccount{{Account: 1, Span: Span{From: 4 * time.Second, Until: 24 * time.Second}, Factor: 20}}
		r := Run(o)
		for i, c := range r.Classes {
			if i != Quick {
				sum.longNever += c.NeverEnded
			}
			t.Logf("seed %d %s: %d jobs, in time %d, late %d, refused %d, never ended %d, worthless %d", o.Seed, c.Name, c.Jobs, c.InTime, c.Late, c.Refused, c.NeverEnded, c.Worthless)
			sum.never, sum.worthless, sum.completed, sum.refused = sum.never+c.NeverEnded, sum.worthless+c.Worthless, sum.completed+c.InTime+c.Late, sum.refused+c.Refused
		}
		sum.credit += r.Credit / float64(seeds)
		sum.worst += r.WorstAccounts / float64(seeds)
	}
	t.Logf("%+v", sum)
	return sum
}

func TestOverloadIsRefusedInsteadOfNeverEnded(t *testing.T) {
	// Guards against jobs that are accepted and never end, and against refusals that cost more completed
	// jobs than they save.
	if testing.Short() {
		t.Skip("some seconds of CPU time")
	}
	with := overloadedRun(t, dispatch.Policy{}, 2)
	without := overloadedRun(t, dispatch.Policy{NoLoadShedding: true}, 2)
	require.Positive(t, with.refused)
	require.Less(t, with.never, without.never)
	require.Less(t, with.longNever, without.longNever/2)
	require.Less(t, with.worthless, without.worthless)
	require.GreaterOrEqual(t, with.completed, without.completed)
}

func TestBusyCellIsNotRefused(t *testing.T) {
	// Guards against refusals where the cell is merely busy.
	if testing.Short() {
		t.Skip("some seconds of CPU time")
	}
	for seed := range uint64(2) {
		classes := SurveyClasses(64, 0.8)
		o := options(t, 64, 0.8, 20*time.Second)
		o.Seed, o.Daemons, o.Classes, o.Accounts = seed+1, 8, classes, Accounts(6, classes)
		r := Run(o)
		t.Logf("seed %d: credit %.3f, %d refusals", o.Seed, r.Credit, r.Refusals)
		require.LessOrEqual(t, r.Refusals, len(classes))
	}
}
