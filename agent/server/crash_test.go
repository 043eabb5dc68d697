package server

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Calls that one crash breaks get the same crash number, and another crash gets another
// number. Entries would otherwise take one crash for several, or two for one.
func TestCallsFailedByOneCrashShareItsNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var detector crashDetector
		probes := 0
		notListening := func() bool { probes++; return true }
		started := time.Now()
		time.Sleep(time.Second)
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() { require.Equal(t, 1, detector.crashSince(started, notListening)) })
		}
		all.Wait()
		require.Equal(t, 1, probes)
		next := time.Now().Add(time.Millisecond)
		time.Sleep(time.Second)
		require.Equal(t, 2, detector.crashSince(next, notListening))
	})
}

// A broken connection to an upstream that still listens is not a crash. Concurrent broken
// calls share one probe, so that their probe delays do not add up.
func TestBrokenConnectionsToListeningUpstreamAreNotCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var detector crashDetector
		probes := 0
		notListening := func() bool { probes++; return false }
		start := time.Now()
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() { require.Zero(t, detector.crashSince(start, notListening)) })
		}
		all.Wait()
		require.Equal(t, 1, probes)
		require.Equal(t, probeDelay, time.Since(start))
	})
}
