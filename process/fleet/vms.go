package fleet

import (
	"context"
	"net"
	"time"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// vmPeriod is how often a daemon reads the VM list in a fleet of up to vmFleet
	// members. In a larger fleet each daemon reads it less often, so that the rate of
	// the whole fleet stays constant; changes are spread by deltas.
	vmPeriod      = 2 * time.Second
	vmFleet       = 8
	vmListTimeout = 5 * time.Second
	// absentLists is how many consecutive lists a VM must be missing from, after it had
	// been in one: the list lags and may briefly miss an entry.
	absentLists = 2
)

// vmObservation is what the lists showed of a member's VM.
type vmObservation struct {
	listed bool
	absent int
}

// vmListRead is the event of one read of the list.
type vmListRead struct{ vms []vmlist.VM }

// pollVMs reads the platform's list periodically. A failed read changes nothing.
func (f *Fleet) pollVMs(ctx context.Context) error {
	for {
		f.readVMs(ctx)
		size := max(len(f.Members()), vmFleet)
		if err := sleep.For(ctx, jittered(vmPeriod*time.Duration(size)/vmFleet)); err != nil {
			return err
		}
	}
}

func (f *Fleet) readVMs(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	vms, err := f.options.VMs.List(listCtx)
	if err != nil {
		f.options.Log.Debug().Err(err).Msg("reading the VM list failed")
		return
	}
	// An error of post means that the loop has ended.
	_ = f.post(ctx, vmListRead{vms: vms})
}

func (s vmListRead) apply(l *loop) {
	index := newVMIndex(s.vms)
	for id, e := range l.table.entries {
		if !e.usable() {
			continue
		}
		observation := l.vms[id]
		if observation == nil {
			observation = &vmObservation{}
			l.vms[id] = observation
		}
		vm, listed := index.find(e)
		observation.observe(listed)
		switch {
		case listed && vm.Leaving && e.Flags&flagLeaving == 0:
			d := e.delta
			d.Flags |= flagLeaving
			l.merge(d, true)
		case l.vmRemoved(observation, e):
			l.merge(delta{ID: id, Incarnation: e.Incarnation, Ended: VMRemoved}, true)
		}
	}
}

func (s *vmObservation) observe(listed bool) {
	if listed {
		s.listed, s.absent = true, 0
		return
	}
	s.absent++
}

// vmRemoved reports whether a member has ended with its VM: the VM was listed, is missing
// from several consecutive lists, the member is suspected, and its store lease has expired
// or cannot be seen because of a store outage.
func (l *loop) vmRemoved(s *vmObservation, e *entry) bool {
	if !s.listed || s.absent < absentLists || !e.suspect() || e.ID == l.fleet.self.ID {
		return false
	}
	storeUnreachable := time.Since(l.fleet.LeaseRenewed()) > l.fleet.leaseTTL()
	return !e.registered || storeUnreachable
}

// vmIndex finds the VM of a member by its name or address.
type vmIndex struct {
	byName    map[string]vmlist.VM
	byAddress map[string]vmlist.VM
}

func newVMIndex(vms []vmlist.VM) vmIndex {
	index := vmIndex{
		byName:    make(map[string]vmlist.VM, len(vms)),
		byAddress: make(map[string]vmlist.VM, len(vms)),
	}
	for _, vm := range vms {
		if vm.Role != vmlist.RoleEntry {
			continue
		}
		index.byName[vm.Name] = vm
		index.byAddress[vm.Address] = vm
	}
	return index
}

// find returns the VM whose name is the member's id, or whose address is one of the
// member's, with or without the port. Loopback hosts are shared by all daemons of a test
// and identify none.
func (x vmIndex) find(e *entry) (vmlist.VM, bool) {
	if vm, ok := x.byName[string(e.ID)]; ok {
		return vm, true
	}
	for _, addr := range []string{e.Info.PeerAddr, e.Info.CallerAddr} {
		if vm, ok := x.byAddress[addr]; ok && addr != "" {
			return vm, true
		}
		host, _, err := net.SplitHostPort(addr)
		if ip := net.ParseIP(host); err != nil || ip == nil || ip.IsLoopback() {
			continue
		}
		if vm, ok := x.byAddress[host]; ok {
			return vm, true
		}
	}
	return vmlist.VM{}, false
}
