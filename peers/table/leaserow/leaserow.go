// Package leaserow keeps a lease in a row of the table service. All decisions are those
// of core/lease; this package carries them out and reads the clocks.
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

// jitterShare is the part of a wait that is added at random at most, as a divisor. It
// keeps processes that started together from reading the row in step.
const jitterShare = 10

// Runner takes part in one lease. Its methods are safe for concurrent use.
type Runner struct {
	store    table.Store
	key      table.Key
	settings lease.Settings
	started  time.Time

	mu      sync.Mutex
	machine *lease.Machine
	lastErr error
}

// New returns a runner for the process self, an ID that no other life of a process has.
// The store need not settle unknown outcomes: the lease reads its row back by itself.
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

// Held returns the grant if this process holds the lease now. Ask it before each act
// and put Grant.Fence on the order.
func (r *Runner) Held() (lease.Grant, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Held(r.reading())
}

// LastError returns the failure of the last read or write of the row; nil if it succeeded.
func (r *Runner) LastError() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastErr
}

// Run tries to get and keep the lease until ctx ends. Then it stops holding at once and
// spends at most one RenewEvery on giving the lease up, so that another process need
// not wait for its end.
func (r *Runner) Run(ctx context.Context) {
	r.loop(ctx)
	r.mu.Lock()
	r.machine.Resign()
	r.mu.Unlock()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.settings.RenewEvery)
	defer cancel()
	r.loop(last)
}

func (r *Runner) loop(ctx context.Context) {
	for ctx.Err() == nil {
		switch action := r.next(); action.Kind {
		case lease.Read:
			r.read(ctx)
		case lease.Write:
			r.write(ctx, action.Write)
		case lease.Wait:
			pause(ctx, action.Wait)
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

func (r *Runner) write(ctx context.Context, order lease.ConditionalWrite) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.RenewEvery)
	defer cancel()
	version, err := commit(ctx, r.store, r.key, order)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastErr = err
	r.machine.HandleWrite(r.reading(), outcomeOf(err), version)
}

func (r *Runner) reading() lease.Reading {
	now := time.Now()
	return lease.Reading{Mono: now.Sub(r.started), Wall: now.Round(0).Sub(r.started.Round(0))}
}

// Placement returns the key of the lease on placing a service's models. The entries that
// compete for it and the agents that check its fencing number must agree on it.
func Placement(service string) table.Key {
	return table.Key{Table: "leases", Row: "placement/" + service}
}

// ReadRecord returns the lease's row; the zero Record if there is none.
func ReadRecord(ctx context.Context, store table.Store, key table.Key) (lease.Record, error) {
	row, err := readRow(ctx, store, key)
	return row.Record, err
}

// ReadFence returns the fencing number of the lease's row, for lease.Guard; 0 if there
// is no row.
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

func commit(ctx context.Context, store table.Store, key table.Key, order lease.ConditionalWrite) (uint64, error) {
	value, err := json.Marshal(order.Record)
	if err != nil {
		return 0, errors.WithMessage(table.ErrInvalid, err.Error())
	}
	versions, err := store.Commit(ctx, table.Tx{
		Token:      order.Token,
		Conditions: []table.Condition{{Key: key, Version: order.IfVersion}},
		Writes:     []table.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

func outcomeOf(err error) lease.Outcome {
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

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait + rand.N(wait/jitterShare+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
