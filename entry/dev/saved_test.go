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

// savedRevision returns the revision of the state in the object store, 0 for none.
func (d *Deployment) savedRevision(ctx context.Context) document.Revision {
	down := &atomic.Bool{}
	down.Store(true)
	started, err := d.documentStore(&gatedTable{Store: d.Platform.Table, down: down}).Start(ctx)
	if err != nil {
		return 0
	}
	return started.State.Revision()
}

// Symptom: each start reads every row of the documents, and with the table down an entry
// that finds no peer's state in time finds none at all.
// Sequence: documents change many times; the table goes down; an entry starts.
// Cause: nobody puts the state into the object store.
func TestStartFromTheSavedStateWhileTheTableIsDown(t *testing.T) {
	var down atomic.Bool
	d := start(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 1, 2
		c.Table = func(_ int, store table.Store) table.Store { return &gatedTable{Store: store, down: &down} }
	})
	d.awaitEntries(t)
	ctx := bounded(t)
	var revision document.Revision
	for i := 0; revision < documents.SaveEvery; i++ {
		var err error
		revision, _, err = d.Entries[0].Config.Put(ctx, d.edited(fmt.Sprint("organisation-", i)), "*")
		require.NoError(t, err)
	}
	for d.savedRevision(ctx) < documents.SaveEvery {
		require.NoError(t, ctx.Err(), "the state was not saved")
		time.Sleep(readyPoll)
	}
	down.Store(true)
	d.KillEntry(1)
	require.NoError(t, d.StartEntryAgain(1))
	for !d.Entries[1].Front.Ready() {
		require.NoError(t, ctx.Err(), "the entry did not become ready")
		time.Sleep(readyPoll)
	}
	require.Equal(t, revision, d.Entries[1].Config.State().Revision())
}
