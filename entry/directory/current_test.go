package directory

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/follow"
	"acaciacleat.example/core/standstill"
	"github.com/stretchr/testify/require"
)

// standStill lets time pass in which nothing observes that the process runs.
func standStill(k *Keeper) {
	k.AwaitCurrent(context.Background())
	time.Sleep(standstill.Limit + time.Millisecond)
	synctest.Wait()
}

// awaitCurrent calls AwaitCurrent and returns how long it took.
func awaitCurrent(k *Keeper) time.Duration {
	began := time.Now()
	k.AwaitCurrent(context.Background())
	return time.Since(began)
}

// Guards against requests that are handled by the routes of before a standstill, whatever the entry was doing.
func TestRequestsAfterAStandstillWaitForAReadThatBeganAfterIt(t *testing.T) {
	for _, role := range []follow.Role{follow.Standalone, follow.Follower, follow.Listener, follow.Attached} {
		t.Run(string(rune('0'+role)), func(t *testing.T) {
			runInRole(t, role, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
				if role.Listens() {
					startListening(k, t)
				}
				standStill(k)
				pending := len(s.reads())
				handled := make(chan time.Duration)
				go func() { handled <- awaitCurrent(k) }()
				synctest.Wait()
				require.Len(t, s.reads(), pending+1, "the read in progress is begun anew")
				select {
				case took := <-handled:
					require.FailNow(t, "a request did not wait", took)
				default:
				}
				s.routes <- answer{version: 2, cursor: 12}
				require.Less(t, <-handled, 10*time.Millisecond)
				require.Equal(t, uint64(2), version(k))
				require.Zero(t, awaitCurrent(k), "once is enough")
			})
		})
	}
}

// Guards against requests that wait for a store that doesn't answer.
func TestRequestsDoNotWaitLongAfterAStandstillWhileTheStoreIsAway(t *testing.T) {
	run(t, func(t *testing.T, k *Keeper, s *scriptedSource, u *recordedUpstreams) {
		s.upstreams <- nil
		s.routes <- answer{version: 1, cursor: 10}
		require.Equal(t, uint64(1), version(k))
		standStill(k)
		s.hang.Store(true)
		require.False(t, k.Current())
		require.Equal(t, confirmLimit, awaitCurrent(k))
		require.True(t, k.Current())
		require.Zero(t, awaitCurrent(k))
		require.Zero(t, u.unavailable, "a read that was ended because of the standstill has not failed")
	})
}
