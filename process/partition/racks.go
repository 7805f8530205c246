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

// The VM list has no deltas, so its size sets how often it may be read.
const (
	// DefaultListInterval is the shortest time between two readings.
	DefaultListInterval = 3 * time.Second
	maxListInterval     = 30 * time.Second
	listBytesPerVM      = 180
	listBudget          = 2500 // bytes per second
	listTimeout         = 5 * time.Second
	// absentReadings is how many successful readings in a row must lack a VM
	// before it counts as gone: one reading may have been cut short.
	absentReadings = 2
	// absentMemory is how long a departed VM is remembered.
	absentRetention = 48 * time.Hour
)

// Racks follows the platform's VM list and groups workers into partitions, one
// per rack of a zone. A failed reading changes nothing. Safe for concurrent
// use.
type Racks struct {
	lister   vmlist.Lister
	interval time.Duration
	log      zerolog.Logger
	current  atomic.Pointer[listing]
}

// listing is one reading with what is remembered of earlier ones; immutable.
type listing struct {
	partitions map[string][]vmlist.VM
	names      []string
	present    map[string]bool
	absent     map[string]absence // VMs seen before
	changed    chan struct{}
	vms        int
}

// absence is what is remembered of a VM that is not listed any more.
type absence struct {
	readings int // in a row without it
	since    time.Time
}

// NewRacks returns a Racks that has read nothing yet; interval 0 means
// DefaultListInterval.
func NewRacks(lister vmlist.Lister, interval time.Duration, log zerolog.Logger) *Racks {
	if interval == 0 {
		interval = DefaultListInterval
	}
	r := &Racks{lister: lister, interval: interval, log: log}
	r.current.Store(&listing{changed: make(chan struct{})})
	return r
}

// Serve reads the list until ctx ends.
func (r *Racks) Serve(ctx context.Context) error {
	for {
		if err := r.Refresh(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn().Err(err).Msg("VM list not read")
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

// PartitionOf names the partition of a rack.
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

// VMGone reports whether a VM was listed once and has left the list. A VM that
// this daemon has never seen listed is not called gone.
func (r *Racks) VMGone(name string) bool {
	return r.current.Load().absent[name].readings >= absentReadings
}

// Changed returns a channel closed at the next reading.
func (r *Racks) Changed() <-chan struct{} { return r.current.Load().changed }

func resourceOf(partition string) ownership.Resource {
	return ownership.Resource(ownership.PartitionPrefix + partition)
}

func partitionOf(r ownership.Resource) string {
	return strings.TrimPrefix(string(r), ownership.PartitionPrefix)
}
