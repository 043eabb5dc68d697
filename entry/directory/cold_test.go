package directory

import (
	"testing"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/routes"
	"acaciacleat.example/peers/link"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// keptUpstreams keeps the changes that were applied.
type keptUpstreams struct{ changes []dispatch.Change }

func (u *keptUpstreams) Apply(_ time.Time, changes []dispatch.Change, _ bool) { u.changes = changes }
func (u *keptUpstreams) RegistryUnavailable()                                 {}
func (u *keptUpstreams) RegistryAnswered(time.Time)                           {}
func (u *keptUpstreams) RegistryReturned(time.Time)                           {}

func coldChange() []dispatch.Change {
	return []dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}, ColdFor: 2 * time.Second}}
}

// Guards against a listener that learns of a new upstream without its cold time.
func TestColdTimesReachListenersWithTheChange(t *testing.T) {
	upstreams := &keptUpstreams{}
	k := New(Config{Upstreams: upstreams, Log: zerolog.Nop()})
	sent := k.outgoingUpstreams(&batch{FeedUpdate: &link.FeedUpdate{Feed: link.FeedUpstreams, From: 5, To: 6, Changes: coldChange()}})
	sent.Changes = []dispatch.Change{{Upstream: sent.Changes[0].Upstream}} // The encoding leaves cold times out.
	require.True(t, k.applyUpstreams(time.Now(), &batch{FeedUpdate: sent, origin: fromEntry}))
	require.Equal(t, coldChange(), upstreams.changes)

	full := k.outgoingUpstreams(&batch{FeedUpdate: &link.FeedUpdate{Feed: link.FeedUpstreams, To: 6, Changes: coldChange()}})
	require.Empty(t, full.Routes, "the content of a full read isn't forwarded")
}

// Guards against an update that is lost because its cold times can't be read.
func TestUnreadableColdTimesSpoilNoUpdate(t *testing.T) {
	upstreams := &keptUpstreams{}
	k := New(Config{Upstreams: upstreams, Log: zerolog.Nop()})
	update := &link.FeedUpdate{Feed: link.FeedUpstreams, From: 5, To: 6, Changes: []dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}}}, Routes: []byte("{}")}
	require.True(t, k.applyUpstreams(time.Now(), &batch{FeedUpdate: update, origin: fromEntry}))
	require.Len(t, upstreams.changes, 1)
}

// Guards against a table that is active before what belongs to it, or reported although it is refused.
func TestTableIsReportedBeforeItIsActive(t *testing.T) {
	var k *Keeper
	var reported []uint64
	k = New(Config{Source: newSource(), Log: zerolog.Nop(), OnTable: func(table *routes.Table) {
		require.Less(t, k.version(), table.Version())
		reported = append(reported, table.Version())
	}})
	for _, value := range []string{"2", "1", "x", "3"} {
		k.applyReceived(receivedRoutes{[]byte(value), fromEntry, time.Now()})
	}
	require.Equal(t, []uint64{2, 3}, reported)
	require.Equal(t, uint64(3), k.version())
}

// Guards against a corrected value that is counted nowhere.
func TestCorrectionsAreCounted(t *testing.T) {
	k := New(Config{Log: zerolog.Nop()})
	corrections := map[string]error{"a": errors.New("one"), "b": errors.New("two")}
	k.logCorrections([]dispatch.Change{{Upstream: dispatch.Upstream{ID: "c"}}}, corrections)
	require.Zero(t, k.Corrections())
	k.logCorrections([]dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}}, {Upstream: dispatch.Upstream{ID: "b"}}}, corrections)
	require.Equal(t, uint64(2), k.Corrections())
}
