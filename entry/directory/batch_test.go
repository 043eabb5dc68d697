package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/follow"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// changeOf returns a change of an upstream's registration.
func changeOf(id string, revision uint64, removed bool) dispatch.Change {
	return dispatch.Change{Upstream: dispatch.Upstream{ID: id}, Revision: revision, Removed: removed}
}

// readUpstreams applies an answer of the store to a read between two positions and returns what is forwarded.
func readUpstreams(t *testing.T, k *Keeper, from, to uint64, changes ...dispatch.Change) *link.FeedUpdate {
	t.Helper()
	b := &batch{origin: fromStore, FeedUpdate: &link.FeedUpdate{Feed: link.FeedUpstreams, From: from, To: to, Changes: changes}}
	require.True(t, k.applyUpstreams(time.Now(), b))
	return k.outgoingUpstreams(b)
}

// Guards against an upstream that comes back because an older row of it is read once more, and against its cold time that
// begins anew.
func TestRowsThatComeAgainAreAppliedOnce(t *testing.T) {
	upstreams := &keptUpstreams{}
	k := New(Config{Upstreams: upstreams, Log: zerolog.Nop()})
	cold := changeOf("a", 11, false)
	cold.ColdFor = time.Second
	readUpstreams(t, k, 0, 10)
	readUpstreams(t, k, 10, 12, cold)
	require.Len(t, upstreams.changes, 1)
	readUpstreams(t, k, 10, 15, cold, changeOf("a", 14, true))
	require.Equal(t, []dispatch.Change{changeOf("a", 14, true)}, upstreams.changes)
	readUpstreams(t, k, 10, 15, cold)
	require.Empty(t, upstreams.changes)
	require.Empty(t, k.registrations.all())
}

// Guards against listeners that lack a change which a follower has read once more, and against rows that are sent again each time.
func TestRowsThatComeAgainAreForwardedIfOthersMayLackThem(t *testing.T) {
	k := New(Config{Upstreams: &keptUpstreams{}, Log: zerolog.Nop()})
	readUpstreams(t, k, 0, 10)
	first := changeOf("a", 11, false)
	require.Equal(t, []dispatch.Change{first}, readUpstreams(t, k, 10, 12, first).Changes)
	require.Empty(t, readUpstreams(t, k, 12, 12, first).Changes, "all that have 12 have it")
	require.Equal(t, []dispatch.Change{first}, readUpstreams(t, k, 10, 12, first).Changes, "others may have 10 only")
	hidden := changeOf("b", 9, false)
	require.Equal(t, []dispatch.Change{hidden}, readUpstreams(t, k, 12, 12, first, hidden).Changes, "all lack it")
}

// Guards against listeners that keep what the store has dropped from its history: a follower that reads everything anew forwards
// what it lacked.
func TestFollowerForwardsWhatItLacked(t *testing.T) {
	k := New(Config{Source: newSource(), Upstreams: &keptUpstreams{}, Log: zerolog.Nop()})
	kept := changeOf("kept", 3, false)
	require.Empty(t, readUpstreams(t, k, 0, 10, kept, changeOf("gone", 4, false)).Changes, "others have what it read as it started")
	added := changeOf("added", 12, false)
	forwarded := readUpstreams(t, k, 0, 20, kept, added)
	require.Equal(t, []uint64{20, 20}, []uint64{forwarded.From, forwarded.To})
	require.Equal(t, []dispatch.Change{added, changeOf("gone", 20, true)}, forwarded.Changes)

	read := func(revision uint64) *link.FeedUpdate {
		b := &batch{origin: fromStore, FeedUpdate: &link.FeedUpdate{Feed: link.FeedRoutes, To: 20, Routes: []byte("5")}, routesRevision: revision}
		require.True(t, k.applyRoutes(time.Now(), b))
		return k.outgoingRoutes(b)
	}
	require.Empty(t, read(7).Routes)
	require.Empty(t, read(7).Routes, "they are known")
	require.NotEmpty(t, read(8).Routes)
}

// Guards against an entry that ignores a change because it takes its position for newer.
func TestListenerAppliesWhatAFollowerFindsLater(t *testing.T) {
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, _ *scriptedSource, u *recordedUpstreams, _ *forwardRecorder) {
		startListening(k, t)
		k.HandleUpdate("a", routesUpdate(10, 30, 0))
		before := u.applied
		k.HandleUpdate("b", routesUpdate(20, 20, 4))
		require.Equal(t, uint64(4), version(k))
		k.HandleUpdate("b", &link.FeedUpdate{Feed: link.FeedUpstreams, From: 1, To: 1, Changes: []dispatch.Change{changeOf("x", 1, false)}})
		require.Equal(t, before+1, u.applied)
		k.HandleUpdate("b", &link.FeedUpdate{Feed: link.FeedUpstreams, From: 1, To: 1, Changes: []dispatch.Change{changeOf("x", 0, false)}})
		require.Equal(t, before+1, u.applied, "without a revision it can't be told whether it is newer")
	})
}

// Guards against an entry that waits for the store although it has heard of a newer version.
func TestMissingVersionMakesTheEntryReadAtOnce(t *testing.T) {
	runInRole(t, follow.Standalone, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
		time.Sleep(5 * time.Second)
		synctest.Wait()
		before, began := len(s.reads()), time.Now()
		k.VersionMissing(4)
		synctest.Wait()
		require.Len(t, s.reads(), before+1)
		time.Sleep(missingLimit)
		synctest.Wait()
		require.Zero(t, s.reads()[len(s.reads())-1], "everything is read")
		s.routes <- answer{version: 4, cursor: 12}
		require.Equal(t, uint64(4), version(k))
		require.Equal(t, missingLimit, time.Since(began))
		reads := len(s.reads())
		k.VersionMissing(4)
		synctest.Wait()
		require.LessOrEqual(t, len(s.reads()), reads+1, "once for each version")
	})
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
		startListening(k, t)
		before := len(s.reads())
		k.VersionMissing(4)
		time.Sleep(missingLimit)
		synctest.Wait()
		require.Len(t, s.reads(), before, "its followers read")
	})
}

// Guards against a follower that takes the state of others after the store has dropped its history: it may lack the same changes.
func TestFollowerReadsTheStoreAfterADroppedHistory(t *testing.T) {
	role := follow.Follower
	runAmongOthers(t, &role, func(t *testing.T, k *Keeper, s *scriptedSource, o *others) {
		s.upstreams <- nil
		s.routes <- answer{version: 1, cursor: 10}
		require.Equal(t, uint64(1), version(k))
		asked := o.askedCount()
		time.Sleep(maxBatchPause)
		s.routes <- answer{err: table.ErrHistoryTruncated}
		s.routes <- answer{version: 2, cursor: 20}
		require.Equal(t, uint64(2), version(k))
		require.Equal(t, asked, o.askedCount())
	})
}

// Guards against a listener that is late because it waits for others, although it reads the store since they are silent.
func TestListenerReadsEverythingAtOnceAfterADroppedHistory(t *testing.T) {
	runInRole(t, follow.Listener, func(t *testing.T, k *Keeper, s *scriptedSource, _ *recordedUpstreams, _ *forwardRecorder) {
		asked := 0
		k.config.Ask = func(link.Feed) bool { asked++; return true }
		startListening(k, t)
		silentSince := time.Now()
		s.routes <- answer{err: table.ErrHistoryTruncated}
		s.routes <- answer{version: 7, cursor: 30}
		require.Equal(t, uint64(7), version(k))
		require.LessOrEqual(t, time.Since(silentSince), follow.FollowerTimeout+minRetryPause)
		require.Zero(t, asked)
	})
}

// Guards against lines on changes that were passed over, although an upstream was just not listed any more.
func TestRemovalOfAnUnlistedUpstreamWasNotPassedOver(t *testing.T) {
	b := &batch{}
	b.noteNews(registrations{"known": changeOf("known", 3, false)}, []dispatch.Change{changeOf("known", 5, true), changeOf("unlisted", 6, true), changeOf("added", 7, false)})
	require.Equal(t, []uint64{5, 7}, b.news)
}
