package partition

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/process/ownership"
)

// The VM list is always sent whole, so its size limits how often it may be read.
const (
	// DefaultListInterval is the minimum time between two reads.
	DefaultListInterval = 3 * time.Second
	maxListInterval     = 30 * time.Second
	listBytesPerVM      = 180
	listBudget          = 2500 // bytes per second
	listTimeout         = 5 * time.Second
	// absentReadings is how many successful reads in a row must lack a VM before
	// it counts as removed: a single read may have been truncated.
	absentReadings = 2
	// absentRetention is how long a removed VM stays recorded as removed.
	absentRetention = 48 * time.Hour
)

// Racks polls the platform's VM list and groups the workers into partitions, one
// per rack of a zone. A failed read changes nothing. It is safe for concurrent
// use.
type Racks struct {
	lister   vmlist.Lister
	interval time.Duration
	log      zerolog.Logger
	current  atomic.Pointer[listing]
}

// listing is the result of one read, with the VMs that earlier reads had listed.
// It is immutable.
type listing struct {
	partitions map[string][]vmlist.VM
	names      []string
	present    map[string]bool
	absent     map[string]absence // VMs listed before and not now
	changed    chan struct{}
	vms        int
}

// absence records since when a VM has not been listed any more.
type absence struct {
	readings int // successful reads in a row without the VM
	since    time.Time
}

// NewRacks returns a Racks that has not read the list yet. An interval of 0
// means DefaultListInterval.
func NewRacks(lister vmlist.Lister, interval time.Duration, log zerolog.Logger) *Racks {
	if interval == 0 {
		interval = DefaultListInterval
	}
	r := &Racks{lister: lister, interval: interval, log: log}
	r.current.Store(&listing{changed: make(chan struct{})})
	return r
}

// Serve reads the list periodically until ctx is cancelled.
func (r *Racks) Serve(ctx context.Context) error {
	for {
		if err := r.Refresh(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("reading the VM list failed; the last list stays in use")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(r.wait()):
		}
	}
}

func (r *Racks) wait() time.Duration {
	d := time.Duration(r.current.Load().vms) * listBytesPerVM * time.Second / listBudget
	return min(max(d, r.interval), max(r.interval, maxListInterval))
}

// Refresh reads the list once.
func (r *Racks) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	vms, err := r.lister.List(ctx)
	if err != nil {
		return err
	}
	old := r.current.Load()
	next := newListing(vms, old)
	r.current.Store(next)
	close(old.changed)
	return nil
}

func newListing(vms []vmlist.VM, old *listing) *listing {
	now := time.Now()
	l := &listing{
		partitions: make(map[string][]vmlist.VM),
		present:    make(map[string]bool, len(vms)),
		absent:     make(map[string]absence),
		changed:    make(chan struct{}),
		vms:        len(vms),
	}
	for _, vm := range vms {
		l.present[vm.Name] = true
		if vm.Role == vmlist.RoleWorker {
			name := PartitionOf(vm.Zone, vm.Rack)
			l.partitions[name] = append(l.partitions[name], vm)
		}
	}
	for name := range old.present {
		if !l.present[name] {
			l.absent[name] = absence{readings: 1, since: now}
		}
	}
	for name, a := range old.absent {
		if !l.present[name] && now.Sub(a.since) < absentRetention {
			a.readings++
			l.absent[name] = a
		}
	}
	l.names = slices.Sorted(maps.Keys(l.partitions))
	return l
}

// PartitionOf returns the name of a rack's partition.
func PartitionOf(zone, rack string) string { return zone + "-" + rack }

// Partitions returns the names of the partitions, sorted; the slice is shared.
func (r *Racks) Partitions() []string { return r.current.Load().names }

// Resources returns the partitions as resources, for ownership.Manager.Register.
func (r *Racks) Resources() []ownership.Resource {
	names := r.Partitions()
	resources := make([]ownership.Resource, 0, len(names))
	for _, name := range names {
		resources = append(resources, resourceOf(name))
	}
	return resources
}

// Workers returns the worker VMs of a partition; the slice is shared.
func (r *Racks) Workers(partition string) []vmlist.VM {
	return r.current.Load().partitions[partition]
}

// VMRemoved reports whether a VM was listed before and has been removed from the
// list. It returns false for a VM that this daemon has never seen listed.
func (r *Racks) VMRemoved(name string) bool {
	return r.current.Load().absent[name].readings >= absentReadings
}

// Changed returns a channel that is closed by the next successful read.
func (r *Racks) Changed() <-chan struct{} { return r.current.Load().changed }

func resourceOf(partition string) ownership.Resource {
	return ownership.Resource(ownership.PartitionPrefix + partition)
}

func partitionOf(r ownership.Resource) string {
	return strings.TrimPrefix(string(r), ownership.PartitionPrefix)
}
