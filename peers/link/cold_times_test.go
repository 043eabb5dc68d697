package link

import (
	"testing"
	"time"

	"acaciacleat.example/core/dispatch"
	"github.com/stretchr/testify/require"
)

// Guards against cold times that are lost on the way to the listeners of a feed, or counted for others.
func TestColdTimesArePartOfAnUpdate(t *testing.T) {
	changes := []dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}, ColdFor: 2 * time.Second}, {Upstream: dispatch.Upstream{ID: "b"}}}
	update := &FeedUpdate{Feed: FeedUpstreams, From: 1, To: 2, Changes: changes}
	require.NoError(t, update.PackColdTimes())
	encoded, err := encodeArray(update)
	require.NoError(t, err)
	message, err := newFrameReader().decode(TypeFeedUpdate, encoded)
	require.NoError(t, err)
	received := message.(*FeedUpdate)
	require.Zero(t, received.Changes[0].ColdFor)
	require.NoError(t, received.UnpackColdTimes())
	require.Equal(t, changes, received.Changes)

	none := &FeedUpdate{Feed: FeedUpstreams, Changes: changes[1:]}
	require.NoError(t, none.PackColdTimes())
	require.Empty(t, none.Routes)
}

// FuzzUnpackColdTimes checks that cold times are valid or rejected.
func FuzzUnpackColdTimes(f *testing.F) {
	update := &FeedUpdate{Changes: []dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}, ColdFor: time.Second}}}
	require.NoError(f, update.PackColdTimes())
	f.Add(update.Routes)
	f.Add([]byte{0x81, 0xa1, 'a', 0xff})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		u := &FeedUpdate{Routes: packed, Changes: []dispatch.Change{{Upstream: dispatch.Upstream{ID: "a"}}}}
		if u.UnpackColdTimes() != nil {
			require.Zero(t, u.Changes[0].ColdFor)
		}
		require.GreaterOrEqual(t, u.Changes[0].ColdFor, time.Duration(0))
	})
}
