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

// VMs is the list of VMs. It shows what was set a settable time ago.
type VMs struct {
	faults *faults.Table

	mu  sync.Mutex
	lag time.Duration
	// past holds the lists set, oldest first; it always has one.
	past []vmSnapshot
}

var _ vmlist.Lister = (*VMs)(nil)

type vmSnapshot struct {
	at  time.Time
	vms []vmlist.VM
}

// NewVMs returns an empty list that does not lag.
func NewVMs(f *faults.Table) *VMs {
	return &VMs{faults: f, past: []vmSnapshot{{vms: []vmlist.VM{}}}}
}

// SetLag sets by how much List is behind. Set it before the VMs that it shall delay.
func (v *VMs) SetLag(lag time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lag = lag
}

// Set makes vms the true list; List shows it after the lag.
func (v *VMs) Set(vms ...vmlist.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.past = append(v.past, vmSnapshot{at: now, vms: append([]vmlist.VM{}, vms...)})
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
	for _, snapshot := range slices.Backward(v.past) {
		if !snapshot.at.After(asOf) {
			return slices.Clone(snapshot.vms), nil
		}
	}
	return slices.Clone(v.past[0].vms), nil
}

func (v *VMs) trim(now time.Time) {
	asOf := now.Add(-v.lag)
	for len(v.past) > 1 && !v.past[1].at.After(asOf) {
		v.past = v.past[1:]
	}
}
