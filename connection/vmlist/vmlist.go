// Package vmlist reads the platform's list of VMs. The list lags behind: a VM may
// have been removed although it is still listed, so an entry proves nothing.
package vmlist

import (
	"context"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Role is the purpose of a VM.
type Role string

// Roles of VMs.
const (
	RoleWorker Role = "worker" // runs tasks
	RoleEntry  Role = "entry"  // runs fennelshuntd
)

// VM is one entry of the list.
type VM struct {
	Name     string         `json:"name"`
	Role     Role           `json:"role"`
	Zone     string         `json:"zone"`
	Rack     string         `json:"rack,omitempty"`
	Address  string         `json:"address"`
	Capacity spec.Resources `json:"capacity,omitzero"`
	// Leaving is set some time before the VM is removed.
	Leaving bool `json:"leaving,omitempty"`
}

// Lister returns the VMs that are running or leaving according to the platform.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}
