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

// ExperimentOptions of one comparison of policies on the model of a cell.
type ExperimentOptions struct {
	Workers int
	Load    float64
	Seconds float64
	Seeds   int
	// Accounts that hand the jobs in, each with a weight and a cap; 0: none.
	Accounts int
	// Survey plays the load of gangs that are rare and long, with dear advice.
	Survey   bool
	Patterns []string
	Policies []string
	// Plots is a folder for plots, "" for none.
	Plots    string
	Progress io.Writer
}

// outcome is what one policy made of one pattern, one result for each seed.
type outcome struct {
	pattern, policy string
	results         []*cellsim.Result
}

func experimentCommand(out, errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("fennelbench experiment", flag.ContinueOnError)
	o := ExperimentOptions{Progress: errOut}
	fs.IntVar(&o.Workers, "workers", 350, "number of workers")
	fs.Float64Var(&o.Load, "load", 0.9, "work that arrives, as a share of the processors")
	fs.Float64Var(&o.Seconds, "seconds", 30, "length of the load, in virtual time")
	fs.IntVar(&o.Seeds, "seeds", 3, "seeds of each pattern")
	fs.IntVar(&o.Accounts, "accounts", 0, "client accounts that hand the jobs in, each with a weight and a cap; 0: none")
	fs.BoolVar(&o.Survey, "survey", false, "rarer and longer gangs with dear advice, in place of the usual load")
	patterns := fs.String("patterns", "calm,burst-wide,slow-store,all", "load patterns, separated by commas")
	policies := fs.String("policies", "now,without-all,first-come", "policies, separated by commas")
	fs.StringVar(&o.Plots, "plots", "", "folder for PNG files: waiting by kind, processors at work and writes that wait, over time")
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
	// Made before the runs, which take a minute, rather than missed after them.
	if err := os.MkdirAll(o.Plots, 0o755); err != nil {
		return fmt.Errorf("flag -plots: %w", err)
	}
	return nil
}

func (o *ExperimentOptions) length() time.Duration {
	return time.Duration(o.Seconds * float64(time.Second))
}

// load returns the kinds of jobs and who hands them in.
func (o *ExperimentOptions) load() (classes []cellsim.Class, accounts []cellsim.Account) {
	classes = cellsim.Classes(o.Workers, o.Load)
	if o.Survey {
		classes = cellsim.SurveyClasses(o.Workers, o.Load)
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

// Experiment plays each pattern with each policy and each seed, and prints a table
// of the means over the seeds.
func Experiment(ctx context.Context, o ExperimentOptions, out io.Writer) error {
	if err := o.check(); err != nil {
		return err
	}
	outcomes, broken := o.play(ctx)
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
	if len(broken) > 0 {
		return fmt.Errorf("%d invariants were broken, the first: %s", len(broken), broken[0])
	}
	return nil
}

// play runs everything on half of the processors.
func (o *ExperimentOptions) play(ctx context.Context) (outcomes []*outcome, broken []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, runtime.NumCPU()/2))
	bar := progressbar.NewOptions(len(o.Patterns)*len(o.Policies)*o.Seeds, progressbar.OptionSetWriter(o.Progress), progressbar.OptionClearOnFinish())
	for _, pattern := range o.Patterns {
		p, err := o.pattern(pattern)
		if err != nil {
			continue // checked before
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
					x.results[seed] = cellsim.Run(cellsim.Options{Seed: uint64(seed) + 1, Workers: o.Workers, Daemons: max(3, o.Workers/9),
						Classes: classes, Accounts: accounts, Pattern: p, Policy: cellsim.Policies()[policy], Length: o.length(),
						Violation: func(what string) {
							mu.Lock()
							defer mu.Unlock()
							broken = append(broken, what)
						}})
					_ = bar.Add(1) // a bar that can not be drawn ends nothing
				})
			}
		}
	}
	wg.Wait()
	return outcomes, broken
}

// over returns the mean and the standard deviation of a figure over the seeds.
func (x *outcome) over(figure func(r *cellsim.Result) float64) (average, deviation float64) {
	var values []float64
	for _, r := range x.results {
		values = append(values, figure(r))
	}
	average = mean(values)
	for _, v := range values {
		deviation += (v - average) * (v - average)
	}
	return average, math.Sqrt(deviation / float64(len(values)))
}

func printOutcomes(out io.Writer, outcomes []*outcome) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "pattern\tpolicy\tcredit\tsd\tworst windows\tworst accounts\twide\tlargest wide\tmany\tquick\tbusy\twide start p50\tp90\twasted core-s\twrites\tadvice calls")
	for _, x := range outcomes {
		credit, sd := x.over(func(r *cellsim.Result) float64 { return r.Credit })
		of := func(figure func(r *cellsim.Result) float64) float64 {
			v, _ := x.over(figure)
			return v
		}
		class := func(i int) float64 { return of(func(r *cellsim.Result) float64 { return r.Classes[i].Credit }) }
		start := func(q float64) float64 {
			return of(func(r *cellsim.Result) float64 { return cellsim.Quantile(r.Classes[cellsim.Wide].Start, q).Seconds() })
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f s\t%.2f s\t%.0f\t%.0f\t%.0f\n", x.pattern, x.policy, credit, sd,
			of(func(r *cellsim.Result) float64 { return r.WorstWindows }), of(func(r *cellsim.Result) float64 { return r.WorstAccounts }), class(cellsim.Wide),
			of(func(r *cellsim.Result) float64 { return r.Classes[cellsim.Wide].Largest }), class(cellsim.Many), class(cellsim.Quick),
			of(func(r *cellsim.Result) float64 { return r.Busy }), start(0.5), start(0.9),
			of(func(r *cellsim.Result) float64 { return r.Wasted }), of(func(r *cellsim.Result) float64 { return float64(r.Stats.Commits) }),
			of(func(r *cellsim.Result) float64 { return float64(r.Stats.Advised) }))
	}
	return w.Flush()
}

// plot writes three plots for each pattern, one line a policy, of the first seed.
func (o *ExperimentOptions) plot(outcomes []*outcome) error {
	kinds := []struct {
		name, label string
		value       func(s cellsim.Sample) float64
	}{
		{"waiting-wide", "wide jobs that have not begun", func(s cellsim.Sample) float64 { return float64(s.Waiting[cellsim.Wide]) }},
		{"waiting-quick", "quick jobs that have not begun", func(s cellsim.Sample) float64 { return float64(s.Waiting[cellsim.Quick]) }},
		{"busy", "share of the processors at work", func(s cellsim.Sample) float64 { return s.Busy }},
		{"unwritten", "jobs whose progress waits for a write", func(s cellsim.Sample) float64 { return float64(s.Unwritten) }},
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
