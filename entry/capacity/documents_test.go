package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/platform"
	"github.com/stretchr/testify/require"
)

// organisationCounts are the numbers of organisations in the measured documents.
var organisationCounts = []int{1_000, 10_000, 35_000}

// BenchmarkCapacityDocuments reports the memory of a snapshot and the time of a key lookup.
func BenchmarkCapacityDocuments(b *testing.B) {
	for _, n := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			before := heapBytes()
			snapshot := document.Compile(1, []*document.Service{assistantDocument(n)})
			heapGrowth := heapBytes() - before
			hash := document.HashKey(fmt.Sprint(n / 2))
			b.ReportAllocs()
			for b.Loop() {
				if snapshot.Principal(hash).OrganisationIn(serviceName) == nil {
					b.Fatal("not found")
				}
			}
			b.ReportMetric(heapGrowth, "heap-B")
			runtime.KeepAlive(snapshot)
		})
	}
}

// BenchmarkCapacitySnapshotSwap reports the time to build and swap a snapshot, after a change of one
// organisation and after a full load, and the latency of lookups meanwhile.
func BenchmarkCapacitySnapshotSwap(b *testing.B) {
	for _, n := range organisationCounts {
		service := assistantDocument(n)
		edited := service.Organisations[n/2]
		edited.Limits.Concurrency++
		update := document.Update{Service: serviceName, Put: []document.Organisation{edited}}
		first := document.Compile(1, []*document.Service{service})
		b.Run(fmt.Sprintf("change/organisations=%d", n), func(b *testing.B) {
			measureSwaps(b, first, func() *document.Snapshot {
				next, err := first.Apply(2, []document.Update{update})
				require.NoError(b, err)
				return next
			})
		})
		b.Run(fmt.Sprintf("load/organisations=%d", n), func(b *testing.B) {
			measureSwaps(b, first, func() *document.Snapshot { return document.Compile(2, []*document.Service{service}) })
		})
	}
}

// measureSwaps measures lookups of a key while snapshots are built and swapped.
func measureSwaps(b *testing.B, first *document.Snapshot, build func() *document.Snapshot) {
	var current atomic.Pointer[document.Snapshot]
	current.Store(first)
	stop, latencies := make(chan struct{}), make(chan []time.Duration)
	go sampleLookups(&current, stop, latencies)
	for b.Loop() {
		current.Store(build())
	}
	close(stop)
	all := <-latencies
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)*999/1000]), "lookup-p999-ns")
	b.ReportMetric(float64(all[len(all)-1]), "lookup-max-ns")
}

// sampleLookups measures lookups until stop is closed, and then sends their latencies.
func sampleLookups(current *atomic.Pointer[document.Snapshot], stop <-chan struct{}, latencies chan<- []time.Duration) {
	const maxSamples = 1 << 20
	hash := document.HashKey("500")
	all := make([]time.Duration, 0, maxSamples)
	for {
		select {
		case <-stop:
			latencies <- all
			return
		default:
		}
		start := time.Now()
		found := current.Load().Principal(hash)
		elapsed := time.Since(start)
		if found != nil && len(all) < maxSamples {
			all = append(all, elapsed)
		}
	}
}

// countingTable counts the operations on the platform's table.
type countingTable struct {
	table.Store
	gets, scans, rows, commits, writes atomic.Int64
}

func (c *countingTable) Get(ctx context.Context, key table.Key, consistency table.Consistency) (table.Row, error) {
	c.gets.Add(1)
	return c.Store.Get(ctx, key, consistency)
}

func (c *countingTable) Scan(ctx context.Context, name, prefix, after string, limit int, consistency table.Consistency) ([]table.Row, error) {
	rows, err := c.Store.Scan(ctx, name, prefix, after, limit, consistency)
	c.scans.Add(1)
	c.rows.Add(int64(len(rows)))
	return rows, err
}

func (c *countingTable) Commit(ctx context.Context, tx table.Tx) ([]uint64, error) {
	c.commits.Add(1)
	c.writes.Add(int64(len(tx.Writes)))
	return c.Store.Commit(ctx, tx)
}

// reset sets all counters to 0.
func (c *countingTable) reset() {
	for _, counter := range []*atomic.Int64{&c.gets, &c.scans, &c.rows, &c.commits, &c.writes} {
		counter.Store(0)
	}
}

func (c *countingTable) report(b *testing.B) {
	b.ReportMetric(float64(c.gets.Load()), "gets")
	b.ReportMetric(float64(c.scans.Load()), "scans")
	b.ReportMetric(float64(c.rows.Load()), "scanned-rows")
	b.ReportMetric(float64(c.commits.Load()), "commits")
	b.ReportMetric(float64(c.writes.Load()), "written-rows")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCapacityTable reports the table operations of a start, of the first change that an entry
// writes, of the next one, and of a poll without changes.
func BenchmarkCapacityTable(b *testing.B) {
	for _, n := range organisationCounts {
		p := platform.New(1)
		counting := &countingTable{Store: p.Table}
		newStore := func() *documents.Store {
			return documents.New(documents.Config{
				Table: counting, Objects: p.Objects, Token: documents.NewToken, Now: time.Now, CallTimeout: waitTimeout,
			})
		}
		service := assistantDocument(n)
		put := func(store *documents.Store) {
			copied := *service
			copied.Organisations = slices.Clone(service.Organisations)
			copied.Organisations[n/2].Limits.Concurrency++
			service = &copied
			ctx, cancel := context.WithTimeout(b.Context(), waitTimeout)
			defer cancel()
			_, conflict, err := store.Put(ctx, service, documents.IfAny)
			require.NoError(b, err)
			require.Nil(b, conflict)
		}
		put(newStore())
		var warm *documents.Store
		for _, c := range []struct {
			name string
			run  func()
		}{
			{"start", func() { _, err := newStore().Start(b.Context()); require.NoError(b, err) }},
			{"first-put", func() { warm = newStore(); put(warm) }},
			{"next-put", func() { put(warm) }},
			{"poll", func() { _, err := warm.Changes(b.Context(), document.Revision(3)); require.NoError(b, err) }},
		} {
			counting.reset()
			c.run()
			b.Run(fmt.Sprintf("%s/organisations=%d", c.name, n), counting.report)
		}
	}
}
