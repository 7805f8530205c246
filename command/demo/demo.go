// Package demo implements 'fennelctl demo'. For each user it starts a cell on
// embedded stand-ins in one process, applies the user's configuration file, sends
// callers' requests while one daemon stops and another is killed, and prints
// placements, latencies and violations of the guarantees.
package demo

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/standin/agent"
	"fennelshunt.example/fennelshunt/standin/callers"
	"fennelshunt.example/fennelshunt/standin/cell"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// ErrFailed means that a guarantee was violated.
var ErrFailed = errors.New("demo: failed")

// Options configure the demonstration.
type Options struct {
	Daemons  int           // per cell
	Requests int           // per cell
	Rate     float64       // requests per second
	Examples string        // folder of the users' configuration files
	Timeout  time.Duration // for each cell
	Log      zerolog.Logger
}

// user describes one of the two users whose cells are shown.
type user struct {
	title, file, service string
	shape                platform.Shape
}

func users() []user {
	return []user{
		{"Punjab Housing Survey Authority", "survey-desk.json", "survey-desk", platform.Authority()},
		{"Southern Bath Renovation Planners Guild", "remodel-desk.json", "remodel-desk", platform.Guild()},
	}
}

// Command returns the demo command of fennelctl.
func Command(out, errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("fennelctl demo", flag.ContinueOnError)
	o := Options{}
	fs.IntVar(&o.Daemons, "daemons", 6, "daemons per cell")
	fs.IntVar(&o.Requests, "requests", 2000, "callers' requests per cell")
	fs.Float64Var(&o.Rate, "rate", 400, "requests per second")
	fs.StringVar(&o.Examples, "examples", "examples", "folder of the example files")
	fs.DurationVar(&o.Timeout, "timeout", 2*time.Minute, "time limit for each cell")
	verbose := fs.Bool("verbose", false, "print the daemons' logs to the standard error")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "fennelctl demo [flags]", FlagSet: fs,
		ShortHelp: "Run both users' cells on embedded stand-ins and check every guarantee.",
		Exec: func(ctx context.Context, _ []string) error {
			o.Log = zerolog.Nop()
			if *verbose {
				o.Log = zerolog.New(errOut).With().Timestamp().Logger()
			}
			return Run(ctx, o, out)
		},
	}
}

// Run runs both users' cells, one after the other.
func Run(ctx context.Context, o Options, out io.Writer) error {
	var errs []error
	for _, u := range users() {
		if err := runUser(ctx, o, u, out); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", u.service, err))
		}
	}
	if err := errors.Join(errs...); err != nil {
		fmt.Fprintln(out, "demo: failed")
		return err
	}
	fmt.Fprintln(out, "demo: passed")
	return nil
}

func runUser(ctx context.Context, o Options, u user, out io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	file, err := loadFile(filepath.Join(o.Examples, u.file))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%s: %d workers in %d availability zones, %d daemons\n", u.title, u.shape.Workers, len(u.shape.Zones), o.Daemons)
	c, err := cell.Start(ctx, cell.Options{
		Platform: platform.Options{Shape: u.shape, Work: 5 * time.Millisecond, Lag: time.Second, Seed: 1},
		Daemons:  o.Daemons, Log: o.Log,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	r := &runner{o: o, u: u, out: out, c: c, file: file}
	return r.run(ctx)
}

// loadFile reads a user's file and makes the actual run times a hundredth of the
// declared ones, but at least 50 ms, so that the demonstration takes seconds.
func loadFile(path string) (*spec.File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("demo: %w; run it in the root folder of the repository or set -examples", err)
	}
	file, err := spec.Parse(path, data)
	if err != nil {
		return nil, err
	}
	const shorter, least = 100, 50 * time.Millisecond
	for i := range file.Jobs {
		j := &file.Jobs[i]
		if j.Kind == spec.Service {
			continue
		}
		if j.Parameters == nil {
			j.Parameters = map[string]string{}
		}
		j.Parameters[agent.ParamActualRunTime] = max(least, j.RunTime.Std()/shorter).String()
	}
	return file, nil
}

// runner runs one user's cell.
type runner struct {
	o    Options
	u    user
	out  io.Writer
	c    *cell.Cell
	file *spec.File
}

func (r *runner) run(ctx context.Context) error {
	applied := time.Now()
	version, err := r.c.Apply(ctx, r.file)
	if err != nil {
		return err
	}
	instances, tasks := r.expected()
	fmt.Fprintf(r.out, "  applied %s as version %d: %d instances, %d tasks\n", r.file.Name, version, instances, tasks)
	if err := r.c.WaitPlaced(ctx, instances, 0); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "  %d instances run after %s\n", instances, time.Since(applied).Round(time.Millisecond))
	result := r.callDuringDaemonLoss(ctx)
	if err := r.c.WaitPlaced(ctx, instances, tasks); err != nil {
		return err
	}
	fmt.Fprintf(r.out, "  %d batch and gang tasks done after %s\n", tasks, time.Since(applied).Round(time.Millisecond))
	return r.report(result)
}

func (r *runner) expected() (instances, tasks int) {
	for _, j := range r.file.Jobs {
		if j.Kind == spec.Service {
			instances += j.Count
		} else {
			tasks += j.Count
		}
	}
	return instances, tasks
}

// callDuringDaemonLoss sends the requests while one daemon stops as planned and
// another is killed.
func (r *runner) callDuringDaemonLoss(ctx context.Context) *callers.Result {
	expect := time.Duration(float64(r.o.Requests) / r.o.Rate * float64(time.Second))
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(expect / 4)
		if err := r.c.StopDaemon(ctx, r.c.Entries()[0]); err != nil {
			fmt.Fprintf(r.out, "  planned stop: %v\n", err)
		}
		time.Sleep(expect / 4)
		if err := r.c.Kill(r.c.Entries()[0]); err != nil {
			fmt.Fprintf(r.out, "  kill: %v\n", err)
		}
	}()
	result := callers.Run(ctx, callers.Options{
		Client: &http.Client{Transport: r.c.Balancer().Transport(), Timeout: 30 * time.Second}, Service: r.u.service,
		Rate: r.o.Rate, Count: r.o.Requests, NonIdempotent: 0.2, Keyed: 0.2, BodySize: 512, Seed: 7, Tries: 20,
	})
	<-done
	return result
}

func (r *runner) report(result *callers.Result) error {
	full := r.c.Platform.FullReport()
	s := result.Check(full.Endpoints.Runs)
	h := result.Latency
	fmt.Fprintf(r.out, "  requests: %d, complete responses %d, not run %d, may have run %d, unanswered %d; retried by callers %d\n",
		s.Requests, s.Whole, s.NotRun, s.MayHaveRun, s.Unanswered, s.Retried)
	fmt.Fprintf(r.out, "  one daemon stopped as planned, one killed; latency p50 %s, p99 %s, max %s\n",
		micros(h.ValueAtQuantile(50)), micros(h.ValueAtQuantile(99)), micros(h.Max()))
	fmt.Fprintf(r.out, "  duplicate runs %d, false \"not run\" %d, responses to other requests %d, lost %d\n", s.Doubled, s.FalseNotRun, s.Mixed, s.Lost)
	fmt.Fprintf(r.out, "  peak per instance: %d requests, %d connections; task starts %d, completions %d\n",
		full.Endpoints.PeakRunning, full.Endpoints.PeakConnections, full.Tasks.Starts, full.Tasks.Succeeded)
	fmt.Fprintf(r.out, "  violations: workers %d, endpoints %d, inside the daemons %d\n",
		full.Tasks.ViolationCount, len(full.Endpoints.Violations), len(r.c.Violations()))
	fmt.Fprintf(r.out, "  store: %d calls, %d of them writes\n", full.Store.Total(), full.Store.Writes())
	for _, v := range append(append(s.Examples, full.Tasks.Violations...), full.Endpoints.Violations...) {
		fmt.Fprintln(r.out, "    "+v)
	}
	for _, v := range r.c.Violations() {
		fmt.Fprintln(r.out, "    "+v.Error())
	}
	if !s.OK() || full.Tasks.ViolationCount > 0 || len(full.Endpoints.Violations) > 0 || len(r.c.Violations()) > 0 {
		return ErrFailed
	}
	return nil
}

func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
