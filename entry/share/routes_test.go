package share

import (
	"testing"
	"time"

	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

// Symptom: an entry that the store has turned away goes on by old routes until the change
// after the next. Sequence: version 1 is announced; while the entry waits for its own feed
// to bring it, version 9 is announced; the feed brings version 1 and then fails. Cause:
// the second announcement was dropped because the first was still waiting.
func TestNewerAnnouncementIsNotLostWhileAnOlderOneWaits(t *testing.T) {
	first, second := &link.Conn{}, &link.Conn{}
	var newer announcedRoutes
	require.True(t, newer.announced(time.Now(), 1, 0, first))
	require.False(t, newer.announced(time.Now(), 9, 0, second), "the looking has begun")
	require.Same(t, second, newer.next(1))
}

// Symptom: as above. Sequence: the one entry that was asked is lost before it answers.
// Cause: of all that had announced the routes only one was asked.
func TestAllWhoAnnouncedTheRoutesAreAskedInTurn(t *testing.T) {
	first, second, older := &link.Conn{}, &link.Conn{}, &link.Conn{}
	var newer announcedRoutes
	require.True(t, newer.announced(time.Now(), 9, 8, first))
	require.False(t, newer.announced(time.Now(), 9, 8, second))
	require.False(t, newer.announced(time.Now(), 8, 7, older), "an older version is of no use")
	require.Same(t, first, newer.next(8))
	require.Same(t, second, newer.next(8))
	require.Nil(t, newer.next(8))
	require.True(t, newer.announced(time.Now(), 9, 8, first), "it may be announced and asked for again")
}

func TestNobodyIsAskedForRoutesInForce(t *testing.T) {
	var newer announcedRoutes
	require.False(t, newer.announced(time.Now(), 3, 3, &link.Conn{}))
	require.True(t, newer.announced(time.Now(), 4, 3, &link.Conn{}))
	require.Nil(t, newer.next(4), "the own feed brought it")
}
