package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/routing"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func report(agent string, sequence uint64, queued int64) Report {
	r := Report{Agent: agent, Incarnation: 1, TakenAt: start}
	r.Load.Sequence = sequence
	r.Load.QueuedPrompt[call.Short] = queued
	r.Load.FreeTokens = 1000
	return r
}

func TestUnchangedDigestIsSentSeldom(t *testing.T) {
	g := NewGroup("a")
	g.SetPeers([]string{"a", "b", "c"})
	own := report("a", 1, 100)
	require.Equal(t, []string{"b", "c"}, g.Recipients(start, &own))
	require.Empty(t, g.Recipients(start.Add(time.Second), &own))
	own.Load.QueuedPrompt[call.Short] = 200
	require.Empty(t, g.Recipients(start.Add(minInterval/2), &own))
	require.Len(t, g.Recipients(start.Add(minInterval), &own), 2)
	own.Leaving = true
	require.Len(t, g.Recipients(start.Add(minInterval), &own), 2, "leaving is sent at once")
	require.Len(t, g.Recipients(start.Add(minInterval+maxInterval), &own), 2)
}

// Digest 7 reports a full replica; digest 6, delayed on another link, reports an idle one.
// If digests were stored in order of arrival, entries would send a burst to a full replica.
func TestLateDigestIsDropped(t *testing.T) {
	g := NewGroup("a")
	g.SetPeers([]string{"b"})
	g.Receive(report("b", 7, 500))
	g.Receive(report("b", 6, 0))
	require.Equal(t, int64(500), g.LeastLoaded(start, 1)[0].Load.QueuedPrompt[call.Short])
}

// An agent must not name a less loaded peer that would probably refuse the request: one without
// enough free memory, one that is down or leaving, or one whose digest is old.
func TestLessLoadedPeerHasRoom(t *testing.T) {
	g := NewGroup("a")
	g.SetPeers([]string{"b", "c", "d", "e"})
	full := report("b", 1, 0)
	full.Load.FreeTokens = 10
	g.Receive(full)
	g.Receive(report("c", 1, 300))
	down := report("e", 1, 0)
	down.Load.Down = true
	g.Receive(down)
	leaving := report("d", 1, 0)
	leaving.Leaving = true
	g.Receive(leaving)
	own := routing.Load{}
	own.QueuedPrompt[call.Short] = 1000
	require.Equal(t, "c", g.LessLoadedPeer(start, &own, 100, 50))
	require.Equal(t, "e", g.LeastLoaded(start, 4)[3].Agent, "an engine that is down comes last")
	require.Empty(t, g.LessLoadedPeer(start, &own, 100, 800))
	require.Empty(t, g.LessLoadedPeer(start.Add(time.Minute), &own, 100, 50), "old digests are ignored")
}

// With random loads and group sizes, the digests sent stay within budgetBytes.
func TestDigestsKeepTheByteBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewGroup("self")
		var peers []string
		for i := range rapid.IntRange(1, 60).Draw(t, "peers") {
			peers = append(peers, string(rune('A'+i)))
		}
		g.SetPeers(peers)
		const seconds = 60
		bytes := 0
		own := report("self", 0, 0)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for tick := range seconds * 10 {
			own.Load.Sequence++
			own.Load.QueuedPrompt[call.Short] = int64(random.IntN(1e6))
			recipients := g.Recipients(start.Add(time.Duration(tick)*100*time.Millisecond), &own)
			bytes += len(recipients) * digestBytes
		}
		// With fewer than 3 peers, minInterval alone bounds the traffic at 880 bytes per second.
		require.LessOrEqual(t, bytes, budgetBytes*seconds+len(peers)*digestBytes)
	})
}

// A zone has 300 agents of other models and 3 of the same one. If all got digests at the
// same interval, this would be 33 s, longer than maxReportAge, and entries would get no
// digests of peers.
func TestPeersOfOtherModelsGetDigestsSeldom(t *testing.T) {
	const others, ticks = 300, 1200
	g := NewGroup("self")
	g.SetModel("m")
	peers := []string{"a", "b", "c"}
	for i := range others {
		peers = append(peers, fmt.Sprint("other-", i))
	}
	g.SetPeers(peers)
	for _, agent := range peers {
		r := report(agent, 1, 100)
		r.Model = "m"
		if strings.HasPrefix(agent, "other") {
			r.Model = "n"
		}
		g.Receive(r)
	}
	require.LessOrEqual(t, g.Interval(), maxReportAge/2)
	require.Len(t, g.LeastLoaded(start, len(peers)), 3, "digests of other models are left out")
	own := report("self", 0, 0)
	sent := make(map[string]int)
	bytes := 0
	for tick := range ticks {
		own.Load.QueuedPrompt[call.Short] = int64(tick%2) * 1000
		for _, agent := range g.Recipients(start.Add(time.Duration(tick)*100*time.Millisecond), &own) {
			sent[agent]++
			bytes += digestBytes
		}
	}
	require.Greater(t, sent["a"], 200, "almost twice a second over two minutes")
	require.GreaterOrEqual(t, sent["other-0"], 1, "it may change its model")
	require.LessOrEqual(t, sent["other-0"], 120/10+1)
	require.LessOrEqual(t, bytes, budgetBytes*ticks/10+len(peers)*digestBytes)
}

func TestPeerThatChangesItsModelJoinsTheGroup(t *testing.T) {
	g := NewGroup("self")
	g.SetModel("m")
	g.SetPeers([]string{"a", "unknown"})
	r := report("a", 1, 100)
	r.Model = "n"
	g.Receive(r)
	own := report("self", 1, 100)
	require.Equal(t, []string{"unknown", "a"}, g.Recipients(start, &own))
	own.Load.QueuedPrompt[call.Short] = 5000
	require.Equal(t, []string{"unknown"}, g.Recipients(start.Add(time.Second), &own))
	r.Load.Sequence++
	r.Model = "m"
	g.Receive(r)
	own.Load.QueuedPrompt[call.Short] = 100
	require.Equal(t, []string{"a", "unknown"}, g.Recipients(start.Add(2*time.Second), &own))
	require.Len(t, g.LeastLoaded(start, 2), 1)
}
