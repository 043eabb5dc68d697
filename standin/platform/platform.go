// Package platform stands in for the platform's services: the table service, the
// object store, the list of VMs and the weight store. Each keeps its data in memory,
// takes a table of faults, and can be called in the process or over HTTP; see Handler.
package platform

import (
	"context"
	"time"

	"acaciacleat.example/standin/faults"
)

// Operations that faults name.
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

// Platform holds one of each service over one table of faults.
type Platform struct {
	Faults  *faults.Table
	Table   *Table
	Objects *Objects
	VMs     *VMs
	Weights *Weights
}

// New returns an empty platform whose weight store gives bytesPerSecond.
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

// failures are the errors by which an operation shows a fault to its caller.
type failures struct {
	// refused is the answer during an outage.
	refused error
	// lost stands for a call that was sent and had no answer.
	lost error
}

type outcome[T any] struct {
	value T
	err   error
}

// inject runs apply under the fault that hits the operation, if any. A slow call takes
// effect even if its caller has given up by then, as it would over a network.
func inject[T any](ctx context.Context, table *faults.Table, operation string, fail failures, apply func() (T, error)) (T, error) {
	var none T
	if ctx.Err() != nil {
		return none, fail.refused
	}
	fault, hit := table.Next(operation)
	if !hit {
		return apply()
	}
	switch fault.Kind {
	case faults.Outage:
		return none, fail.refused
	case faults.Die:
		return none, fail.lost
	case faults.AnswerLost:
		_, _ = apply()
		return none, fail.lost
	case faults.Silent:
		<-ctx.Done()
		return none, fail.lost
	default:
		return applyLater(ctx, fault.Delay, fail, apply)
	}
}

func applyLater[T any](ctx context.Context, delay time.Duration, fail failures, apply func() (T, error)) (T, error) {
	answers := make(chan outcome[T], 1)
	time.AfterFunc(delay, func() {
		value, err := apply()
		answers <- outcome[T]{value, err}
	})
	select {
	case answer := <-answers:
		return answer.value, answer.err
	case <-ctx.Done():
		var none T
		return none, fail.lost
	}
}
