// Package sweep deletes the rows of keyed calls whose time is over. Which entry sweeps a
// service, and which rows may go, is decided by core/idempotency; this is its shell.
//
// What goes wrong without it: each keyed call leaves a row for good, the table grows
// without bound, and a key stays taken long after the day for which it is promised.
package sweep

import (
	"context"
	"time"

	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// The bounds of a sweep. Ten pages a second are 5,000 rows: an interval is enough for the
// rows that 50 keyed calls a second leave in a day, at a two-hundredth of the 2,000 reads
// a second that the table serves. Where there are more rows a sweep takes longer than its
// interval and rows go later, which does no harm.
const (
	pageRows  = 500
	pagePause = 100 * time.Millisecond
	// batchRows bounds the rows of one transaction.
	batchRows = 100
	// storeTimeout bounds one operation on the table service.
	storeTimeout = 5 * time.Second
)

// Config configures a Sweeper.
type Config struct {
	// Self is this entry's VM.
	Self  string
	Store table.Store
	// Services returns the names of all services, Entries the VMs of the live entries,
	// this one included.
	Services func() []string
	Entries  func() []string
	// Token makes client tokens, each of them once.
	Token func() string
	Log   zerolog.Logger
}

// Sweeper deletes old rows for as long as Run runs.
type Sweeper struct{ config Config }

// New returns a Sweeper.
func New(config Config) *Sweeper { return &Sweeper{config: config} }

// Run sweeps once in each idempotency.SweepInterval until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for pause(ctx, idempotency.SweepInterval) {
		s.sweepAll(ctx)
	}
}

func (s *Sweeper) sweepAll(ctx context.Context) {
	entries := s.config.Entries()
	for _, service := range s.config.Services() {
		if idempotency.Sweeper(service, entries) != s.config.Self {
			continue
		}
		deleted, err := s.sweep(ctx, service)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.config.Log.Warn().Err(err).Str("service", service).Msg("rows of keyed calls could not be swept; the next sweep goes on")
			continue
		}
		s.config.Log.Info().Str("service", service).Int("deleted", deleted).Msg("rows of keyed calls were swept")
	}
}

// sweep reads a service's rows page by page and returns how many it deleted. A page may
// come from a replica that lags: a row is deleted on condition of its version only.
func (s *Sweeper) sweep(ctx context.Context, service string) (deleted int, err error) {
	after := ""
	for {
		rows, err := s.scan(ctx, service, after)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		after = rows[len(rows)-1].Key.Row
		n, err := s.deleteAll(ctx, sweepable(rows, time.Now()))
		deleted += n
		if err != nil {
			return deleted, err
		}
		if !pause(ctx, pagePause) {
			return deleted, ctx.Err()
		}
	}
}

func (s *Sweeper) scan(ctx context.Context, service, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.config.Store.Scan(ctx, idempotency.Table, service+"/", after, pageRows, table.Stale)
}

// sweepable returns the rows that may be deleted. A row that can't be read stays: it may
// be of a newer version of the system, whose entries will sweep it.
func sweepable(rows []table.Row, now time.Time) []table.Row {
	var old []table.Row
	for _, stored := range rows {
		row, err := idempotency.DecodeRow(stored.Value)
		if err == nil && idempotency.Sweepable(&row, now) {
			old = append(old, stored)
		}
	}
	return old
}

// deleteAll deletes rows in batches and returns how many went.
func (s *Sweeper) deleteAll(ctx context.Context, rows []table.Row) (deleted int, err error) {
	for len(rows) > 0 {
		batch := rows[:min(batchRows, len(rows))]
		rows = rows[len(batch):]
		n, err := s.deleteBatch(ctx, batch)
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

// deleteBatch deletes rows in one transaction; when one of them has changed, which fails
// them all, each in its own.
func (s *Sweeper) deleteBatch(ctx context.Context, rows []table.Row) (deleted int, err error) {
	err = s.delete(ctx, rows)
	switch {
	case err == nil:
		return len(rows), nil
	case !errors.Is(err, table.ErrConflict):
		return 0, err
	}
	for i := range rows {
		err := s.delete(ctx, rows[i:i+1])
		if errors.Is(err, table.ErrConflict) {
			continue
		}
		if err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

func (s *Sweeper) delete(ctx context.Context, rows []table.Row) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	tx := table.Tx{Token: s.config.Token()}
	for _, row := range rows {
		tx.Conditions = append(tx.Conditions, table.Condition{Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, table.Write{Key: row.Key, Delete: true})
	}
	_, err := s.config.Store.Commit(ctx, tx)
	return err
}

// pause waits; false when ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
