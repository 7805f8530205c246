// Package vmlist reads the platform's list of VMs. The list lags: a VM may be
// gone before the list says so, and an entry is a hint, never a proof.
package vmlist

import (
	"context"

	"fennelshunt.example/fennelshunt/version/spec"
)

// Role tells what a VM is for.
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
	// Leaving is set some time before the VM goes.
	Leaving bool `json:"leaving,omitempty"`
}

// Lister returns the VMs that the platform believes to be live or leaving.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}
