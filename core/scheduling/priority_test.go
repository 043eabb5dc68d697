package scheduling

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const capacity = 400_000

var start = time.Unix(1_700_000_000, 0)

func id(n uint64) (id call.ID) {
	binary.LittleEndian.PutUint64(id[:], n)
	return id
}

func item(n uint64, organisation string, prompt int, at time.Time) Item {
	return Item{ID: id(n), Organisation: organisation, Work: call.TokenDemand{PromptTokens: prompt, MaxTokens: 100}, Enqueued: at, Deadline: at.Add(10 * time.Minute)}
}

func queue(objective document.Objective) *Priority {
	return NewPriority(SettingsFor(objective, capacity))
}

// Every item pushed is popped, removed or expired exactly once, as a plain list of items
// says; nothing is popped that does not fit; a twin queue decides alike; and an empty
// engine is never refused work.
func TestEveryItemLeavesExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := rapid.SampledFrom([]document.Objective{document.ShortSlowdown, document.TimeToFirstToken}).Draw(t, "objective")
		q, twin := queue(objective), queue(objective)
		naive := make(map[call.ID]Item)
		now := start
		next := uint64(0)
		leaves := func(i Item) {
			require.Contains(t, naive, i.ID)
			delete(naive, i.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				i := item(next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), rapid.SampledFrom([]int{1, 500, 8000, 20_000, 150_000, 390_000, 900_000}).Draw(t, "prompt"), now)
				i.Deadline = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
				require.True(t, q.Push(i))
				require.True(t, twin.Push(i))
				require.False(t, q.Push(i), "the same ID again")
				naive[i.ID] = i
			},
			"pop": func(t *rapid.T) {
				free := int64(rapid.IntRange(0, capacity).Draw(t, "free"))
				i, ok := q.Pop(now, free)
				j, also := twin.Pop(now, free)
				require.Equal(t, ok, also)
				require.Equal(t, i, j)
				if ok {
					leaves(i)
					require.LessOrEqual(t, min(int64(i.Work.Tokens()), capacity), free)
				}
			},
			"drain one": func(t *rapid.T) {
				i, ok := q.Pop(now, capacity)
				twin.Pop(now, capacity)
				require.Equal(t, len(naive) > 0, ok, "an empty engine starts something")
				if ok {
					leaves(i)
				}
			},
			"remove": func(t *rapid.T) {
				victim := id(uint64(rapid.IntRange(0, int(next)+1).Draw(t, "id")))
				_, queued := naive[victim]
				require.Equal(t, queued, q.Remove(victim))
				twin.Remove(victim)
				delete(naive, victim)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond)
				twin.Expire(now)
				for _, i := range q.Expire(now) {
					require.True(t, now.Add(q.settings.prefill(&i)).After(i.Deadline))
					leaves(i)
				}
				for _, i := range naive {
					require.False(t, now.Add(q.settings.prefill(&i)).After(i.Deadline), "can't be met but still queued")
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(naive), q.Len())
				var queued [call.NumClasses]int64
				for _, i := range naive {
					queued[call.ClassOf(i.Work.PromptTokens)] += uncached(&i)
				}
				require.Equal(t, queued, q.queued)
				for _, i := range naive {
					if call.ClassOf(i.Work.PromptTokens) == call.Short && q.isFlooder(i.Organisation) {
						queued[call.Short] -= uncached(&i)
					}
				}
				require.Equal(t, queued, q.Queued())
			},
		})
	})
}

// Symptom: a long prompt expires unstarted although the engine serves on.
// Sequence: short prompts arrive faster than they start, for as long as the long one waits.
// Cause: strict priority of short over long. The bound: once aged, the long one starts at
// the next Pop with memory, or after the short ones' turn for those aged before it.
func TestLongWaitIsBoundedUnderAFloodOfShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue(rapid.SampledFrom([]document.Objective{document.ShortSlowdown, document.TimeToFirstToken}).Draw(t, "objective"))
		longs := rapid.IntRange(1, 4).Draw(t, "longs")
		const prompt = 120_000
		next, now := uint64(0), start
		push := func(organisation string, tokens int) {
			next++
			require.True(t, q.Push(item(next, organisation, tokens, now)))
		}
		for range longs {
			push("big", prompt)
		}
		for range 50 {
			push("small", 4000)
		}
		now = now.Add(q.settings.MaxWait[call.Long])
		shortTokens := 0.0
		for started := 0; started < longs; {
			push("small", 4000)
			i, ok := q.Pop(now, capacity)
			require.True(t, ok)
			if i.Organisation == "big" {
				started++
				continue
			}
			shortTokens += float64(i.Work.Tokens())
			require.LessOrEqual(t, shortTokens, float64(started)*(q.settings.ShortTurn*(prompt+100)+4100))
		}
	})
}

// Symptom: an aged long prompt never gets its memory together.
// Sequence: memory comes free 4,000 tokens at a time and a short prompt takes each bit.
// Cause: short prompts may start whenever they fit.
func TestMemoryGathersForAnAgedItem(t *testing.T) {
	q := queue(document.ShortSlowdown)
	require.True(t, q.Push(item(1, "big", 200_000, start)))
	for n := range uint64(100) {
		require.True(t, q.Push(item(n+2, "small", 4000, start)))
	}
	now := start.Add(q.settings.MaxWait[call.Long])
	q.SetRunning(Running{ShortMemory: int64(q.settings.ShortShare * capacity)})
	for free := int64(0); free < 200_100+40_000; free += 4100 {
		_, ok := q.Pop(now, free)
		require.False(t, ok, free)
	}
	i, ok := q.Pop(now, 200_100+40_000)
	require.True(t, ok)
	require.Equal(t, id(1), i.ID)
}

func TestLongLeavesTheShareForShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue(document.ShortSlowdown)
		free := int64(capacity)
		now := start
		for n := range uint64(40) {
			require.True(t, q.Push(item(n+1, "big", rapid.IntRange(call.ShortMax+1, 150_000).Draw(t, "prompt"), now)))
		}
		for {
			i, ok := q.Pop(now, free)
			if !ok {
				break
			}
			free -= int64(i.Work.Tokens())
		}
		require.GreaterOrEqual(t, free, int64(q.settings.ShortShare*capacity))
		require.True(t, q.Push(item(99, "small", call.ShortMax, now)))
		_, ok := q.Pop(now, free)
		require.True(t, ok, "a short one always fits")
	})
}

// A flooding organisation gets no more tokens than another that always has work queued,
// but for one quantum and one item.
func TestOrganisationsShareByTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue(document.ShortSlowdown)
		next := uint64(0)
		push := func(organisation string, prompt int) {
			next++
			require.True(t, q.Push(item(next, organisation, prompt, start)))
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 700 {
			push("flood", 1+random.IntN(call.ShortMax))
		}
		used := map[string]int{}
		for range 300 {
			push("modest", 1+random.IntN(call.ShortMax))
			i, ok := q.Pop(start, capacity)
			require.True(t, ok)
			used[i.Organisation] += i.Work.Tokens()
			require.LessOrEqual(t, used["flood"]-used["modest"], 2*call.ShortMax+100)
		}
	})
}

// Symptom: other organisations' requests find no room though it is their turn.
// Sequence: one organisation fills memory and engine, then another's request arrives.
// Cause: a fair queue alone hands out all room while nobody else waits.
func TestFloodingOrganisationLeavesRoom(t *testing.T) {
	q := queue(document.ShortSlowdown)
	now, next := start, uint64(0)
	push := func(organisation string, prompt int) {
		next++
		require.True(t, q.Push(item(next, organisation, prompt, now)))
	}
	for range 200 {
		push("flood", 4000)
	}
	push("modest", 4000)
	free := int64(capacity)
	for {
		q.SetRunning(Running{})
		i, ok := q.Pop(now, free)
		if !ok {
			break
		}
		free -= int64(i.Work.Tokens())
	}
	require.GreaterOrEqual(t, free, int64(othersShare*capacity))
	require.Zero(t, q.Queued()[call.Short], "others don't wait for the flood")
	flood, modest := item(1000, "flood", 4000, now), item(1001, "modest", 4000, now)
	require.Positive(t, q.Ahead(&flood))
	require.Zero(t, q.Ahead(&modest))
	require.Equal(t, PriorityFlood, q.EnginePriority(&flood, now))
	push("modest", 4000)
	i, ok := q.Pop(now, free)
	require.True(t, ok)
	require.Equal(t, "modest", i.Organisation)
	push("modest", 20_000)
	i, ok = q.Pop(now, capacity)
	require.True(t, ok)
	require.Equal(t, 20_000, i.Work.PromptTokens, "the flood goes last")
}

// Symptom: after a pause an organisation has the queue to itself.
// Sequence: b uses some, goes idle while a goes on, and comes back with many items.
// Cause: b's virtual time stood still, so that idle time counts as unused share.
func TestIdleTimeIsNotSavedUp(t *testing.T) {
	q := queue(document.ShortSlowdown)
	next := uint64(0)
	push := func(organisation string, count int) {
		for range count {
			next++
			require.True(t, q.Push(item(next, organisation, 4000, start)))
		}
	}
	starts := func(count int) map[string]int {
		started := make(map[string]int)
		for range count {
			i, ok := q.Pop(start, capacity)
			require.True(t, ok)
			started[i.Organisation]++
		}
		return started
	}
	push("a", 100)
	push("b", 5)
	require.Equal(t, 5, starts(10)["b"])
	starts(40)
	push("b", 20)
	require.InDelta(t, 10, starts(20)["b"], 1)
}

func TestAgingRaisesEnginePriority(t *testing.T) {
	q := queue(document.ShortSlowdown)
	long := item(1, "a", 200_000, start)
	require.Equal(t, PriorityLong, q.EnginePriority(&long, start))
	require.Equal(t, PriorityAged, q.EnginePriority(&long, start.Add(time.Minute)))
	short := item(2, "a", 100, start)
	require.Equal(t, PriorityShort, q.EnginePriority(&short, start))
}

func BenchmarkPushPop(b *testing.B) {
	for _, organisations := range []int{10, 10_000} {
		b.Run(fmt.Sprintf("queued=10000/organisations=%d", organisations), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			q := queue(document.ShortSlowdown)
			q.settings.Limit++
			names := make([]string, organisations)
			for i := range names {
				names[i] = fmt.Sprint("organisation-", i)
			}
			now := start
			push := func(n uint64) {
				prompt := 1 + random.IntN(call.ShortMax)
				if n%50 == 0 {
					prompt = call.MediumMax + random.IntN(300_000)
				}
				q.Push(item(n, names[random.IntN(organisations)], prompt, now))
			}
			for n := range uint64(10_000) {
				push(n)
			}
			n := uint64(10_000)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				push(n)
				q.Pop(now, capacity)
				n++
			}
		})
	}
}
