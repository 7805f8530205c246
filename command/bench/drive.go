package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/command/ctl"
	"fennelshunt.example/fennelshunt/process/admin/api"
	"fennelshunt.example/fennelshunt/standin/callers"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// adminTimeout bounds one call to a daemon's administration API.
const adminTimeout = 15 * time.Second

// DriveOptions describe a running deployment and the load on it.
type DriveOptions struct {
	// Callers and Admins are the daemons' addresses, in the same order.
	Callers, Admins []string
	Token, CAFile   string
	// Control is the control URL of the platform's stand-in. If it is empty, task
	// starts and store calls are not reported.
	Control string
	// Idle is the length of the idle phase before each load phase.
	Idle time.Duration
	// Repetitions of both phases; the range of their results is the noise.
	Repetitions int
	Setting     Setting
	Progress    io.Writer
}

func driveCommand(out, errOut io.Writer) *ffcli.Command {
	fs := flag.NewFlagSet("fennelbench drive", flag.ContinueOnError)
	o := DriveOptions{Progress: errOut}
	s := &o.Setting
	callerAddrs := fs.String("callers", "", "caller addresses of the daemons, host:port, separated by commas")
	admins := fs.String("admins", "", "their administration addresses, URLs, in the same order")
	fs.StringVar(&o.Token, "token", "", "administration token; prefer FENNELBENCH_TOKEN")
	fs.StringVar(&o.CAFile, "ca", "", "PEM `file` with the CA certificates to trust")
	fs.StringVar(&o.Control, "control", "", "control URL of the platform's stand-in")
	fs.DurationVar(&o.Idle, "idle", 30*time.Second, "length of the idle measurement before each load")
	fs.StringVar(&s.User, "user", "authority", "`user` whose workers and service are used: authority or guild")
	fs.Float64Var(&s.Seconds, "seconds", 60, "duration of the load")
	fs.Float64Var(&s.Rate, "rate", 100, "requests per second, 0 for none")
	fs.Float64Var(&s.TaskLoad, "task-load", 0.3, "arriving work as a share of the workers' capacity; 0 for none")
	fs.Uint64Var(&s.Seed, "seed", 1, "seed of the load")
	fs.IntVar(&o.Repetitions, "repetitions", 3, "number of repetitions of both; the range of their results is the noise")
	file := fs.String("out", "", "JSON `file` for the result")
	return &ffcli.Command{
		Name: "drive", ShortUsage: "fennelbench drive -callers A,B -admins URL,URL [flags]", FlagSet: fs,
		Options:   []ff.Option{ff.WithEnvVarPrefix("FENNELBENCH")},
		ShortHelp: "Load a running deployment; report each daemon's control cost, idle and under load.",
		Exec: func(ctx context.Context, _ []string) error {
			o.Callers, o.Admins = splitList(*callerAddrs), splitList(*admins)
			s.Daemons = len(o.Admins)
			report, err := Drive(ctx, o)
			if err != nil {
				return err
			}
			report.Print(out)
			if *file == "" {
				return nil
			}
			return report.Result(s).Write(*file)
		},
	}
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// driver is one run against a deployment.
type driver struct {
	o       DriveOptions
	shape   platform.Shape
	service string
	admins  []*ctl.Client
	// waveMaker is shared by the repetitions: a file applied a second time adds no load.
	waveMaker *waveMaker
}

// Drive measures a deployment idle and then under load. The files of the service
// and of the waves of tasks are not removed afterwards.
func Drive(ctx context.Context, o DriveOptions) (*DriveReport, error) {
	d, err := newDriver(o)
	if err != nil {
		return nil, err
	}
	return d.run(ctx)
}

func newDriver(o DriveOptions) (*driver, error) {
	if len(o.Admins) == 0 || len(o.Callers) != len(o.Admins) {
		return nil, errors.New("flags -callers and -admins must name the same daemons")
	}
	if o.Idle <= 0 || o.Setting.Seconds <= 0 || o.Repetitions < 1 {
		return nil, errors.New("flags -idle, -seconds and -repetitions must be above 0")
	}
	d := &driver{o: o}
	var err error
	if d.shape, d.service, err = shapeOf(o.Setting.User); err != nil {
		return nil, err
	}
	d.waveMaker = newWaveMaker(o.Setting, d.shape)
	for _, a := range o.Admins {
		client, err := ctl.NewClient(a, o.Token, o.CAFile, adminTimeout)
		if err != nil {
			return nil, fmt.Errorf("flag -admins: %w", err)
		}
		d.admins = append(d.admins, client)
	}
	return d, nil
}

func (d *driver) run(ctx context.Context) (*DriveReport, error) {
	if err := d.startService(ctx); err != nil {
		return nil, err
	}
	r := &DriveReport{}
	for i := range d.o.Repetitions {
		rep, err := d.repeat(ctx, i)
		if err != nil {
			return nil, fmt.Errorf("repetition %d: %w", i+1, err)
		}
		r.Repetitions = append(r.Repetitions, rep)
	}
	return r, nil
}

// cooldown is the pause before an idle phase, in which the tasks of the preceding
// load phase end.
const cooldown = 15 * time.Second

// repeat measures the deployment idle and under load; each repetition has its own
// seed.
func (d *driver) repeat(ctx context.Context, n int) (Repetition, error) {
	var r Repetition
	if n > 0 {
		if err := wait(ctx, cooldown); err != nil {
			return r, err
		}
	}
	part := fmt.Sprintf("%d of %d", n+1, d.o.Repetitions)
	var err error
	if r.Idle, err = d.phase(ctx, "idle "+part, d.o.Idle, func(run context.Context) error { <-run.Done(); return nil }); err != nil {
		return r, err
	}
	length := time.Duration(d.o.Setting.Seconds * float64(time.Second))
	r.Load, err = d.phase(ctx, "load "+part, length, func(run context.Context) error { return d.load(run, ctx, n, &r) })
	return r, err
}

func wait(ctx context.Context, t time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(t):
		return nil
	}
}

// load sends requests and applies waves of tasks until run ends.
func (d *driver) load(run, ctx context.Context, n int, r *Repetition) error {
	var g errgroup.Group
	g.Go(func() error { return d.waves(run, ctx) })
	if s := d.o.Setting; s.Rate > 0 {
		s.Seed += uint64(n)
		result := callers.Run(ctx, callers.Options{
			Client: &http.Client{Transport: d.balancer(), Timeout: 30 * time.Second}, Service: d.service,
			Rate: s.Rate, Count: math.MaxInt32, NonIdempotent: 0.1, Keyed: 0.1, BodySize: 512, Seed: s.Seed, Tries: 10, Until: run.Done(),
		})
		r.Requests = result.Check(nil)
		r.P50, r.P99 = result.Latency.ValueAtQuantile(50), result.Latency.ValueAtQuantile(99)
	}
	<-run.Done() // for the case without requests and tasks
	return g.Wait()
}

func (d *driver) waves(run, ctx context.Context) error {
	if d.o.Setting.TaskLoad <= 0 {
		return nil
	}
	tick := time.NewTicker(waveEvery)
	defer tick.Stop()
	for i := 0; ; i++ {
		if err := d.apply(ctx, d.admins[i%len(d.admins)], d.waveMaker.next()); err != nil {
			return err
		}
		select {
		case <-run.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (d *driver) startService(ctx context.Context) error {
	size := instanceSize(d.shape)
	if err := d.apply(ctx, d.admins[0], baseFile(d.service, size)); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		var s api.Status
		if err := d.admins[0].Get(ctx, api.PathStatus, nil, &s); err != nil {
			return fmt.Errorf("status: %w", err)
		}
		for _, j := range s.Jobs {
			if j.Name == d.service && j.Running >= instances {
				return nil
			}
		}
		if err := wait(ctx, time.Second); err != nil {
			return fmt.Errorf("service %s is not running: %w", d.service, err)
		}
	}
}

// apply applies a file with the latest version as its base.
func (d *driver) apply(ctx context.Context, client *ctl.Client, f *spec.File) error {
	data, err := json.Marshal(f)
	if err != nil {
		return fmt.Errorf("file %s: %w", f.Name, err)
	}
	name := url.Values{api.ParamName: {f.Name}}
	var diffed api.Diffed
	if err := client.Post(ctx, api.PathDiff, name, bytes.Clone(data), &diffed); err != nil {
		return fmt.Errorf("file %s: %w", f.Name, err)
	}
	name.Set(api.ParamBase, strconv.FormatUint(diffed.Base, 10))
	name.Set(api.ParamWait, "false")
	if err := client.Post(ctx, api.PathApply, name, data, &api.Applied{}); err != nil {
		return fmt.Errorf("file %s: %w", f.Name, err)
	}
	return nil
}
