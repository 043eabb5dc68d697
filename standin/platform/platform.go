// Package platform contains stand-ins for the platform's services: the table service, the object
// store, the list of VMs and the weight store. Each keeps its data in memory, takes a table of
// faults, and can be called in the process or over HTTP; see Handler.
package platform

import (
	"context"
	"time"

	"acaciacleat.example/standin/faults"
)

// Operations that faults.Fault.Operation can name.
const (
	OpTableGet        = "table.get"
	OpTableScan       = "table.scan"
	OpTableCommit     = "table.commit"
	OpObjectsGet      = "objects.get"
	OpObjectsPut      = "objects.put"
	OpObjectsDelete   = "objects.delete"
	OpVMsList         = "vms.list"
	OpWeightsDescribe = "weights.describe"
	OpWeightsRate     = "weights.rate"
)

// Platform holds one stand-in of each service; they share a table of faults.
type Platform struct {
	Faults  *faults.Table
	Table   *Table
	Objects *Objects
	VMs     *VMs
	Weights *Weights
}

// New returns an empty platform whose weight store has the given rate.
func New(bytesPerSecond float64) *Platform {
	f := &faults.Table{}
	return &Platform{
		Faults:  f,
		Table:   NewTable(f),
		Objects: NewObjects(f),
		VMs:     NewVMs(f),
		Weights: NewWeights(f, bytesPerSecond),
	}
}

// failures are the errors that a faulty operation returns.
type failures struct {
	// refused is returned during an outage.
	refused error
	// lost is returned if no answer arrives, whether or not the call took effect.
	lost error
}

type result[T any] struct {
	value T
	err   error
}

// inject calls apply under the fault that applies to the operation, if any. If ctx has already ended, it
// does not call apply. A slow call takes effect even after its caller has given up, as it would over a
// network.
func inject[T any](ctx context.Context, table *faults.Table, operation string, fail failures, apply func() (T, error)) (T, error) {
	var zero T
	if ctx.Err() != nil {
		return zero, fail.refused
	}
	fault, hit := table.Next(operation)
	if !hit {
		return apply()
	}
	switch fault.Kind {
	case faults.Outage:
		return zero, fail.refused
	case faults.Die:
		return zero, fail.lost
	case faults.AnswerLost:
		_, _ = apply()
		return zero, fail.lost
	case faults.Silent:
		<-ctx.Done()
		return zero, fail.lost
	default:
		return applyLater(ctx, fault.Delay, fail, apply)
	}
}

func applyLater[T any](ctx context.Context, delay time.Duration, fail failures, apply func() (T, error)) (T, error) {
	answers := make(chan result[T], 1)
	time.AfterFunc(delay, func() {
		value, err := apply()
		answers <- result[T]{value, err}
	})
	select {
	case answer := <-answers:
		return answer.value, answer.err
	case <-ctx.Done():
		var zero T
		return zero, fail.lost
	}
}
