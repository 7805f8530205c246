package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"fennelshunt.example/fennelshunt/standin/agent"
	"fennelshunt.example/fennelshunt/standin/platform"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Parameters of the task load. Sizes are skewed in two dimensions: most tasks are
// small, some of the others need mostly CPU, some mostly memory.
const (
	urgentShare  = 0.05
	gangShare    = 0.05
	heavyTail    = 1.3 // exponent of the Pareto-like size and run time
	largestShare = 0.5 // of a VM, for one task
	meanRunTime  = time.Second
	// waveEvery is the interval at which files of tasks are applied.
	waveEvery = time.Second
	// declaredOff is the greatest factor between declared and actual run times, either way.
	declaredOff = 3.0
)

// jobMeta describes a job for the assignment of its waiting times to metrics.
type jobMeta struct {
	class   spec.Class
	kind    spec.Kind
	count   int
	applied time.Time
}

// waveMaker generates files of jobs, each with about load × VMs × interval of work,
// where a task counts with its largest dimension.
type waveMaker struct {
	rng   *rand.Rand
	shape platform.Shape
	load  float64
	n     int
}

func newWaveMaker(s Setting, shape platform.Shape) *waveMaker {
	return &waveMaker{rng: rand.New(rand.NewPCG(s.Seed, 2)), shape: shape, load: s.TaskLoad}
}

// next returns the file of the next wave. The service has a file of its own.
func (w *waveMaker) next() *spec.File {
	w.n++
	f := &spec.File{Name: fmt.Sprintf("wave-%d", w.n)}
	budget := w.load * float64(w.shape.Workers) * waveEvery.Seconds() // VM-seconds
	for i := 0; budget > 0; i++ {
		j := w.job(i)
		actual, _ := time.ParseDuration(j.Parameters[agent.ParamActualRunTime]) // job has formatted it
		budget -= float64(j.Count) * w.shareOf(j.Size) * actual.Seconds()
		f.Jobs = append(f.Jobs, j)
	}
	return f
}

// shareOf returns the share of a VM that a size takes in its largest dimension.
func (w *waveMaker) shareOf(s spec.Resources) float64 {
	c := w.shape.Capacity
	return max(ratio(s.MilliCPU, c.MilliCPU), ratio(s.MemoryMB, c.MemoryMB), ratio(s.Accelerators, c.Accelerators))
}

func (w *waveMaker) job(i int) spec.Job {
	j := spec.Job{Name: fmt.Sprintf("wave-%d-%d", w.n, i), Team: fmt.Sprintf("team-%d", w.rng.IntN(teams)), Kind: spec.Batch, Count: 1 + w.rng.IntN(20), Retries: 3}
	switch x := w.rng.Float64(); {
	case x < urgentShare:
		j.Class, j.Count = spec.Urgent, 1+w.rng.IntN(3)
	case x < urgentShare+gangShare:
		j.Kind, j.Count = spec.Gang, 4+w.rng.IntN(13)
	}
	j.Size = w.size()
	actual := min(10*meanRunTime, time.Duration(float64(meanRunTime)*w.pareto()/3))
	off := math.Pow(declaredOff, 2*w.rng.Float64()-1)
	j.RunTime = spec.Duration(time.Duration(float64(actual) * off).Round(time.Millisecond))
	j.Parameters = map[string]string{agent.ParamActualRunTime: actual.Round(time.Millisecond).String()}
	return j
}

// pareto returns a heavy-tailed number, 1 or more.
func (w *waveMaker) pareto() float64 { return math.Pow(1-w.rng.Float64(), -1/heavyTail) }

func (w *waveMaker) size() spec.Resources {
	c := w.shape.Capacity
	limit := func(x float64) float64 { return min(x, largestShare) }
	cpu, memory := limit(w.pareto()/64), limit(w.pareto()/64)
	if w.rng.IntN(2) == 0 {
		cpu, memory = memory, limit(cpu*2)
	}
	s := spec.Resources{MilliCPU: max(100, int64(cpu*float64(c.MilliCPU))), MemoryMB: max(64, int64(memory*float64(c.MemoryMB)))}
	if c.Accelerators > 0 && w.rng.IntN(20) == 0 {
		s.Accelerators = 1
	}
	return s
}

// teams is the number of teams that share the cell.
const teams = 12

// instanceSize is the size of a service instance.
func instanceSize(shape platform.Shape) spec.Resources {
	c := shape.Capacity
	return spec.Resources{MilliCPU: c.MilliCPU / instanceShare, MemoryMB: c.MemoryMB / instanceShare}
}

// baseFile declares the teams and the user's service.
func baseFile(service string, instance spec.Resources) *spec.File {
	f := &spec.File{Name: "base", Jobs: []spec.Job{{
		Name: service, Team: "team-0", Kind: spec.Service, Count: instances, Size: instance,
		Service: &spec.ServiceSettings{Slots: 8, Connections: 64, RequestTimeout: spec.Duration(10 * time.Second)},
	}}}
	for i := range teams {
		f.Teams = append(f.Teams, spec.Team{Name: fmt.Sprintf("team-%d", i), Weight: 1 + i%3})
	}
	return f
}
