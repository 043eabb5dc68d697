package dev

import (
	"strings"
	"sync"
	"testing"
	"time"

	"acaciacleat.example/peers/documents"
	"acaciacleat.example/standin/faults"
	"github.com/stretchr/testify/require"
)

// outageRounds is the number of bursts of requests during the outage, enough for every
// entry to have polled the platform in vain several times.
const outageRounds = 12

// TestServingGoesOnThroughAPlatformOutage is also an experiment: its log gives the counts.
//
//	go test -v -run TestServingGoesOn ./entry/dev
//
// Symptom: callers' questions fail while the platform's services are down.
// Sequence: table, object store, VM list and weight store all go down under load, for
// longer than any reading interval, and come back.
// Cause: an entry that asks the platform on a request's path, or that takes silence of
// the list for an empty fleet.
func TestServingGoesOnThroughAPlatformOutage(t *testing.T) {
	w := startTraffic(t, nil)
	w.await(50)
	w.d.Platform.Faults.Set(faults.Fault{Operation: "*", Kind: faults.Outage})
	for range outageRounds {
		w.await(50)
	}
	w.d.Platform.Faults.Set()
	w.await(50)
	for _, fault := range w.end() {
		require.True(t, strings.HasPrefix(fault, "job "), "a chat failed: %s", fault)
		require.Contains(t, fault, `"execution":"not-run"`, "a keyed call may fail only when it did not run")
	}
	require.NotEmpty(t, w.notRun, "the outage was not met")
}

// Symptom: an operator's change is lost, or two revisions fight.
// Sequence: two operators read the same document and put different changes at two
// entries at once, thirty times.
// Cause: a write without a condition on what was read.
func TestTwoOperatorsAtTwoEntries(t *testing.T) {
	d := start(t, func(c *Config) { c.Engines, c.Plains, c.Entries = 0, 1, 2 })
	d.awaitEntries(t)
	for round := range 30 {
		ctx := bounded(t)
		tag := d.Entries[0].Config.State().ETag(PlainService)
		var wait sync.WaitGroup
		conflicts := make([]*documents.Conflict, 2)
		errs := make([]error, 2)
		for i, e := range d.Entries {
			wait.Go(func() {
				name := string(rune('a'+i)) + strings.Repeat("x", round+1)
				_, conflicts[i], errs[i] = e.Config.Put(ctx, d.edited(name), tag)
			})
		}
		wait.Wait()
		require.NoError(t, errs[0])
		require.NoError(t, errs[1])
		require.NotEqual(t, conflicts[0] == nil, conflicts[1] == nil, "one wins, the other learns of it")
		for _, conflict := range conflicts {
			if conflict != nil {
				require.NotEmpty(t, conflict.Diff)
			}
		}
		deadline := time.Now().Add(settle)
		for d.Entries[0].Config.State().Revision() != d.Entries[1].Config.State().Revision() {
			require.True(t, time.Now().Before(deadline), "the entries do not agree")
			time.Sleep(readyPoll)
		}
	}
}
