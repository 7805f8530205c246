package bench

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/schollz/progressbar/v3"

	"fennelshunt.example/fennelshunt/standin/cellsim"
)

// ExperimentOptions describe a comparison of policies on the model of a cell.
type ExperimentOptions struct {
	Workers int
	Load    float64
	Seconds float64
	Seeds   int
	// Accounts is the number of client accounts that submit the jobs, each with a
	// weight and a cap; 0 means jobs without an account.
	Accounts int
	// Daemons is the number of daemons that call the advice service; 0 means one for each nine
	// workers.
	Daemons int
	// Survey selects cellsim.SurveyClasses: rarer and longer gangs with expensive advice.
	Survey bool
	// Hard selects cellsim.HardClasses: the load of docs/design/hard-load.md.
	Hard     bool
	Patterns []string
	Policies []string
	// Plots is the folder for plots; empty means none.
	Plots    string
	Progress io.Writer
}

// outcome holds the results of one policy under one pattern, one for each seed.
type outcome struct {
	pattern, policy string
	results         []*cellsim.Result
}

func experimentCommand(out, errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("fennelbench experiment", flag.ContinueOnError)
	o := ExperimentOptions{Progress: errOut}
	fs.IntVar(&o.Workers, "workers", 350, "number of workers")
	fs.Float64Var(&o.Load, "load", 0.9, "arriving work as a share of the workers' cores")
	fs.Float64Var(&o.Seconds, "seconds", 30, "length of the load, in virtual time")
	fs.IntVar(&o.Seeds, "seeds", 3, "seeds of each pattern")
	fs.IntVar(&o.Accounts, "accounts", 0, "number of client accounts that submit the jobs, each with a weight and a cap; 0 for none")
	fs.BoolVar(&o.Survey, "survey", false, "rarer and longer gangs with expensive advice, in place of the default load")
	fs.BoolVar(&o.Hard, "hard", false, "slow advice for small tasks too and inaccurate estimates, in place of the default load")
	fs.IntVar(&o.Daemons, "daemons", 0, "number of daemons that call the advice service; 0 for one for each nine workers")
	patterns := fs.String("patterns", "calm,burst-wide,slow-store,all", "load patterns, separated by commas")
	policies := fs.String("policies", "now,without-all,first-come", "policies, separated by commas")
	fs.StringVar(&o.Plots, "plots", "", "folder for PNG files: waiting jobs by kind, busy cores and pending writes, over time")
	return &ffcli.Command{
		Name: "experiment", ShortUsage: "fennelbench experiment [flags]", FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix("FENNELBENCH")},
		ShortHelp: "Compare policies side by side on a model of a cell in virtual time.",
		Exec: func(ctx context.Context, _ []string) error {
			o.Patterns, o.Policies = splitList(*patterns), splitList(*policies)
			return Experiment(ctx, o, out)
		},
	}
}

func (o *ExperimentOptions) check() error {
	if o.Workers < 1 || o.Load <= 0 || o.Seconds <= 0 || o.Seeds < 1 {
		return errors.New("flags -workers, -load, -seconds and -seeds must be above 0")
	}
	if o.Accounts < 0 {
		return errors.New("flag -accounts must not be negative")
	}
	known := cellsim.Policies()
	for _, p := range o.Policies {
		if _, ok := known[p]; !ok {
			return fmt.Errorf("flag -policies: no policy is called %q; use some of %s", p, strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
	}
	for _, p := range o.Patterns {
		if _, err := o.pattern(p); err != nil {
			return err
		}
	}
	if o.Plots == "" {
		return nil
	}
	// Created before the runs, which take a minute, so that an error shows at once.
	if err := os.MkdirAll(o.Plots, 0o755); err != nil {
		return fmt.Errorf("flag -plots: %w", err)
	}
	return nil
}

func (o *ExperimentOptions) length() time.Duration {
	return time.Duration(o.Seconds * float64(time.Second))
}

// load returns the classes of jobs and the accounts that submit them.
func (o *ExperimentOptions) load() (classes []cellsim.Class, accounts []cellsim.Account) {
	classes = cellsim.Classes(o.Workers, o.Load)
	if o.Survey {
		classes = cellsim.SurveyClasses(o.Workers, o.Load)
	}
	if o.Hard {
		classes = cellsim.HardClasses(o.Workers, o.Load)
	}
	if o.Accounts > 0 {
		accounts = cellsim.Accounts(o.Accounts, classes)
	}
	return classes, accounts
}

func (o *ExperimentOptions) pattern(name string) (cellsim.Pattern, error) {
	all := cellsim.Patterns(o.length())
	var names []string
	for _, p := range all {
		if p.Name == name {
			return p, nil
		}
		names = append(names, p.Name)
	}
	return cellsim.Pattern{}, fmt.Errorf("flag -patterns: no pattern is called %q; use some of %s", name, strings.Join(names, ", "))
}

// Experiment simulates each pattern with each policy and each seed, and prints a
// table of the means over the seeds.
func Experiment(ctx context.Context, o ExperimentOptions, out io.Writer) error {
	if err := o.check(); err != nil {
		return err
	}
	outcomes, violations := o.simulate(ctx)
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := printOutcomes(out, outcomes); err != nil {
		return err
	}
	if o.Plots != "" {
		if err := o.plot(outcomes); err != nil {
			return err
		}
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d invariants violated, the first: %s", len(violations), violations[0])
	}
	return nil
}

// simulate runs all simulations, in parallel on half of the processors.
func (o *ExperimentOptions) simulate(ctx context.Context) (outcomes []*outcome, violations []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	bar := progressbar.NewOptions(len(o.Patterns)*len(o.Policies)*o.Seeds, progressbar.OptionSetWriter(o.Progress), progressbar.OptionClearOnFinish())
	for _, pattern := range o.Patterns {
		p, err := o.pattern(pattern)
		if err != nil {
			continue // check has reported it
		}
		for _, policy := range o.Policies {
			x := &outcome{pattern: pattern, policy: policy, results: make([]*cellsim.Result, o.Seeds)}
			outcomes = append(outcomes, x)
			for seed := range o.Seeds {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					if ctx.Err() != nil {
						return
					}
					classes, accounts := o.load()
					x.results[seed] = cellsim.Run(cellsim.Options{Seed: uint64(seed) + 1, Workers: o.Workers, Daemons: o.daemons(),
						Classes: classes, Accounts: accounts, Pattern: p, Policy: cellsim.Policies()[policy], Length: o.length(),
						Violation: func(what string) {
							mu.Lock()
							defer mu.Unlock()
							violations = append(violations, what)
						}})
					_ = bar.Add(1) // only a display
				})
			}
		}
	}
	wg.Wait()
	return outcomes, violations
}

// over returns the mean and the standard deviation of a value over the seeds.
func (x *outcome) over(value func(r *cellsim.Result) float64) (average, deviation float64) {
	var values []float64
	for _, r := range x.results {
		values = append(values, value(r))
	}
	average = mean(values)
	for _, v := range values {
		deviation += (v - average) * (v - average)
	}
	return average, math.Sqrt(deviation / float64(len(values)))
}

func (o *ExperimentOptions) daemons() int {
	if o.Daemons > 0 {
		return o.Daemons
	}
	return max(3, o.Workers/9)
}

func printOutcomes(out io.Writer, outcomes []*outcome) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pattern\tpolicy\tcredit\tsd\tworst windows\tworst accounts\twide\tlargest wide\tmany\tquick\tbusy\twide start p50\tp90\twasted core-s\twrites\tadvice calls\tof gangs\tnames\trun time off p50\tp90\tquick done p99\tquick proxy wait worst second\tstraggler moves\tlost with workers\tevacuated\tlate\tkept")
	for _, x := range outcomes {
		credit, sd := x.over(func(r *cellsim.Result) float64 { return r.Credit })
		of := func(value func(r *cellsim.Result) float64) float64 {
			v, _ := x.over(value)
			return v
		}
		class := func(i int) float64 { return of(func(r *cellsim.Result) float64 { return r.Classes[i].Credit }) }
		start := func(q float64) float64 {
			return of(func(r *cellsim.Result) float64 { return cellsim.Quantile(r.Classes[cellsim.Wide].Start, q).Seconds() })
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f s\t%.2f s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f s\t%.2f s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\n", x.pattern, x.policy, credit, sd,
			of(func(r *cellsim.Result) float64 { return r.WorstWindows }), of(func(r *cellsim.Result) float64 { return r.WorstAccounts }), class(cellsim.Wide),
			of(func(r *cellsim.Result) float64 { return r.Classes[cellsim.Wide].Largest }), class(cellsim.Many), class(cellsim.Quick),
			of(func(r *cellsim.Result) float64 { return r.Busy }), start(0.5), start(0.9),
			of(func(r *cellsim.Result) float64 { return r.Wasted }), of(func(r *cellsim.Result) float64 { return float64(r.Stats.Commits) }),
			of(func(r *cellsim.Result) float64 { return float64(r.Stats.Advised) }), of(func(r *cellsim.Result) float64 { return float64(r.Stats.GangAdviceCalls) }),
			of(func(r *cellsim.Result) float64 { return float64(r.Stats.AdviceNames) }),
			of(func(r *cellsim.Result) float64 { return cellsim.Quantile(r.Off, 0.5) }), of(func(r *cellsim.Result) float64 { return cellsim.Quantile(r.Off, 0.9) }),
			of(func(r *cellsim.Result) float64 {
				return cellsim.Quantile(r.Classes[cellsim.Quick].Done, 0.99).Seconds()
			}),
			of(func(r *cellsim.Result) float64 { return r.Classes[cellsim.Quick].ProxyWait.Seconds() }),
			of(func(r *cellsim.Result) float64 { return float64(r.Stats.StragglerMoves) }),
			of(func(r *cellsim.Result) float64 { return float64(r.Stats.LostWithWorker) }), of(func(r *cellsim.Result) float64 { return float64(r.Stats.Evacuated) }),
			of(func(r *cellsim.Result) float64 { return float64(r.Stats.EvacuationsLate) }), of(func(r *cellsim.Result) float64 { return float64(r.Stats.EvacuationKept) }))
	}
	return w.Flush()
}

// plot writes four plots for each pattern, with a line for each policy, of the first seed.
func (o *ExperimentOptions) plot(outcomes []*outcome) error {
	kinds := []struct {
		name, label string
		value       func(s cellsim.Sample) float64
	}{
		{"waiting-wide", "wide jobs that have not started", func(s cellsim.Sample) float64 { return float64(s.Waiting[cellsim.Wide]) }},
		{"waiting-quick", "quick jobs that have not started", func(s cellsim.Sample) float64 { return float64(s.Waiting[cellsim.Quick]) }},
		{"busy", "share of the cores that are busy", func(s cellsim.Sample) float64 { return s.Busy }},
		{"unwritten", "jobs whose progress has not been written", func(s cellsim.Sample) float64 { return float64(s.Unwritten) }},
	}
	for _, pattern := range o.Patterns {
		for _, k := range kinds {
			var lines []curve
			for _, x := range outcomes {
				if x.pattern != pattern {
					continue
				}
				c := curve{name: x.policy}
				for _, s := range x.results[0].Samples {
					c.points = append(c.points, [2]float64{s.At.Seconds(), k.value(s)})
				}
				lines = append(lines, c)
			}
			if err := plotCurves(filepath.Join(o.Plots, pattern+"-"+k.name+".png"), pattern+": "+k.label, k.label, lines); err != nil {
				return err
			}
		}
	}
	return nil
}
