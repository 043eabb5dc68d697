// Package vmlist is the system's view of the platform's list of VMs, which lags behind
// reality: it may show a VM that is gone and miss one that is there.
package vmlist

import (
	"context"

	"github.com/pkg/errors"
)

// ErrUnavailable means that the list could not be read; the last one read still stands.
var ErrUnavailable = errors.New("vmlist: list unavailable")

// Role is what runs on a VM.
type Role string

// The roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is one machine in the list.
type VM struct {
	// ID names the VM; a replacement has another ID.
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Zone string `json:"zone"`
	// Link is the IP address and port on which the VM's process takes links.
	Link string `json:"link"`
	// Service is the service whose upstream stands on the VM; agents only.
	Service string `json:"service,omitempty"`
	// Leaving is set once the platform plans to take the VM away.
	Leaving bool `json:"leaving,omitempty"`
}

// Lister reads the list. Implementations are safe for concurrent use.
type Lister interface {
	List(ctx context.Context) ([]VM, error)
}
