// Package vmlist reads the platform's list of VMs. The list lags behind the actual state: it
// may contain VMs that no longer exist and lack VMs that do.
package vmlist

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnavailable means that the list can't be read. Callers keep using the last list read.
var ErrUnavailable = errors.New("vmlist: list unavailable")

// Role is the kind of process that runs on a VM.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is one machine in the list.
type VM struct {
	// ID is unique to the VM; a replacement VM has another ID.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// Link is the IP address and port on which the VM's process accepts links.
	Link string `json:"link"`
	// Service is the service whose upstream runs on the VM; agents only.
	Service string `json:"service,omitempty"`
	// Draining is true once the platform plans to remove the VM.
	Draining bool `json:"leaving,omitempty"`
}

// Lister reads the list. Implementations are safe for concurrent use.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}
