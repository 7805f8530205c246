package fleet

import (
	"context"
	"net"
	"time"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/internal/sleep"
)

const (
	// vmPeriod is how often a daemon of a small fleet reads the VM list. In a
	// larger one each reads less often, as the news spreads by deltas, and the
	// list is read about as often by the whole fleet.
	vmPeriod      = 2 * time.Second
	vmFleet       = 8
	vmListTimeout = 5 * time.Second
	// absentLists is how many lists in a row a VM must be missing from after
	// it had been in one: the list lags and may miss an entry for a moment.
	absentLists = 2
)

// vmSight is what the list said of a member's VM.
type vmSight struct {
	listed bool
	absent int
}

// vmsSeen is one reading of the list.
type vmsSeen struct{ vms []vmlist.VM }

// pollVMs reads the platform's list. A list that cannot be read changes
// nothing.
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
		f.options.Log.Debug().Err(err).Msg("VM list not read")
		return
	}
	// An error of post means that the loop has ended.
	_ = f.post(ctx, vmsSeen{vms: vms})
}

func (s vmsSeen) apply(l *loop) {
	index := newVMIndex(s.vms)
	for id, e := range l.table.entries {
		if !e.usable() {
			continue
		}
		sight := l.vms[id]
		if sight == nil {
			sight = &vmSight{}
			l.vms[id] = sight
		}
		vm, listed := index.find(e)
		sight.observe(listed)
		switch {
		case listed && vm.Leaving && e.Flags&flagLeaving == 0:
			d := e.delta
			d.Flags |= flagLeaving
			l.merge(d, true)
		case l.vmRemoved(sight, e):
			l.merge(delta{ID: id, Incarnation: e.Incarnation, Ended: VMRemoved}, true)
		}
	}
}

func (s *vmSight) observe(listed bool) {
	if listed {
		s.listed, s.absent = true, 0
		return
	}
	s.absent++
}

// vmRemoved decides that a member went with its VM: it was listed, is missing
// from several lists, answers nobody, and its store lease does not speak for
// it, being gone or out of sight in an outage.
func (l *loop) vmRemoved(s *vmSight, e *entry) bool {
	if !s.listed || s.absent < absentLists || !e.suspect() || e.ID == l.fleet.self.ID {
		return false
	}
	storeSilent := time.Since(l.fleet.LeaseRenewed()) > l.fleet.leaseTTL()
	return !e.registered || storeSilent
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

// find looks for a VM that bears the member's id, or whose address is one of
// the member's, with or without the port. Loopback hosts are shared by all the
// daemons of a test and identify none.
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
