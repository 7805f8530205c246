package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/schollz/progressbar/v3"

	"fennelshunt.example/fennelshunt/standin/callers"
	"fennelshunt.example/fennelshunt/standin/cell"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Options of Run.
type Options struct {
	Setting     Setting
	Repetitions int
	Progress    io.Writer
	Log         zerolog.Logger
}

const (
	// instances is the number of the service's instances.
	instances = 48
	// instanceShare is the number of service instances that fill a VM.
	instanceShare = 8
)

// warmUp is how long requests are sent before the measurement. Their seed is that of
// the load plus warmUpSeed.
const (
	warmUp     = 3 * time.Second
	warmUpSeed = 1_000_000
)

// startTimeout bounds the start of the service.
const startTimeout = 2 * time.Minute

// Run runs the repetitions, each on a fresh embedded cell.
func Run(ctx context.Context, o Options) (*Result, error) {
	r := &Result{Setting: o.Setting}
	for i := range o.Repetitions {
		m, err := repetition(ctx, o, i)
		if err != nil {
			return nil, fmt.Errorf("repetition %d: %w", i+1, err)
		}
		r.Repetitions = append(r.Repetitions, m)
	}
	return r, nil
}

func shapeOf(user string) (platform.Shape, string, error) {
	switch user {
	case "authority":
		return platform.Authority(), "survey-desk", nil
	case "guild":
		return platform.Guild(), "remodel-desk", nil
	default:
		return platform.Shape{}, "", fmt.Errorf("flag -user: unknown user %q; use authority or guild", user)
	}
}

// bench is the state of one repetition.
type bench struct {
	o       Options
	c       *cell.Cell
	shape   platform.Shape
	service string
	jobs    map[string]jobMeta
	mu      sync.Mutex
	packing []float64 // samples of the used share of CPU or memory, the larger one
}

func repetition(ctx context.Context, o Options, n int) (m Metrics, err error) {
	shape, service, err := shapeOf(o.Setting.User)
	if err != nil {
		return nil, err
	}
	c, err := cell.Start(ctx, cell.Options{
		Platform: platform.Options{Shape: shape, Work: 5 * time.Millisecond, Lag: time.Second, Seed: o.Setting.Seed},
		Daemons:  o.Setting.Daemons, Log: o.Log,
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		if cerr := c.Close(); err == nil {
			err = cerr
		}
	}()
	b := &bench{o: o, c: c, shape: shape, service: service, jobs: map[string]jobMeta{}}
	if err := b.startService(ctx); err != nil {
		return nil, err
	}
	return b.measure(ctx, n)
}

func (b *bench) startService(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if _, err := b.c.Apply(ctx, baseFile(b.service, instanceSize(b.shape))); err != nil {
		return err
	}
	if err := b.c.WaitPlaced(ctx, instances, 0); err != nil {
		return err
	}
	// The warm-up opens connections and spreads the slots over the daemons. The start
	// of a service is measured by the demonstration instead.
	callers.Run(ctx, b.requests(b.o.Setting.Seed+warmUpSeed, int(b.o.Setting.Rate*warmUp.Seconds())))
	return nil
}

// requests returns the options of the request load.
func (b *bench) requests(seed uint64, count int) callers.Options {
	return callers.Options{
		Client: &http.Client{Transport: b.c.Balancer().Transport(), Timeout: 30 * time.Second}, Service: b.service,
		Rate: b.o.Setting.Rate, Count: count, NonIdempotent: 0.1, Keyed: 0.1, BodySize: 512, Seed: seed, Tries: 10,
	}
}

// measure applies the load of requests and tasks for Setting.Seconds.
func (b *bench) measure(ctx context.Context, n int) (Metrics, error) {
	duration := time.Duration(b.o.Setting.Seconds * float64(time.Second))
	runCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	before := b.c.Platform.Store.Counts()
	begin := time.Now()
	var wg sync.WaitGroup
	var waveErr error
	wg.Go(func() { waveErr = b.waves(runCtx, ctx) })
	wg.Go(func() { b.sample(runCtx) })
	wg.Go(func() { b.progress(runCtx, n, duration) })
	load := b.requests(b.o.Setting.Seed, int(b.o.Setting.Rate*b.o.Setting.Seconds))
	load.Until = runCtx.Done()
	result := callers.Run(ctx, load)
	wg.Wait()
	if waveErr != nil {
		return nil, waveErr
	}
	after := b.c.Platform.Store.Counts()
	m := Metrics{}
	b.requestMetrics(m, result)
	b.taskMetrics(m)
	elapsed := time.Since(begin).Seconds()
	m[StoreCallsPer] = float64(after.Total()-before.Total()) / elapsed
	m[StoreWrites] = float64(after.Writes()-before.Writes()) / elapsed
	return m, nil
}

// waves applies a file of tasks every waveEvery until run ends.
func (b *bench) waves(run, ctx context.Context) error {
	if b.o.Setting.TaskLoad <= 0 {
		return nil
	}
	w := newWaveMaker(b.o.Setting, b.shape)
	tick := time.NewTicker(waveEvery)
	defer tick.Stop()
	for {
		f := w.next()
		applied := time.Now()
		if _, err := b.c.Apply(ctx, f); err != nil {
			return err
		}
		b.mu.Lock()
		for _, j := range f.Jobs {
			b.jobs[j.Name] = jobMeta{class: j.EffectiveClass(), kind: j.Kind, count: j.Count, applied: applied}
		}
		b.mu.Unlock()
		select {
		case <-run.Done():
			return nil
		case <-tick.C:
		}
	}
}

// sample records, ten times a second, the used share of CPU or memory, whichever is
// larger.
func (b *bench) sample(ctx context.Context) {
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			held, capacity := b.c.Platform.Recorder.Held()
			share := max(ratio(held.MilliCPU, capacity.MilliCPU), ratio(held.MemoryMB, capacity.MemoryMB))
			b.mu.Lock()
			b.packing = append(b.packing, share)
			b.mu.Unlock()
		}
	}
}

func ratio(a, b int64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (b *bench) progress(ctx context.Context, n int, d time.Duration) {
	bar := progressbar.NewOptions(int(d.Seconds()), progressbar.OptionSetWriter(b.o.Progress),
		progressbar.OptionSetDescription(fmt.Sprintf("repetition %d of %d", n+1, b.o.Repetitions)), progressbar.OptionClearOnFinish())
	showSeconds(ctx, bar)
}

// showSeconds advances the bar once a second until ctx ends.
func showSeconds(ctx context.Context, bar *progressbar.ProgressBar) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = bar.Finish() // only a display
			return
		case <-tick.C:
			_ = bar.Add(1) // only a display
		}
	}
}

func (b *bench) requestMetrics(m Metrics, result *callers.Result) {
	s := result.Check(b.c.Platform.EndpointReport().Runs)
	m[RequestP50] = float64(result.Latency.ValueAtQuantile(50))
	m[RequestP99] = float64(result.Latency.ValueAtQuantile(99))
	m[RequestMax] = float64(result.Latency.Max())
	plain, keyed := result.ByKind[callers.Idempotent], result.ByKind[callers.Keyed]
	m[PlainP50], m[PlainP99] = float64(plain.ValueAtQuantile(50)), float64(plain.ValueAtQuantile(99))
	m[KeyedP50], m[KeyedP99] = float64(keyed.ValueAtQuantile(50)), float64(keyed.ValueAtQuantile(99))
	m[RequestWhole] = float64(s.Whole) / float64(max(1, s.Requests))
	m[RequestPerS] = float64(s.Whole) / result.Elapsed.Seconds()
	full := b.c.Platform.FullReport()
	m[Broken] = float64(s.Doubled + s.FalseNotRun + s.Mixed + s.Lost + full.Tasks.ViolationCount + len(full.Endpoints.Violations) + len(b.c.Violations()))
	m[TaskStarts] = float64(full.Tasks.Starts)
}

// taskMetrics collects waiting times in milliseconds; a task that has not started
// counts with the time that it has waited so far.
func (b *bench) taskMetrics(m Metrics) {
	urgent, batch, gang := newWaits(), newWaits(), newWaits()
	notStarted, now := 0, time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, meta := range b.jobs {
		h := batch
		switch {
		case meta.class == spec.Urgent:
			h = urgent
		case meta.kind == spec.Gang:
			h = gang
		}
		starts := b.c.Platform.Recorder.FirstStarts(name)
		for _, at := range starts {
			_ = h.RecordValue(at.Sub(meta.applied).Milliseconds()) // within the range of a run
		}
		for range meta.count - len(starts) {
			notStarted++
			_ = h.RecordValue(now.Sub(meta.applied).Milliseconds()) // within the range of a run
		}
	}
	m[TasksLeft] = float64(notStarted)
	m[UrgentP50], m[UrgentP99] = float64(urgent.ValueAtQuantile(50)), float64(urgent.ValueAtQuantile(99))
	m[BatchP50], m[BatchP99] = float64(batch.ValueAtQuantile(50)), float64(batch.ValueAtQuantile(99))
	m[GangP50] = float64(gang.ValueAtQuantile(50))
	m[PackingMean], m[PackingPeak] = mean(b.packing), peak(b.packing)
}

func newWaits() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000, 3) }

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}

func peak(values []float64) float64 {
	p := 0.0
	for _, v := range values {
		p = max(p, v)
	}
	return p
}
