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

// outageBursts is the number of bursts of requests during the outage. It is large enough that each
// entry's polls of the platform fail several times.
const outageBursts = 12

// The table, the object store, the VM list and the weight store fail under load, for longer than any
// poll interval, and recover. Requests would fail if an entry called the platform on their path, or
// treated an unavailable VM list as an empty one. Only keyed calls may fail, because they need the
// table, and only without having run. The log shows the counts:
//
//	go test -v -run TestServingContinuesDuringPlatformOutage ./entry/dev
func TestServingContinuesDuringPlatformOutage(t *testing.T) {
	w := startTraffic(t, nil)
	w.waitForRequests(50)
	w.d.Platform.Faults.Set(faults.Fault{Operation: "*", Kind: faults.Outage})
	for range outageBursts {
		w.waitForRequests(50)
	}
	w.d.Platform.Faults.Set()
	w.waitForRequests(50)
	for _, failure := range w.stopAndCheck() {
		require.True(t, strings.HasPrefix(failure, "job "), "a chat failed: %s", failure)
		require.Contains(t, failure, `"execution":"not-run"`, "a keyed call may fail only if it did not run")
	}
	require.NotEmpty(t, w.notRun, "no request was affected by the outage")
}

// Two operators read the same document and concurrently put different changes at two entries, thirty
// times. Without a condition on the version that was read, one change would be lost.
func TestConcurrentDocumentUpdatesAtTwoEntries(t *testing.T) {
	d := startDeployment(t, func(c *Config) { c.Engines, c.Plains, c.Entries = 0, 1, 2 })
	d.waitForEntries(t)
	for round := range 30 {
		ctx := boundedContext(t)
		tag := d.Entries[0].Config.State().ETag(PlainService)
		var wait sync.WaitGroup
		conflicts := make([]*documents.Conflict, 2)
		errs := make([]error, 2)
		for i, e := range d.Entries {
			wait.Go(func() {
				name := string(rune('a'+i)) + strings.Repeat("x", round+1)
				_, conflicts[i], errs[i] = e.Config.Put(ctx, d.documentWithOrganisation(name), tag)
			})
		}
		wait.Wait()
		require.NoError(t, errs[0])
		require.NoError(t, errs[1])
		require.NotEqual(t, conflicts[0] == nil, conflicts[1] == nil, "exactly one put must succeed and the other get a conflict")
		for _, conflict := range conflicts {
			if conflict != nil {
				require.NotEmpty(t, conflict.Diff)
			}
		}
		deadline := time.Now().Add(waitTimeout)
		for d.Entries[0].Config.State().Revision() != d.Entries[1].Config.State().Revision() {
			require.True(t, time.Now().Before(deadline), "the entries do not agree")
			time.Sleep(readyPollInterval)
		}
	}
}
