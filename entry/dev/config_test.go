package dev

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/table"
	"github.com/stretchr/testify/require"
)

// edited returns the plain service's document with one more organisation.
func (d *Deployment) edited(name string) *document.Service {
	for _, service := range d.documents() {
		if service.Name == PlainService {
			service.Organisations = append(service.Organisations, document.Organisation{
				Name: name, KeyHashes: []string{document.HashKey(name).String()},
			})
			return service
		}
	}
	return nil
}

// settle bounds every wait of these tests; none of them measures time.
const settle = 20 * time.Second

func bounded(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	t.Cleanup(cancel)
	return ctx
}

func TestDocumentIsInForceAtEveryEntry(t *testing.T) {
	d := start(t, func(c *Config) { c.Engines, c.Plains, c.Entries = 0, 1, 4 })
	d.awaitEntries(t)
	ctx := bounded(t)
	revision, conflict, err := d.Entries[2].Config.Put(ctx, d.edited("new"), "*")
	require.NoError(t, err)
	require.Nil(t, conflict)
	require.Empty(t, d.Entries[2].Config.WaitApplied(ctx, revision))
	for _, e := range d.Entries {
		require.GreaterOrEqual(t, e.Config.State().Revision(), revision)
		require.NotNil(t, e.Front.Snapshot().Principal(document.HashKey("new")))
	}
}

// Symptom: a change is accepted at one entry, and another serves the old document for as
// long as the table is down.
// Sequence: the table is down for all but the writer; its push reaches the others.
// Cause: entries that learn of changes from the table alone.
func TestChangeSpreadsWhileTheTableIsDown(t *testing.T) {
	var down atomic.Bool
	d := start(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 1, 4
		c.Table = func(entry int, store table.Store) table.Store {
			if entry == 0 {
				return store
			}
			return &gatedTable{Store: store, down: &down}
		}
	})
	d.awaitEntries(t)
	down.Store(true)
	ctx := bounded(t)
	revision, _, err := d.Entries[0].Config.Put(ctx, d.edited("during"), "*")
	require.NoError(t, err)
	require.Empty(t, d.Entries[0].Config.WaitApplied(ctx, revision))
	for _, e := range d.Entries {
		require.NotNil(t, e.Front.Snapshot().Principal(document.HashKey("during")))
	}
}

// gatedTable is a table that can be cut off.
type gatedTable struct {
	table.Store
	down *atomic.Bool
}

func (g *gatedTable) Get(ctx context.Context, key table.Key, c table.Consistency) (table.Row, error) {
	if g.down.Load() {
		return table.Row{}, table.ErrUnavailable
	}
	return g.Store.Get(ctx, key, c)
}

func (g *gatedTable) Scan(ctx context.Context, name, prefix, after string, limit int, c table.Consistency) ([]table.Row, error) {
	if g.down.Load() {
		return nil, table.ErrUnavailable
	}
	return g.Store.Scan(ctx, name, prefix, after, limit, c)
}

// awaitEntries waits until each entry knows the others as members of the spread.
func (d *Deployment) awaitEntries(t testing.TB) {
	t.Helper()
	deadline := time.Now().Add(settle)
	for _, e := range d.Entries {
		for e.Config.Members() < len(d.Entries) || !e.Front.Ready() {
			require.True(t, time.Now().Before(deadline), "entries do not know each other")
			time.Sleep(readyPoll)
		}
	}
}

// BenchmarkInForce measures the time from a put to its being in force at every entry,
// over loopback in one process.
func BenchmarkInForce(b *testing.B) {
	for _, entries := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			config := DefaultConfig()
			config.Listen, config.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
			config.Engines, config.Plains, config.Entries = 0, 0, entries
			d, err := Start(config)
			require.NoError(b, err)
			b.Cleanup(d.Stop)
			d.awaitEntries(b)
			n := 0
			for b.Loop() {
				n++
				revision, _, err := d.Entries[n%entries].Config.Put(bounded(b), d.edited(fmt.Sprint("new-", n)), "*")
				require.NoError(b, err)
				require.Empty(b, d.Entries[n%entries].Config.WaitApplied(bounded(b), revision))
			}
		})
	}
}
