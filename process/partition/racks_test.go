package partition

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fennelshunt.example/fennelshunt/connection/vmlist"
	"fennelshunt.example/fennelshunt/process/ownership"
)

type listFunc func() ([]vmlist.VM, error)

func (f listFunc) List(context.Context) ([]vmlist.VM, error) { return f() }

func TestRacksGroupWorkersAndReportRemovedVMs(t *testing.T) {
	// Guards against giving up the tasks of a running VM because a single read of
	// the VM list was truncated or failed.
	worker := func(name, rack string) vmlist.VM {
		return vmlist.VM{Name: name, Role: vmlist.RoleWorker, Zone: "a", Rack: rack}
	}
	all := []vmlist.VM{worker("w1", "1"), worker("w2", "1"), worker("w3", "2"), {Name: "d1", Role: vmlist.RoleEntry, Zone: "a"}}
	var list []vmlist.VM
	var failure error
	r := NewRacks(listFunc(func() ([]vmlist.VM, error) { return list, failure }), time.Second, zerolog.Nop())
	steps := []struct {
		name       string
		list       []vmlist.VM
		failure    error
		partitions []string
		removed    bool // w3 and d1
	}{
		{"first", all, nil, []string{"a-1", "a-2"}, false},
		{"failed", nil, errors.New("down"), []string{"a-1", "a-2"}, false},
		{"read truncated", all[:2], nil, []string{"a-1"}, false},
		{"complete again", all, nil, []string{"a-1", "a-2"}, false},
		{"left", all[:2], nil, []string{"a-1"}, false},
		{"left, second reading", all[:2], nil, []string{"a-1"}, true},
		{"back", all, nil, []string{"a-1", "a-2"}, false},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			list, failure = s.list, s.failure
			changed := r.Changed()
			require.Equal(t, s.failure, r.Refresh(t.Context()))
			require.Equal(t, s.partitions, r.Partitions())
			require.Len(t, r.Workers("a-1"), 2)
			require.Equal(t, s.removed, r.VMRemoved("w3"))
			require.Equal(t, s.removed, r.VMRemoved("d1"))
			require.False(t, r.VMRemoved("never seen"))
			if s.failure == nil {
				<-changed
			}
		})
	}
	require.Equal(t, []ownership.Resource{"partition/a-1", "partition/a-2"}, r.Resources())
}

func TestHeartbeatIntervalKeepsTheBudget(t *testing.T) {
	timing := Timing{}.withDefaults()
	for _, workers := range []int{0, 1, 8, 10, 16, 100} {
		d := timing.syncInterval(workers)
		require.GreaterOrEqual(t, d, DefaultSyncInterval)
		require.LessOrEqual(t, d, DefaultLeaseTTL/4, "three heartbeats in a row may be lost")
		if d < DefaultLeaseTTL/4 {
			require.LessOrEqual(t, float64(workers*heartbeatBytes)/d.Seconds(), float64(heartbeatBudget))
		}
	}
}
