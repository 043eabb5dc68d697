package directory

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// confirmingSource is a scriptedSource whose whole reads, other than the first, are answered with a version, as of a revision of
// the store, after a time.
type confirmingSource struct {
	*scriptedSource
	version, named atomic.Uint64
	takes          time.Duration
	whole          atomic.Int64
	fails          atomic.Bool
}

func (s *confirmingSource) Routes(ctx context.Context, after uint64, wait time.Duration) (RoutesUpdate, error) {
	if after > 0 || s.whole.Add(1) == 1 {
		return s.scriptedSource.Routes(ctx, after, wait)
	}
	version, named := s.version.Load(), s.named.Load()
	select {
	case <-time.After(s.takes):
	case <-ctx.Done():
		return RoutesUpdate{}, ctx.Err()
	}
	if s.fails.Load() {
		return RoutesUpdate{}, errors.New("away")
	}
	return RoutesUpdate{Value: []byte(strconv.FormatUint(version, 10)), Revision: named, Extent: table.Extent{Named: named, Rows: named}}, nil
}

// confirmations returns the number of reads beside those of the feed.
func (s *confirmingSource) confirmations() int { return int(s.whole.Load()) - 1 }

// runConfirming runs a test with version 1 of the routes in force, as of revision 10.
func runConfirming(t *testing.T, test func(t *testing.T, k *Keeper, s *confirmingSource)) {
	t.Helper()
	runConfirmingAs(t, follow.Standalone, test)
}

// runConfirmingAs is runConfirming for an entry with a role.
func runConfirmingAs(t *testing.T, role follow.Role, test func(t *testing.T, k *Keeper, s *confirmingSource)) {
	t.Helper()
	source := &confirmingSource{takes: 10 * time.Millisecond}
	source.version.Store(1)
	source.named.Store(10)
	runWith(t, func(c *Config) {
		source.scriptedSource = c.Source.(*scriptedSource)
		c.Source = source
		c.Role = func() follow.Role { return role }
	}, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams) {
		s.upstreams <- nil
		s.routes <- answer{version: 1, cursor: 10}
		require.Equal(t, uint64(1), version(k))
		test(t, k, source)
	})
}

// confirms reports whether routes are confirmed for a request that has come now, and how long that took.
func confirms(k *Keeper) (bool, time.Duration) {
	now := time.Now()
	ok := k.ConfirmRoutes(context.Background(), now, false)
	return ok, time.Since(now)
}

// Guards against a confirmation by a read that began before the request had come, or by none.
func TestRoutesAreConfirmedByAReadOfTheirOwn(t *testing.T) {
	runConfirming(t, func(t *testing.T, k *Keeper, s *confirmingSource) {
		ok, took := confirms(k)
		require.True(t, ok)
		require.Equal(t, s.takes, took)
		go confirms(k)
		time.Sleep(s.takes / 2)
		ok, took = confirms(k)
		require.True(t, ok)
		require.Equal(t, s.takes/2+s.takes, took, "the rest of the read in progress, and one more")
		require.Equal(t, 3, s.confirmations())
	})
}

// Guards against a refusal by routes that the confirming read has shown to be old: the newer ones must be in force first.
func TestNewerRoutesAreInForceBeforeTheyAreConfirmed(t *testing.T) {
	runConfirming(t, func(t *testing.T, k *Keeper, s *confirmingSource) {
		s.version.Store(2)
		s.named.Store(20)
		ok, _ := confirms(k)
		require.True(t, ok)
		require.Equal(t, uint64(2), k.Table().Version())
	})
}

// Guards against a confirmation by an answer that is older than what the entry knows from others, and against waiting in vain.
func TestAnswersThatAreOlderThanWhatIsKnownConfirmNothing(t *testing.T) {
	for name, disturb := range map[string]func(k *Keeper, s *confirmingSource){
		"another entry has a newer version": func(k *Keeper, _ *confirmingSource) { k.HeardOf(2) },
		"the store has named a newer one":   func(_ *Keeper, s *confirmingSource) { s.named.Store(9) },
		"the version goes back":             func(_ *Keeper, s *confirmingSource) { s.version.Store(0) },
		"the read fails":                    func(_ *Keeper, s *confirmingSource) { s.fails.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runConfirming(t, func(t *testing.T, k *Keeper, s *confirmingSource) {
				disturb(k, s)
				ok, took := confirms(k)
				require.False(t, ok)
				require.Equal(t, s.takes, took)
				_, failed := k.Confirmations()
				require.Equal(t, uint64(1), failed)
			})
		})
	}
}

// Guards against requests that wait for a store that doesn't answer.
func TestConfirmationEndsInTime(t *testing.T) {
	for role, limit := range map[follow.Role]time.Duration{follow.Standalone: confirmTimeout, follow.Listener: answerWait + confirmTimeout} {
		runConfirmingAs(t, role, func(t *testing.T, k *Keeper, s *confirmingSource) {
			s.takes = time.Hour
			s.hang.Store(true)
			ok, took := confirms(k)
			require.False(t, ok)
			require.Equal(t, limit, took)
			time.Sleep(2 * k.usualAge())
			ok, took = confirms(k)
			require.False(t, ok)
			require.Zero(t, took, "the store is known to be away")
		})
	}
}

// Guards against a flood of requests that aren't allowed, each of which costs the store a call.
func TestFloodOfRefusalsCostsFewReads(t *testing.T) {
	runConfirming(t, func(t *testing.T, k *Keeper, s *confirmingSource) {
		const seconds = 20
		var confirmed, waits atomic.Int64
		for range seconds * 100 {
			go func() {
				if ok, took := confirms(k); ok && took <= confirmTimeout {
					confirmed.Add(1)
				}
				waits.Add(1)
			}()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * confirmTimeout)
		synctest.Wait()
		require.Equal(t, int64(seconds*100), waits.Load())
		require.Equal(t, int64(seconds*100), confirmed.Load())
		require.LessOrEqual(t, s.confirmations(), confirmBurst+confirmRate*(seconds+2))
	})
}

// Guards against a call to the store for each refusal at entries to which others tell what they read anyway, and against relying on them where
// they are silent or nothing explains the refusal.
func TestEntryAmongOthersWaitsForTheirNextAnswer(t *testing.T) {
	runConfirmingAs(t, follow.Listener, func(t *testing.T, k *Keeper, s *confirmingSource) {
		tell := func() {
			k.HandleUpdate("follower", &link.FeedUpdate{Feed: link.FeedRoutes, From: 10, To: 10})
		}
		tell()
		time.AfterFunc(answerTransit/2, tell) // It may have been given before the request came.
		time.AfterFunc(300*time.Millisecond, tell)
		ok, took := confirms(k)
		require.True(t, ok)
		require.Equal(t, 300*time.Millisecond, took)
		require.Zero(t, s.confirmations())

		ok, took = confirms(k)
		require.True(t, ok)
		require.Equal(t, answerWait+s.takes, took)
		require.Equal(t, 1, s.confirmations())

		time.AfterFunc(s.takes/2, tell)
		require.True(t, k.ConfirmRoutes(t.Context(), time.Now(), true))
		require.Equal(t, 2, s.confirmations())
	})
}
