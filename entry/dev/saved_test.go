package dev

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/table"
	"github.com/stretchr/testify/require"
)

// savedRevision returns the revision of the state saved in the object store, 0 if there is none. It
// starts a store whose table is down, so that the state can only come from the object store.
func (d *Deployment) savedRevision(ctx context.Context) document.Revision {
	down := &atomic.Bool{}
	down.Store(true)
	started, err := d.documentStore(&gatedTable{Store: d.Platform.Table, down: down}).Start(ctx)
	if err != nil {
		return 0
	}
	return started.State.Revision()
}

// Documents change many times, the table goes down, and an entry restarts. Unless the state is saved
// to the object store, a start reads every row of the documents, and fails if the table is down and no
// peer provides the state in time.
func TestStartFromTheSavedStateWhileTheTableIsDown(t *testing.T) {
	var down atomic.Bool
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 1, 2
		c.WrapTable = func(_ int, store table.Store) table.Store { return &gatedTable{Store: store, down: &down} }
	})
	d.waitForEntries(t)
	ctx := boundedContext(t)
	var revision document.Revision
	for i := 0; revision < documents.SaveEvery; i++ {
		var err error
		revision, _, err = d.Entries[0].Config.Put(ctx, d.documentWithOrganisation(fmt.Sprint("organisation-", i)), "*")
		require.NoError(t, err)
	}
	for d.savedRevision(ctx) < documents.SaveEvery {
		require.NoError(t, ctx.Err(), "the state was not saved")
		time.Sleep(readyPollInterval)
	}
	down.Store(true)
	d.KillEntry(1)
	require.NoError(t, d.RestartEntry(1))
	for !d.Entries[1].Front.Ready() {
		require.NoError(t, ctx.Err(), "the entry did not become ready")
		time.Sleep(readyPollInterval)
	}
	require.Equal(t, revision, d.Entries[1].Config.State().Revision())
}
