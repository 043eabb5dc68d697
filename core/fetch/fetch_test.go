package fetch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFetcher() *Fetcher { return New(rand.New(rand.NewPCG(1, 1))) }

// encoding returns an encoding with the given number of parts.
func encoding(version uint64, parts int) []byte {
	data := make([]byte, parts*PartBytes-1)
	for i := range data {
		data[i] = byte(uint64(i) * version)
	}
	return data
}

// serverWith returns a server of one version.
func serverWith(version uint64, parts int) *Server {
	s := NewServer()
	s.Put(start, version, encoding(version, parts))
	return s
}

// requireRequest requires that a request is sent now, and returns it with the holder's name.
func requireRequest(t *testing.T, f *Fetcher, now time.Time, applied uint64) (Request, string) {
	t.Helper()
	request, name, again := f.Next(now, applied)
	require.NotEmpty(t, name)
	require.True(t, again.After(now))
	return request, name
}

func TestOwnFeedIsPreferredDuringHoldOff(t *testing.T) {
	f := newFetcher()
	f.Announce(start, 3, "a", true, 4)
	_, name, again := f.Next(start, 3)
	require.Empty(t, name)
	require.Equal(t, start.Add(HoldOff), again)
	_, name, again = f.Next(again, 4)
	require.Empty(t, name, "the entry's own feed delivered it")
	require.Zero(t, again)
}

func TestAppliedVersionIsNotRequested(t *testing.T) {
	f := newFetcher()
	f.Announce(start, 3, "a", true, 3)
	_, name, again := f.Next(start.Add(time.Hour), 3)
	require.Empty(t, name)
	require.Zero(t, again)
}

// A newer announcement must not be lost while an older one waits for the hold-off.
func TestNewerAnnouncementIsNotLostWhileAnOlderOneWaits(t *testing.T) {
	f := newFetcher()
	f.Announce(start, 0, "a", true, 1)
	f.Announce(start, 0, "b", true, 9)
	_, name := requireRequest(t, f, start.Add(HoldOff), 1)
	require.Equal(t, "b", name)
}

// An entry must not ask only one holder again and again, since that holder may never answer.
func TestAllHoldersAreAskedInTurn(t *testing.T) {
	f := newFetcher()
	now := start
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.Announce(now, 8, name, true, 9)
	}
	var asked []string
	for now = now.Add(HoldOff); len(asked) < len(names); now = now.Add(partTimeout) {
		_, name := requireRequest(t, f, now, 8)
		asked = append(asked, name)
	}
	slices.Sort(asked)
	require.Equal(t, names, asked)
	requireRequest(t, f, now, 8) // Then the first one again.
}

func TestRemovedHolderIsNotAsked(t *testing.T) {
	f := newFetcher()
	f.Announce(start, 8, "a", true, 9)
	now := start.Add(HoldOff)
	requireRequest(t, f, now, 8)
	f.RemoveHolder("a")
	_, name, again := f.Next(now, 8)
	require.Empty(t, name)
	require.Zero(t, again)
	f.Announce(now, 8, "a", true, 9)
	requireRequest(t, f, now, 8)
}

func TestNearHoldersAreAskedFirst(t *testing.T) {
	f := newFetcher()
	for i := range 20 {
		f.Announce(start, 8, fmt.Sprint("far", i), false, 9)
	}
	f.Announce(start, 8, "near", true, 9)
	_, name := requireRequest(t, f, start.Add(HoldOff), 8)
	require.Equal(t, "near", name)
}

// A slow link must not be loaded with a second copy of a value that is being transferred.
func TestOneHolderIsAskedAtATime(t *testing.T) {
	f, s := newFetcher(), serverWith(9, 3)
	f.Announce(start, 8, "a", true, 9)
	f.Announce(start, 8, "b", true, 9)
	now := start.Add(HoldOff)
	request, name := requireRequest(t, f, now, 8)
	for part := range 3 {
		_, other, again := f.Next(now.Add(partTimeout-1), 8)
		require.Empty(t, other, "the answer to %s is awaited", name)
		require.Equal(t, now.Add(partTimeout), again)
		now = now.Add(partTimeout - 1)
		whole, version := f.Receive(now, 8, name, s.Get(now, "x", request))
		if part == 2 {
			require.Equal(t, encoding(9, 3), whole)
			require.Equal(t, uint64(9), version)
			break
		}
		require.Nil(t, whole)
		var same string
		request, same = requireRequest(t, f, now, 8)
		require.Equal(t, name, same, "parts come from one holder as long as it answers")
	}
	_, other, again := f.Next(now, 8)
	require.Empty(t, other, "the version is delivered")
	require.Zero(t, again)
}

func TestParts(t *testing.T) {
	t.Run("continue at another holder", func(t *testing.T) {
		f, s := newFetcher(), serverWith(9, 2)
		f.Announce(start, 8, "a", true, 9)
		now := start.Add(HoldOff)
		request, name := requireRequest(t, f, now, 8)
		f.Receive(now, 8, name, s.Get(now, "x", request))
		f.Announce(now, 8, "b", true, 9)
		f.RemoveHolder("a")
		request, name = requireRequest(t, f, now, 8)
		require.Equal(t, "b", name)
		require.Equal(t, Request{Version: 9, Part: 1}, request)
		whole, _ := f.Receive(now, 8, name, serverWith(9, 2).Get(now, "x", request))
		require.Equal(t, encoding(9, 2), whole)
	})
	t.Run("of another encoding restart the fetch", func(t *testing.T) {
		f, s := newFetcher(), serverWith(9, 2)
		f.Announce(start, 8, "a", true, 9)
		now := start.Add(HoldOff)
		request, name := requireRequest(t, f, now, 8)
		f.Receive(now, 8, name, s.Get(now, "x", request))
		_, name = requireRequest(t, f, now, 8)
		whole, _ := f.Receive(now, 8, name, &Part{Version: 9, Sum: 1, Part: 1, Parts: 2, Data: []byte("x")})
		require.Nil(t, whole)
		request, _ = requireRequest(t, f, now, 8)
		require.Zero(t, request.Part)
	})
	t.Run("that are corrupted are fetched again", func(t *testing.T) {
		f, s := newFetcher(), serverWith(9, 1)
		f.Announce(start, 8, "a", true, 9)
		now := start.Add(HoldOff)
		request, name := requireRequest(t, f, now, 8)
		corrupted := *s.Get(now, "x", request)
		corrupted.Data = bytes.Repeat([]byte{1}, len(corrupted.Data))
		whole, _ := f.Receive(now, 8, name, &corrupted)
		require.Nil(t, whole)
		request, name = requireRequest(t, f, now.Add(partTimeout), 8)
		whole, _ = f.Receive(now, 8, name, s.Get(now, "x", request))
		require.Equal(t, encoding(9, 1), whole)
	})
	t.Run("that are invalid are rejected, and their holder is not asked again at once", func(t *testing.T) {
		for _, part := range []Part{
			{Version: 9, Part: 2, Parts: 2}, {Version: 9, Part: -1, Parts: 2}, {Version: 9, Parts: -1},
			{Version: 9, Parts: maxParts + 1}, {Version: 9, Parts: 1, Data: make([]byte, PartBytes+1)}, {Version: 8, Parts: 1},
		} {
			f := newFetcher()
			f.Announce(start, 8, "a", true, 9)
			now := start.Add(HoldOff)
			_, name := requireRequest(t, f, now, 8)
			whole, _ := f.Receive(now, 8, name, &part)
			require.Nil(t, whole)
			_, name, again := f.Next(now, 8)
			require.Empty(t, name, "%+v", part)
			require.Equal(t, now.Add(partTimeout), again)
		}
	})
}

func TestRejectedVersionIsFetchedAgain(t *testing.T) {
	f, s := newFetcher(), serverWith(9, 1)
	f.Announce(start, 8, "a", true, 9)
	now := start.Add(HoldOff)
	request, name := requireRequest(t, f, now, 8)
	_, version := f.Receive(now, 8, name, s.Get(now, "x", request))
	_, _, again := f.Next(now, 8)
	require.Zero(t, again)
	f.Reject(now, version)
	_, _, again = f.Next(now, 8)
	require.Equal(t, now.Add(partTimeout), again)
	requireRequest(t, f, again, 8)
}

// A holder's links must not be filled with parts for many entries at once.
func TestServerLimitsConcurrentClients(t *testing.T) {
	s := serverWith(9, 2)
	for i := range maxClients {
		require.Equal(t, 2, s.Get(start, fmt.Sprint(i), Request{}).Parts)
	}
	require.Zero(t, s.Get(start, "late", Request{}).Parts)
	require.Equal(t, 2, s.Get(start, "0", Request{Version: 9, Part: 1}).Parts, "an entry that is being served may continue")
	require.Equal(t, 2, s.Get(start.Add(clientTTL), "late", Request{}).Parts)

	f := newFetcher()
	f.Announce(start, 8, "busy", true, 9)
	f.Announce(start, 8, "other", false, 9)
	now := start.Add(HoldOff)
	_, name := requireRequest(t, f, now, 8)
	require.Equal(t, "busy", name)
	f.Receive(now, 8, name, &Part{})
	_, name = requireRequest(t, f, now, 8)
	require.Equal(t, "other", name)
}

// An entry must be able to complete a fetch although changes arrive faster than one version is
// fetched.
func TestVersionBeingFetchedIsKeptWhileNewerOnesArrive(t *testing.T) {
	const parts = 6
	f, s := newFetcher(), serverWith(9, parts)
	f.Announce(start, 8, "a", true, 9)
	now := start.Add(HoldOff)
	for part := range parts {
		request, name := requireRequest(t, f, now, 8)
		require.Equal(t, part, request.Part)
		whole, version := f.Receive(now, 8, name, s.Get(now, "x", request))
		if part == parts-1 {
			require.Equal(t, uint64(9), version)
			require.Equal(t, encoding(9, parts), whole)
		}
		newer := uint64(10 + part)
		s.Put(now, newer, encoding(newer, parts))
		f.Announce(now, 8, "a", true, newer)
		now = now.Add(partTimeout / 2)
	}
	request, _ := requireRequest(t, f, now, 8)
	require.Zero(t, request.Part, "the newest version is fetched next")
	require.Equal(t, uint64(15), s.Newest())
	require.LessOrEqual(t, len(s.kept), maxKeptVersions)
}

// Over links that lose and delay messages, end and come back, and while versions change, an entry
// must end with the newest version and must not request many more parts than it lacks.
func TestFetcherConvergesToNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 10 * time.Millisecond
		type answer struct {
			at   time.Time
			from string
			part *Part
		}
		names := []string{"a", "b", "c"}
		servers := map[string]*Server{}
		for _, name := range names {
			servers[name] = NewServer()
		}
		f := New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		lossPercent := rapid.IntRange(0, 30).Draw(t, "loss, in 100")
		maxDelay := rapid.IntRange(1, 80).Draw(t, "longest way, in ticks")
		changes := rapid.IntRange(1, 6).Draw(t, "changes")
		parts := rapid.IntRange(1, 5).Draw(t, "parts")
		var version, applied uint64
		var inFlight []answer
		// requests counts the requests sent; lost, late, ended and useful count their outcomes.
		var requests, lost, late, ended, useful int
		var sentAt time.Time // When the outstanding request was sent.
		now := start
		change := func() {
			version++
			for _, name := range names {
				servers[name].Put(now, version, encoding(version, parts))
				f.Announce(now, applied, name, name == "a", version)
			}
		}
		step := func(faulty bool) {
			now = now.Add(tick)
			request, name, _ := f.Next(now, applied)
			if name != "" {
				require.True(t, sentAt.IsZero() || now.Sub(sentAt) >= partTimeout, "two requests at a time")
				requests, sentAt = requests+1, now
				delay := 1
				if faulty {
					delay = rapid.IntRange(1, maxDelay).Draw(t, "way")
				}
				if time.Duration(delay)*tick >= partTimeout {
					late++
				}
				if faulty && rapid.IntRange(0, 99).Draw(t, "lost") < lossPercent {
					lost++
				} else {
					inFlight = append(inFlight, answer{now.Add(time.Duration(delay) * tick), name, servers[name].Get(now, "x", request)})
				}
			}
			for i := 0; i < len(inFlight); i++ {
				if inFlight[i].at.After(now) {
					continue
				}
				whole, got := f.Receive(now, applied, inFlight[i].from, inFlight[i].part)
				sentAt = time.Time{}
				inFlight = slices.Delete(inFlight, i, i+1)
				i--
				if whole != nil {
					require.Equal(t, encoding(got, parts), whole)
					require.Greater(t, got, applied)
					applied = got
					useful += parts
				}
			}
		}
		for range changes {
			change()
			for range rapid.IntRange(0, 60).Draw(t, "ticks") {
				step(true)
			}
			if removed := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "link that ends"); removed != "" {
				f.RemoveHolder(removed)
				inFlight = slices.DeleteFunc(inFlight, func(a answer) bool { return a.from == removed })
				ended, sentAt = ended+1, time.Time{}
				f.Announce(now, applied, removed, removed == "a", version)
			}
		}
		for range int(5 * time.Second / tick) {
			step(false)
		}
		require.Equal(t, version, applied)
		abandoned := (changes - 1) * parts // Parts of versions that holders have dropped meanwhile.
		require.LessOrEqual(t, requests, useful+abandoned+lost+2*late+ended)
	})
}
