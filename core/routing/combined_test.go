package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var startTime = time.Unix(1_700_000_000, 0)

func testReplicas(n int, random *rand.Rand) []Replica {
	replicas := make([]Replica, n)
	for i := range replicas {
		replicas[i] = Replica{Agent: fmt.Sprintf("agent-%d", i), Zone: fmt.Sprintf("zone-%d", i%3), Incarnation: 1, LoadTakenAt: startTime}
		replicas[i].Load = Load{FreeTokens: 400_000, CapacityTokens: 400_000, PrefillRate: 40_000}
		if random != nil {
			replicas[i].Load.QueuedPrompt[call.Short] = random.Int64N(50_000)
			replicas[i].Load.RunningPrompt[call.Long] = random.Int64N(300_000)
			replicas[i].LoadTakenAt = startTime.Add(-time.Duration(random.Int64N(int64(2 * time.Second))))
		}
	}
	return replicas
}

func testDigests(document uint64, count int) []uint64 {
	digests := make([]uint64, count)
	for i := range digests {
		digests[i] = mix(document<<8 + uint64(i) + 1)
	}
	return digests
}

// Guards against offers to replicas that can't serve the request, against no choice although a
// replica is usable, and against choices that can't be repeated from the policy's seed.
func TestPoliciesNeverChooseUnusableReplicasAndAreDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		random := rand.New(rand.NewPCG(seed, 1))
		name := rapid.SampledFrom(Names).Draw(t, "policy")
		first, ok := ByName(name, seed)
		require.True(t, ok)
		second, _ := ByName(name, seed)
		now := startTime
		for range 30 {
			replicas := testReplicas(1+random.IntN(20), random)
			usable := 0
			for i := range replicas {
				replicas[i].State = State(random.IntN(4))
				replicas[i].Model = []string{"", "served", "other"}[random.IntN(3)]
				if replicas[i].State == Live && replicas[i].Model != "other" {
					usable++
				}
			}
			request := &Request{Model: "served", Demand: call.TokenDemand{PromptTokens: 1 + random.IntN(1_000_000)}, Zone: "zone-0", Prefix: testDigests(uint64(random.IntN(5)), random.IntN(20))}
			choice := first.Choose(request, replicas, now)
			require.Equal(t, choice, second.Choose(request, replicas, now))
			require.Equal(t, usable > 0, choice.Index >= 0)
			if choice.Index >= 0 {
				require.True(t, Usable(request, &replicas[choice.Index]))
				require.NotEqual(t, "other", replicas[choice.Index].Model)
			}
			now = now.Add(time.Duration(random.Int64N(int64(time.Second))))
		}
	})
}

// Guards against a prediction that leaves out the cached prefix, the queue, the zone or the free
// memory: requests would wait or be prefilled again although another replica is faster.
func TestCombinedWeighsCacheLoadZoneAndMemory(t *testing.T) {
	c := NewCombined(DefaultOptions(1))
	replicas := testReplicas(6, nil)
	request := &Request{Demand: call.TokenDemand{PromptTokens: 20_000}, Zone: "zone-1", Prefix: testDigests(1, 19)}
	home := c.Choose(request, replicas, startTime).Index
	require.Equal(t, home, c.Choose(request, replicas, startTime).Index, "the prefix is cached at its home")

	replicas[home].Load.QueuedPrompt[call.Short] = 200_000
	require.NotEqual(t, home, c.Choose(request, replicas, startTime).Index, "waiting at the home costs more than prefilling the prefix elsewhere")

	plain := &Request{Demand: call.TokenDemand{PromptTokens: 1000}, Zone: "zone-1"}
	chosen := c.Choose(plain, replicas, startTime)
	require.Equal(t, "zone-1", replicas[chosen.Index].Zone)
	// 1000 tokens at 40,000 per second.
	require.InDelta(t, 25*time.Millisecond, chosen.Predicted, float64(time.Millisecond))
	replicas[1].Load.FreeTokens, replicas[4].Load.FreeTokens = 0, 0
	require.NotEqual(t, "zone-1", replicas[c.Choose(plain, replicas, startTime).Index].Zone, "the replicas of the zone have no free memory")
}

// One replica reports a short queue, and many entries decide by that report while it grows
// old. If they trusted it like a new one, all would send to the same replica until its next
// report arrives.
func TestStaleLoadReportsSpreadRequests(t *testing.T) {
	counts := make(map[int]int)
	for seed := range uint64(40) {
		replicas := testReplicas(10, nil)
		for i := range replicas {
			replicas[i].Zone = "zone-0"
			replicas[i].Load.QueuedPrompt[call.Short] = 40_000
		}
		replicas[3].Load.QueuedPrompt[call.Short] = 30_000
		choice := NewCombined(DefaultOptions(seed)).Choose(&Request{Demand: call.TokenDemand{PromptTokens: 4000}, Zone: "zone-0"}, replicas, startTime.Add(20*time.Second))
		counts[choice.Index]++
	}
	// If the report's age were ignored, all 40 would choose replica 3.
	require.GreaterOrEqual(t, len(counts), 5)
	require.Less(t, counts[3], 20)
}

// Guards against a hot prefix that keeps one home, and against keeping several after its load has
// decayed.
func TestHotPrefixGetsMoreHomesUntilItsLoadDecays(t *testing.T) {
	loads := newPrefixLoads()
	now := startTime
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		loads.add(1, 2000, now)
		loads.add(2, 100, now)
	}
	require.Equal(t, maxHomes, loads.homes(1, 14, now))
	// A 21st of the load is two thirds of one replica's share, and a home carries half a share.
	require.Equal(t, 2, loads.homes(2, 14, now))
	for range 4000 {
		now = now.Add(50 * time.Millisecond)
		loads.add(3, 2000, now)
	}
	require.Equal(t, 1, loads.homes(1, 14, now), "its load has decayed")
}

// Guards against replicas of plain services that keep failing and, because they look idle, attract
// all requests, and against a flood of requests to a replica that has just been readmitted.
func TestPlainEjectsAndStartsSlowly(t *testing.T) {
	p := NewPlain()
	replicas := testReplicas(3, nil)
	request := &Request{}
	picks := func(at time.Time) (counts [3]int) {
		for range 30 {
			counts[p.Choose(request, replicas, at).Index]++
		}
		return counts
	}
	require.Equal(t, [3]int{10, 10, 10}, picks(startTime))
	for range plainEjectThreshold {
		p.Finished("agent-1", true, startTime)
	}
	require.Zero(t, picks(startTime)[1])
	for i := range replicas {
		replicas[i].InFlight = 4
	}
	replicas[1].InFlight = 0
	require.Zero(t, picks(startTime.Add(minEjection + time.Second))[1], "slow start: with a tenth of its share, the next request counts as ten")
	require.Equal(t, 30, picks(startTime.Add(minEjection + slowStart))[1])
	for _, agent := range []string{"agent-0", "agent-1", "agent-2"} {
		for range plainEjectThreshold {
			p.Finished(agent, true, startTime.Add(time.Hour))
		}
	}
	require.GreaterOrEqual(t, p.Choose(request, replicas, startTime.Add(time.Hour)).Index, 0, "ejections are ignored if too many replicas are ejected")
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{50, 1200} {
		for _, digests := range []int{4, 64} {
			b.Run(fmt.Sprintf("replicas=%d/digests=%d", n, digests), func(b *testing.B) {
				benchmarkChoose(b, n, digests)
			})
		}
	}
}

func benchmarkChoose(b *testing.B, n, digests int) {
	random := rand.New(rand.NewPCG(1, 2))
	replicas := testReplicas(n, random)
	c := NewCombined(DefaultOptions(1))
	requests := make([]Request, 256)
	for i := range requests {
		requests[i] = Request{Demand: call.TokenDemand{PromptTokens: digests * 512, MaxTokens: 500}, Zone: "zone-1", Prefix: testDigests(uint64(i/4), digests)}
	}
	now := startTime
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Choose(&requests[i%len(requests)], replicas, now)
		i++
	}
}
