// Package sweep deletes expired rows of keyed calls (calls with an idempotency key) from the table. It
// performs the I/O; core/idempotency decides which entry sweeps a service and which rows may be
// deleted.
//
// Without sweeps, the row of each keyed call would stay forever: the table would grow without bound,
// and a key would stay in use long after the 24 hours for which it is guaranteed.
package sweep

import (
	"context"
	"time"

	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// The bounds of a sweep. At ten pages (5,000 rows) per second, one sweep interval is enough for the
// rows that 50 keyed calls per second leave in a day, and uses 1/200 of the 2,000 reads per second
// that the table serves. With more rows, a sweep takes longer than its interval and rows are deleted
// later, which is harmless.
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
	// Self is the VM of this entry.
	Self  string
	Store table.Store
	// Services returns the names of all services. Entries returns the VMs of the live entries,
	// including this one.
	Services func() []string
	Entries  func() []string
	// Token returns a new unique client token for a transaction.
	Token func() string
	Log   zerolog.Logger
}

// Sweeper deletes expired rows for as long as Run runs.
type Sweeper struct{ config Config }

// New returns a Sweeper.
func New(config Config) *Sweeper { return &Sweeper{config: config} }

// Run sweeps until ctx ends, with a pause of idempotency.SweepInterval before each sweep.
func (s *Sweeper) Run(ctx context.Context) {
	for sleep(ctx, idempotency.SweepInterval) {
		s.sweepAll(ctx)
	}
}

// sweepAll sweeps the services that are assigned to this entry.
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

// sweep reads the rows of a service page by page and returns how many it deleted. A page may come from
// a stale replica, so each delete is conditional on the row's version. After an error, the next sweep
// begins again at the first row.
func (s *Sweeper) sweep(ctx context.Context, service string) (deleted int, err error) {
	after := ""
	for {
		rows, err := s.scan(ctx, service, after)
		if err != nil || len(rows) == 0 {
			return deleted, err
		}
		after = rows[len(rows)-1].Key.Row
		n, err := s.deleteAll(ctx, sweepableRows(rows, time.Now()))
		deleted += n
		if err != nil {
			return deleted, err
		}
		if !sleep(ctx, pagePause) {
			return deleted, ctx.Err()
		}
	}
}

func (s *Sweeper) scan(ctx context.Context, service, after string) ([]table.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return s.config.Store.Scan(ctx, idempotency.Table, service+"/", after, pageRows, table.Stale)
}

// sweepableRows returns the rows that may be deleted. It skips rows that can't be decoded: a newer
// version of the system may have written them, and its entries will sweep them.
func sweepableRows(rows []table.Row, now time.Time) []table.Row {
	var expired []table.Row
	for _, stored := range rows {
		row, err := idempotency.DecodeRow(stored.Value)
		if err == nil && idempotency.Sweepable(&row, now) {
			expired = append(expired, stored)
		}
	}
	return expired
}

// deleteAll deletes rows in batches and returns how many were deleted.
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

// deleteBatch deletes rows in one transaction. If a row has changed, the whole transaction fails, and
// deleteBatch deletes each row in its own transaction, skipping changed rows.
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

// delete deletes rows in one transaction, on condition that their versions are unchanged.
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

// sleep waits for d; false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
