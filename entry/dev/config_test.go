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

// documentWithOrganisation returns the plain service's document with an additional organisation,
// whose key is its name.
func (d *Deployment) documentWithOrganisation(name string) *document.Service {
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

// waitTimeout bounds every wait of these tests. Its value does not affect results.
const waitTimeout = 20 * time.Second

func boundedContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestDocumentTakesEffectAtEveryEntry(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains, c.Entries = 0, 1, 4 })
	d.waitForEntries(t)
	ctx := boundedContext(t)
	revision, conflict, err := d.Entries[2].Config.Put(ctx, d.documentWithOrganisation("new"), "*")
	require.NoError(t, err)
	require.Nil(t, conflict)
	require.Empty(t, d.Entries[2].Config.WaitApplied(ctx, revision))
	for _, e := range d.Entries {
		require.GreaterOrEqual(t, e.Config.State().Revision(), revision)
		require.NotNil(t, e.Front.Snapshot().Principal(document.HashKey("new")))
	}
}

// The table is down for all entries but the one that writes a change, so the change reaches the
// others by push only. Entries that rely on polling the table would serve the old document until the
// table is back.
func TestChangePropagatesWhileTheTableIsDown(t *testing.T) {
	var down atomic.Bool
	d := startDeployment(t, func(c *Config) {
		c.Engines, c.Plains, c.Entries = 0, 1, 4
		c.WrapTable = func(entry int, store table.Store) table.Store {
			if entry == 0 {
				return store
			}
			return &gatedTable{Store: store, down: &down}
		}
	})
	d.waitForEntries(t)
	down.Store(true)
	ctx := boundedContext(t)
	revision, _, err := d.Entries[0].Config.Put(ctx, d.documentWithOrganisation("during"), "*")
	require.NoError(t, err)
	require.Empty(t, d.Entries[0].Config.WaitApplied(ctx, revision))
	for _, e := range d.Entries {
		require.NotNil(t, e.Front.Snapshot().Principal(document.HashKey("during")))
	}
}

// gatedTable is a table whose reads fail while down is set.
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

// waitForEntries waits until each entry is ready and knows the others as members of the spread.
func (d *Deployment) waitForEntries(t testing.TB) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for _, e := range d.Entries {
		for e.Config.Members() < len(d.Entries) || !e.Front.Ready() {
			require.True(t, time.Now().Before(deadline), "entries do not know each other")
			time.Sleep(readyPollInterval)
		}
	}
}

// BenchmarkDocumentPropagation measures the time from a put until it is in force at every entry, over
// loopback in one process.
func BenchmarkDocumentPropagation(b *testing.B) {
	for _, entries := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			config := DefaultConfig()
			config.Listen, config.OperatorListen = "127.0.0.1:0", "127.0.0.1:0"
			config.Engines, config.Plains, config.Entries = 0, 0, entries
			d, err := Start(config)
			require.NoError(b, err)
			b.Cleanup(d.Stop)
			d.waitForEntries(b)
			n := 0
			for b.Loop() {
				n++
				revision, _, err := d.Entries[n%entries].Config.Put(boundedContext(b), d.documentWithOrganisation(fmt.Sprint("new-", n)), "*")
				require.NoError(b, err)
				require.Empty(b, d.Entries[n%entries].Config.WaitApplied(boundedContext(b), revision))
			}
		})
	}
}
