// Package bench implements fennelbench, the load generator. It drives an embedded
// cell or a running deployment with an open-loop load (arrivals do not wait for
// earlier requests or tasks to end) of a user's requests and a skewed mix of tasks,
// and reports waiting times, packing and store calls. It also compares two results
// and reports the changes beyond noise, and compares policies in simulation.
package bench

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"
)

// Root returns the command tree of fennelbench.
func Root(out, errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "fennelbench", ShortUsage: "fennelbench <command> [flags]",
		ShortHelp:   "Measure waiting times, packing and store calls of a cell.",
		FlagSet:     flag.NewFlagSet("fennelbench", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{runCommand(out, errOut), driveCommand(out, errOut), compareCommand(out), experimentCommand(out, errOut)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func runCommand(out, errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("fennelbench run", flag.ContinueOnError)
	o := Options{Progress: errOut}
	s := &o.Setting
	fs.StringVar(&s.User, "user", "authority", "`user` whose workers and service are used: authority or guild")
	fs.IntVar(&s.Daemons, "daemons", 6, "number of daemons")
	fs.Float64Var(&s.Seconds, "seconds", 20, "duration of each repetition")
	fs.Float64Var(&s.Rate, "rate", 400, "requests per second")
	fs.Float64Var(&s.TaskLoad, "task-load", 0.6, "arriving work as a share of the workers' capacity, each task by its largest dimension; 0 for none")
	fs.Uint64Var(&s.Seed, "seed", 1, "seed of the load")
	fs.IntVar(&o.Repetitions, "repetitions", 3, "number of repetitions; the range of their results is the noise")
	file := fs.String("out", "", "JSON `file` for the result")
	png := fs.String("plot", "", "PNG `file` for a plot of the waiting times")
	verbose := fs.Bool("verbose", false, "print the daemons' logs")
	return &ffcli.Command{
		Name: "run", ShortUsage: "fennelbench run [flags]", FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix("FENNELBENCH")},
		ShortHelp: "Run a load on an embedded cell.",
		Exec: func(ctx context.Context, _ []string) error {
			if s.Seconds <= 0 || s.Rate <= 0 || s.Daemons < 1 || o.Repetitions < 1 {
				return fmt.Errorf("flags -seconds, -rate, -daemons and -repetitions must be above 0")
			}
			o.Log = zerolog.Nop()
			if *verbose {
				o.Log = zerolog.New(errOut).With().Timestamp().Logger()
			}
			r, err := Run(ctx, o)
			if err != nil {
				return err
			}
			return finish(r, out, *file, *png)
		},
	}
}

// finish prints the result and writes the requested files.
func finish(r *Result, out io.Writer, file, png string) error {
	spans, err := Compare(r, r)
	if err != nil {
		return err
	}
	for _, c := range spans {
		fmt.Fprintf(out, "%-28s %12.4g (%.4g..%.4g)\n", c.Name, r.median(c.Name), c.Before[0], c.Before[1])
	}
	if file != "" {
		if err := r.Write(file); err != nil {
			return err
		}
	}
	if png != "" {
		return r.Plot(png)
	}
	return nil
}

func compareCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "compare", ShortUsage: "fennelbench compare BEFORE AFTER", FlagSet: flag.NewFlagSet("fennelbench compare", flag.ContinueOnError),
		ShortHelp: "Compare two result files and report the changes beyond noise.",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return fmt.Errorf("give two result files: fennelbench compare BEFORE AFTER")
			}
			before, err := Read(args[0])
			if err != nil {
				return err
			}
			after, err := Read(args[1])
			if err != nil {
				return err
			}
			changes, err := Compare(before, after)
			if err != nil {
				return err
			}
			return Print(out, changes)
		},
	}
}
