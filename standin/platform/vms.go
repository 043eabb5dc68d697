package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"acaciacleat.example/peers/vmlist"
	"acaciacleat.example/standin/faults"
)

var vmFailures = failures{refused: vmlist.ErrUnavailable, lost: vmlist.ErrUnavailable}

// VMs is the list of VMs in memory. List returns the list as it was a configurable time ago.
type VMs struct {
	// faults holds the injected faults of all operations.
	faults *faults.Table

	mu  sync.Mutex
	lag time.Duration
	// history holds the lists set, oldest first; it is never empty.
	history []vmSnapshot
}

var _ vmlist.Lister = (*VMs)(nil)

type vmSnapshot struct {
	at  time.Time
	vms []vmlist.VM
}

// NewVMs returns an empty list without lag.
func NewVMs(f *faults.Table) *VMs {
	return &VMs{faults: f, history: []vmSnapshot{{vms: []vmlist.VM{}}}}
}

// SetLag sets the age of the lists that List returns. To delay a change, call it before Set.
func (v *VMs) SetLag(lag time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = lag
}

// Set replaces the list; List returns it after the lag.
func (v *VMs) Set(vms ...vmlist.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.history = append(v.history, vmSnapshot{at: now, vms: append([]vmlist.VM{}, vms...)})
	v.trim(now)
}

// List implements vmlist.Lister.
func (v *VMs) List(ctx context.Context) ([]vmlist.VM, error) {
	return inject(ctx, v.faults, OpVMsList, vmFailures, v.list)
}

func (v *VMs) list() ([]vmlist.VM, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	asOf := time.Now().Add(-v.lag)
	for _, snapshot := range slices.Backward(v.history) {
		if !snapshot.at.After(asOf) {
			return slices.Clone(snapshot.vms), nil
		}
	}
	return slices.Clone(v.history[0].vms), nil
}

func (v *VMs) trim(now time.Time) {
	asOf := now.Add(-v.lag)
	for len(v.history) > 1 && !v.history[1].at.After(asOf) {
		v.history = v.history[1:]
	}
}
