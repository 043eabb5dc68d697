package dev

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"acaciacleat.example/agent/server"
	"acaciacleat.example/core/idempotency"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/plain"
	"github.com/stretchr/testify/require"
)

// heldStore keeps the first write of a key's row back until release is closed, and tells
// which agent the row names.
type heldStore struct {
	table.Store
	bound   chan string
	release chan struct{}
}

func (s *heldStore) Commit(ctx context.Context, tx table.Tx) ([]uint64, error) {
	if tx.Writes[0].Key.Table != idempotency.Table {
		return s.Store.Commit(ctx, tx)
	}
	row, err := idempotency.DecodeRow(tx.Writes[0].Value)
	if err != nil {
		return nil, err
	}
	select {
	case s.bound <- row.Binding.Agent:
		<-s.release
	default:
	}
	return s.Store.Commit(ctx, tx)
}

// stopBoundLook is how long a stop is watched that must not end. One that takes no heed of
// the bound call ends in a few milliseconds.
const stopBoundLook = 300 * time.Millisecond

// Symptom: a keyed call fails with first_run_lost, of unknown execution, during a planned
// restart, though it never ran.
// Sequence: an entry binds the key to an agent; while the row is being written the agent
// stops, with nothing in hand, and a new incarnation takes its place; the offer comes to
// that one, which can't say what its predecessor ran.
// Cause: an agent that stopped as soon as it had no call itself, without asking the
// entries whether they had chosen it for one.
func TestAgentStopsOnlyOnceNoEntryHasACallBoundToIt(t *testing.T) {
	held := &heldStore{bound: make(chan string, 1), release: make(chan struct{})}
	d := start(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 2, 1
		c.Plain = plain.Config{ServiceTime: time.Millisecond}
		c.Table = func(_ int, store table.Store) table.Store {
			held.Store = store
			return held
		}
	})
	d.awaitEntries(t)
	status := make(chan int, 1)
	go func() {
		got, _, _ := d.post(0, "a-key", "a-tag", `{"part":"pump"}`)
		status <- got
	}()
	bound := <-held.bound
	i := slices.IndexFunc(d.agents, func(a server.Config) bool { return a.VM == bound })
	stopped := make(chan error, 1)
	go func() {
		d.DrainAgent(i, drainLimit)
		stopped <- d.StartAgentAgain(i)
	}()
	require.Never(t, func() bool { return len(stopped) > 0 }, stopBoundLook, stopBoundLook/10,
		"the agent stopped while an entry had a call bound to it")
	close(held.release)
	require.Equal(t, http.StatusCreated, <-status)
	require.NoError(t, <-stopped)
	require.Equal(t, 1, d.runs("a-tag"))
}
