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

// delayedStore delays the first write of an idempotency row until release is closed, and sends the
// agent that the row names to boundAgent.
type delayedStore struct {
	table.Store
	boundAgent chan string
	release    chan struct{}
}

func (s *delayedStore) Commit(ctx context.Context, tx table.Tx) ([]uint64, error) {
	if tx.Writes[0].Key.Table != idempotency.Table {
		return s.Store.Commit(ctx, tx)
	}
	row, err := idempotency.DecodeRow(tx.Writes[0].Value)
	if err != nil {
		return nil, err
	}
	select {
	case s.boundAgent <- row.Binding.Agent:
		<-s.release
	default:
	}
	return s.Store.Commit(ctx, tx)
}

// stopObservation is how long the test checks that the agent doesn't stop. An agent that ignores the
// bound call stops within a few milliseconds.
const stopObservation = 300 * time.Millisecond

// An entry binds a key to an agent. While the entry writes the row, the agent drains, with no calls of
// its own. If the agent stopped without asking the entries for calls bound to it, the offer would reach its new
// incarnation, which can't tell what the previous one ran, and the call would fail with
// first_run_lost and unknown execution although it never ran.
func TestAgentStopsOnlyOnceNoEntryHasACallBoundToIt(t *testing.T) {
	delayed := &delayedStore{boundAgent: make(chan string, 1), release: make(chan struct{})}
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 2, 1
		c.Plain = plain.Config{ServiceTime: time.Millisecond}
		c.WrapTable = func(_ int, store table.Store) table.Store {
			delayed.Store = store
			return delayed
		}
	})
	d.waitForEntries(t)
	status := make(chan int, 1)
	go func() {
		got, _, _ := d.post(0, "a-key", "a-tag", `{"part":"pump"}`)
		status <- got
	}()
	agent := <-delayed.boundAgent
	i := slices.IndexFunc(d.agentConfigs, func(a server.Config) bool { return a.VM == agent })
	stopped := make(chan error, 1)
	go func() {
		d.DrainAgent(i, drainLimit)
		stopped <- d.RestartAgent(i)
	}()
	require.Never(t, func() bool { return len(stopped) > 0 }, stopObservation, stopObservation/10,
		"the agent stopped while an entry had a call bound to it")
	close(delayed.release)
	require.Equal(t, http.StatusCreated, <-status)
	require.NoError(t, <-stopped)
	require.Equal(t, 1, d.runCount("a-tag"))
}
