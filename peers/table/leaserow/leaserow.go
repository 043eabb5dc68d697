// Package leaserow stores a lease in a row of the table service. Package core/lease makes all
// decisions; this package executes them and reads the clocks.
package leaserow

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"acaciacleat.example/core/lease"
	"acaciacleat.example/peers/table"
)

// jitterDivisor sets the maximum jitter of a wait: the wait divided by jitterDivisor. The jitter
// keeps processes that started together from reading the row in step.
const jitterDivisor = 10

// Runner competes for one lease and renews it. Its methods are safe for concurrent use.
type Runner struct {
	store    table.Store
	key      table.Key
	settings lease.Settings
	started  time.Time

	mu      sync.Mutex
	machine *lease.Machine
	lastErr error
}

// New returns a runner for the process self, an ID that is unique to this incarnation of the process.
// The store need not resolve unknown outcomes, because the lease reads its row back itself.
func New(store table.Store, key table.Key, self string, settings lease.Settings) (*Runner, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Runner{
		store:    store,
		key:      key,
		settings: settings,
		started:  time.Now(),
		machine:  lease.New(self, settings),
	}, nil
}

// Held returns the grant if this process holds the lease now. Call it before each action that the
// lease protects, and send Grant.Fence with the order.
func (r *Runner) Held() (lease.Grant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Held(r.reading())
}

// LastError returns the error of the last read or write of the row; nil if it succeeded.
func (r *Runner) LastError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastErr
}

// Run acquires and renews the lease until ctx ends. Then it stops holding the lease immediately and
// tries for at most RenewEvery to release it, so that another process need not wait for it to
// expire.
func (r *Runner) Run(ctx context.Context) {
	r.runUntilDone(ctx)
	r.mu.Lock()
	r.machine.Resign()
	r.mu.Unlock()
	resignCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.settings.RenewEvery)
	defer cancel()
	r.runUntilDone(resignCtx)
}

func (r *Runner) runUntilDone(ctx context.Context) {
	for ctx.Err() == nil {
		switch action := r.next(); action.Kind {
		case lease.Read:
			r.read(ctx)
		case lease.Write:
			r.write(ctx, action.Write)
		case lease.Wait:
			sleepWithJitter(ctx, action.Wait)
		default:
			return
		}
	}
}

func (r *Runner) next() lease.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Next(r.reading())
}

func (r *Runner) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.RenewEvery)
	defer cancel()
	row, err := readRow(ctx, r.store, r.key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErr = err
	if err != nil {
		r.machine.HandleReadFailure(r.reading())
		return
	}
	r.machine.HandleRow(r.reading(), row)
}

func (r *Runner) write(ctx context.Context, write lease.ConditionalWrite) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.RenewEvery)
	defer cancel()
	version, err := commit(ctx, r.store, r.key, write)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErr = err
	r.machine.HandleWrite(r.reading(), writeOutcome(err), version)
}

// reading reads both clocks. Round(0) strips the monotonic reading, so that the difference is that of
// the wall clock.
func (r *Runner) reading() lease.Reading {
	now := time.Now()
	return lease.Reading{Mono: now.Sub(r.started), Wall: now.Round(0).Sub(r.started.Round(0))}
}

// Placement returns the key of the lease for the placement of a service's models. The entries that
// compete for the lease and the agents that check its fencing number must use the same key.
func Placement(service string) table.Key {
	return table.Key{Table: "leases", Row: "placement/" + service}
}

// ReadRecord returns the record in the lease's row, or the zero Record if there is no row.
func ReadRecord(ctx context.Context, store table.Store, key table.Key) (lease.Record, error) {
	row, err := readRow(ctx, store, key)
	return row.Record, err
}

// ReadFence returns the fencing number in the lease's row, for lease.Guard; 0 if there is no
// row.
func ReadFence(ctx context.Context, store table.Store, key table.Key) (uint64, error) {
	row, err := readRow(ctx, store, key)
	return row.Record.Fence, err
}

func readRow(ctx context.Context, store table.Store, key table.Key) (lease.Row, error) {
	row, err := store.Get(ctx, key, table.Latest)
	if errors.Is(err, table.ErrNotFound) {
		return lease.Row{}, nil
	}
	if err != nil {
		return lease.Row{}, err
	}
	var record lease.Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return lease.Row{}, errors.Wrapf(err, "lease row %s/%s", key.Table, key.Row)
	}
	return lease.Row{Version: row.Version, Token: row.Token, Record: record}, nil
}

func commit(ctx context.Context, store table.Store, key table.Key, write lease.ConditionalWrite) (uint64, error) {
	value, err := json.Marshal(write.Record)
	if err != nil {
		return 0, errors.WithMessage(table.ErrInvalid, err.Error())
	}
	versions, err := store.Commit(ctx, table.Tx{
		Token:      write.Token,
		Conditions: []table.Condition{{Key: key, Version: write.IfVersion}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

func writeOutcome(err error) lease.Outcome {
	switch {
	case err == nil:
		return lease.Applied
	case errors.Is(err, table.ErrConflict):
		return lease.Conflict
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrInvalid):
		return lease.NotApplied
	default:
		return lease.Unknown
	}
}

func sleepWithJitter(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait + rand.N(wait/jitterDivisor+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
