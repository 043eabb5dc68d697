package server

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Calls that one crash cuts off are told the same life, and another crash is told another.
func TestCallsOfOneCrashAreToldTheSameLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lives
		tries := 0
		gone := func() bool { tries++; return true }
		started := time.Now()
		time.Sleep(time.Second)
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() { require.Equal(t, 1, l.endedSince(started, gone)) })
		}
		all.Wait()
		require.Equal(t, 1, tries)
		next := time.Now().Add(time.Millisecond)
		time.Sleep(time.Second)
		require.Equal(t, 2, l.endedSince(next, gone))
	})
}

// A broken connection to an upstream that listens is no crash, and doesn't hold up calls in turn.
func TestBrokenConnectionsOfALivingUpstreamAreNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l lives
		tries := 0
		gone := func() bool { tries++; return false }
		began := time.Now()
		var all sync.WaitGroup
		for range 50 {
			all.Go(func() { require.Zero(t, l.endedSince(began, gone)) })
		}
		all.Wait()
		require.Equal(t, 1, tries)
		require.Equal(t, confirmAfter, time.Since(began))
	})
}
