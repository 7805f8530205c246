// Package platform combines the stand-ins to the platform that a cell runs on: a
// key-value service, a list of VMs, and workers whose service instances are
// endpoints on loopback.
package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/connection/worker"
	"fennelshunt.example/fennelshunt/standin/agent"
	"fennelshunt.example/fennelshunt/standin/endpoint"
	"fennelshunt.example/fennelshunt/standin/fault"
	"fennelshunt.example/fennelshunt/standin/kv"
	"fennelshunt.example/fennelshunt/standin/record"
	"fennelshunt.example/fennelshunt/standin/vms"
	"fennelshunt.example/fennelshunt/version/spec"
)

// Shape describes the workers of a cell.
type Shape struct {
	// Zones are the availability zones.
	Zones []string
	// Workers is the number of worker VMs; racks are filled one after another.
	Workers int
	// PerRack is the number of workers per rack.
	PerRack  int
	Capacity spec.Resources
}

// Authority returns the workers of the Punjab Housing Survey Authority.
func Authority() Shape {
	return Shape{
		Zones: []string{"gulberg-hall", "johar-hall", "model-hall"}, Workers: 48, PerRack: 8,
		Capacity: spec.Resources{MilliCPU: 64_000, MemoryMB: 128 << 10, Accelerators: 2},
	}
}

// Guild returns the workers of the Southern Bath Renovation Planners Guild.
func Guild() Shape {
	return Shape{
		Zones: []string{"mobile-hall", "biloxi-hall", "baton-hall", "pensa-hall"}, Workers: 48, PerRack: 6,
		Capacity: spec.Resources{MilliCPU: 16_000, MemoryMB: 32 << 10, Accelerators: 1},
	}
}

// Options of a Platform.
type Options struct {
	Shape Shape
	// Work is how long an endpoint works on each request.
	Work time.Duration
	// Lag is the lag of the list of VMs.
	Lag time.Duration
	// Seed is the seed of the random faults.
	Seed uint64
	// Store and VMList are the listen addresses of the store and of the list of VMs;
	// empty means a free port on loopback.
	Store, VMList string
}

// Worker is a stand-in worker VM with its agent.
type Worker struct {
	VM    vmlist.VM
	Agent *agent.Agent
	Fault *fault.Injector
	stop  context.CancelFunc
}

// Kill ends the VM: its agent stops responding and its tasks end. The list of VMs is
// not changed.
func (w *Worker) Kill() { w.stop() }

// Platform is a running set of stand-ins.
type Platform struct {
	Store      *kv.Memory
	StoreFault *fault.Injector
	VMs        *vms.List
	Workers    []*Worker
	Recorder   *record.Recorder
	StoreURL   string
	VMListURL  string

	o  Options
	mu sync.Mutex
	// endpoints has the latest service instance of each address, launched all
	// instances: a later instance may get the port of one that has ended.
	endpoints map[string]*endpoint.Endpoint
	launched  []*endpoint.Endpoint
	group     *errgroup.Group
	cancel    context.CancelFunc
}

// Start starts the stand-ins. Close ends them.
func Start(ctx context.Context, o Options) (*Platform, error) {
	ctx, cancel := context.WithCancel(ctx)
	group, ctx := errgroup.WithContext(ctx)
	p := &Platform{
		Store: kv.NewSeeded(o.Seed), VMs: vms.New(o.Lag), Recorder: record.New(), o: o,
		endpoints: map[string]*endpoint.Endpoint{}, group: group, cancel: cancel,
	}
	p.StoreFault = fault.New(kv.Handler(p.Store), o.Seed)
	storeAddr, err := p.serve(ctx, o.Store, p.StoreFault)
	if err != nil {
		cancel()
		return nil, err
	}
	vmsAddr, err := p.serve(ctx, o.VMList, p.VMs.Handler())
	if err != nil {
		cancel()
		return nil, err
	}
	p.StoreURL, p.VMListURL = "http://"+storeAddr, "http://"+vmsAddr
	for i := range o.Shape.Workers {
		if err := p.startWorker(ctx, i); err != nil {
			cancel()
			return nil, err
		}
	}
	return p, nil
}

// serve serves h on addr, or on a free loopback port, until ctx ends.
func (p *Platform) serve(ctx context.Context, addr string, h http.Handler) (string, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("platform: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	p.group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	p.group.Go(func() error {
		if err := server.Serve(l); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
	return l.Addr().String(), nil
}

// startWorker starts worker i. Racks are filled one after another and assigned to
// the zones in turn.
func (p *Platform) startWorker(ctx context.Context, i int) error {
	s := p.o.Shape
	rack := i / s.PerRack
	w := &Worker{VM: vmlist.VM{
		Name: fmt.Sprintf("worker-%02d", i+1), Role: vmlist.RoleWorker,
		Zone: s.Zones[rack%len(s.Zones)], Rack: fmt.Sprintf("rack-%d", rack+1), Capacity: s.Capacity,
	}}
	w.Agent = agent.New(agent.Options{
		ID: worker.ID(w.VM.Name), Zone: w.VM.Zone, Rack: w.VM.Rack, Capacity: s.Capacity,
		ComparesEpochs: i%2 == 0, Launch: p.launch, Recorder: p.Recorder,
	})
	w.Fault = fault.New(worker.ServeAgent(w.Agent), p.o.Seed+uint64(i))
	workerCtx, stop := context.WithCancel(ctx)
	w.stop = stop
	addr, err := p.serve(workerCtx, "", w.Fault)
	if err != nil {
		stop()
		return err
	}
	p.group.Go(func() error {
		_ = w.Agent.Serve(workerCtx) // ends with its context
		return nil
	})
	w.VM.Address = addr
	p.Workers = append(p.Workers, w)
	p.VMs.Set(w.VM)
	return nil
}

func (p *Platform) launch(s worker.Start) (string, func(), error) {
	e := endpoint.New(endpoint.Options{Slots: s.Slots, Connections: s.Conns, Work: p.o.Work, Seed: p.o.Seed})
	if err := e.Start(); err != nil {
		return "", nil, err
	}
	p.mu.Lock()
	p.endpoints[e.Address()] = e
	p.launched = append(p.launched, e)
	p.mu.Unlock()
	return e.Address(), func() { _ = e.Close() }, nil
}

// Launched returns all service instances launched so far.
func (p *Platform) Launched() []*endpoint.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*endpoint.Endpoint{}, p.launched...)
}

// Endpoints returns the latest service instance of each address.
func (p *Platform) Endpoints() map[string]*endpoint.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]*endpoint.Endpoint, len(p.endpoints))
	for a, e := range p.endpoints {
		out[a] = e
	}
	return out
}

// Report has the counts of all endpoints.
type Report struct {
	Requests, Completed, Refused int
	PeakRunning, PeakConnections int // maximum over the instances
	Violations                   []string
	Runs                         map[string]int // per request key
}

// EndpointReport returns the counts of all endpoints, summed over the instances.
func (p *Platform) EndpointReport() Report {
	rep := Report{Runs: map[string]int{}}
	for _, e := range p.Launched() {
		r := e.Report()
		rep.Requests += r.Requests
		rep.Completed += r.Completed
		rep.Refused += r.Refused
		rep.PeakRunning = max(rep.PeakRunning, r.PeakRunning)
		rep.PeakConnections = max(rep.PeakConnections, r.PeakConnections)
		for _, v := range r.Violations {
			rep.Violations = append(rep.Violations, e.Address()+": "+v)
		}
		for key, n := range r.Runs {
			rep.Runs[key] += n
		}
	}
	return rep
}

// Close ends all stand-ins and waits for them.
func (p *Platform) Close() error {
	p.cancel()
	err := p.group.Wait()
	for _, e := range p.Launched() {
		_ = e.Close() // closed already if its task has ended
	}
	return err
}
