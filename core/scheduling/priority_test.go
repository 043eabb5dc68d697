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

func testItem(n uint64, organisation string, prompt int, at time.Time) Item {
	return Item{ID: id(n), Organisation: organisation, Work: call.TokenDemand{PromptTokens: prompt, MaxTokens: 100}, Enqueued: at, Deadline: at.Add(10 * time.Minute)}
}

func newTestQueue(objective document.Objective) *Priority {
	return NewPriority(SettingsFor(objective, capacity))
}

// Compares the queue with a map of queued items. Every pushed item is popped, removed or
// expired exactly once, no item is popped that does not fit, two queues with the same input
// make the same decisions, and an empty engine always gets an item if one is queued.
func TestEveryItemIsRemovedExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		objective := rapid.SampledFrom([]document.Objective{document.ShortSlowdown, document.TimeToFirstToken}).Draw(t, "objective")
		q, second := newTestQueue(objective), newTestQueue(objective)
		model := make(map[call.ID]Item)
		now := start
		next := uint64(0)
		requireQueued := func(i Item) {
			require.Contains(t, model, i.ID)
			delete(model, i.ID)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				i := testItem(next, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), rapid.SampledFrom([]int{1, 500, 8000, 20_000, 150_000, 390_000, 900_000}).Draw(t, "prompt"), now)
				i.Deadline = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
				require.True(t, q.Push(i))
				require.True(t, second.Push(i))
				require.False(t, q.Push(i), "the same ID again")
				model[i.ID] = i
			},
			"pop": func(t *rapid.T) {
				free := int64(rapid.IntRange(0, capacity).Draw(t, "free"))
				i, ok := q.Pop(now, free)
				j, secondOK := second.Pop(now, free)
				require.Equal(t, ok, secondOK)
				require.Equal(t, i, j)
				if ok {
					requireQueued(i)
					require.LessOrEqual(t, min(int64(i.Work.Tokens()), capacity), free)
				}
			},
			"drain one": func(t *rapid.T) {
				i, ok := q.Pop(now, capacity)
				second.Pop(now, capacity)
				require.Equal(t, len(model) > 0, ok, "an empty engine starts an item")
				if ok {
					requireQueued(i)
				}
			},
			"remove": func(t *rapid.T) {
				removed := id(uint64(rapid.IntRange(0, int(next)+1).Draw(t, "id")))
				_, queued := model[removed]
				require.Equal(t, queued, q.Remove(removed))
				second.Remove(removed)
				delete(model, removed)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond)
				second.Expire(now)
				for _, i := range q.Expire(now) {
					require.True(t, now.Add(q.settings.prefillTime(&i)).After(i.Deadline))
					requireQueued(i)
				}
				for _, i := range model {
					require.False(t, now.Add(q.settings.prefillTime(&i)).After(i.Deadline), "an item that can't meet its deadline is still queued")
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(model), q.Len())
				var queued [call.NumClasses]int64
				for _, i := range model {
					queued[call.ClassOf(i.Work.PromptTokens)] += uncachedTokens(&i)
				}
				require.Equal(t, queued, q.queued)
				for _, i := range model {
					if call.ClassOf(i.Work.PromptTokens) == call.Short && q.isOrganisationFlooding(i.Organisation) {
						queued[call.Short] -= uncachedTokens(&i)
					}
				}
				require.Equal(t, queued, q.QueuedTokens())
			},
		})
	})
}

// Under strict priority of short items, a long item would expire unstarted while short
// items arrive faster than they start. Once aged, a long item starts at the next Pop with
// enough memory, or after the short quota of the long items that aged before it.
func TestLongItemsStartWhileShortItemsKeepArriving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(rapid.SampledFrom([]document.Objective{document.ShortSlowdown, document.TimeToFirstToken}).Draw(t, "objective"))
		longItems := rapid.IntRange(1, 4).Draw(t, "longs")
		const prompt = 120_000
		next, now := uint64(0), start
		push := func(organisation string, tokens int) {
			next++
			require.True(t, q.Push(testItem(next, organisation, tokens, now)))
		}
		for range longItems {
			push("big", prompt)
		}
		for range 50 {
			push("small", 4000)
		}
		now = now.Add(q.settings.MaxWait[call.Long])
		shortTokens := 0.0
		for started := 0; started < longItems; {
			push("small", 4000)
			i, ok := q.Pop(now, capacity)
			require.True(t, ok)
			if i.Organisation == "big" {
				started++
				continue
			}
			shortTokens += float64(i.Work.Tokens())
			require.LessOrEqual(t, shortTokens, float64(started)*(q.settings.ShortPerAgedToken*(prompt+100)+4100))
		}
	})
}

// Memory becomes free 4,000 tokens at a time. If a short item could start whenever it fits,
// short items would take all of it and the aged long item would never start.
func TestShortItemsLeaveMemoryToAnAgedItem(t *testing.T) {
	q := newTestQueue(document.ShortSlowdown)
	require.True(t, q.Push(testItem(1, "big", 200_000, start)))
	for n := range uint64(100) {
		require.True(t, q.Push(testItem(n+2, "small", 4000, start)))
	}
	now := start.Add(q.settings.MaxWait[call.Long])
	q.SetRunning(Running{ShortMemory: int64(q.settings.ShortMemoryShare * capacity)})
	for free := int64(0); free < 200_100+40_000; free += 4100 {
		_, ok := q.Pop(now, free)
		require.False(t, ok, free)
	}
	i, ok := q.Pop(now, 200_100+40_000)
	require.True(t, ok)
	require.Equal(t, id(1), i.ID)
}

// Long items that arrive first must not fill the memory share of short items: a short item would
// wait until one of them finishes.
func TestLongItemsLeaveTheShareOfShortItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(document.ShortSlowdown)
		free := int64(capacity)
		now := start
		for n := range uint64(40) {
			require.True(t, q.Push(testItem(n+1, "big", rapid.IntRange(call.ShortMax+1, 150_000).Draw(t, "prompt"), now)))
		}
		for {
			i, ok := q.Pop(now, free)
			if !ok {
				break
			}
			free -= int64(i.Work.Tokens())
		}
		require.GreaterOrEqual(t, free, int64(q.settings.ShortMemoryShare*capacity))
		require.True(t, q.Push(testItem(99, "small", call.ShortMax, now)))
		_, ok := q.Pop(now, free)
		require.True(t, ok, "a short item always fits")
	})
}

// A flooding organisation gets no more tokens than another that always has items queued,
// except for one quantum and one item.
func TestOrganisationsShareByTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(document.ShortSlowdown)
		next := uint64(0)
		push := func(organisation string, prompt int) {
			next++
			require.True(t, q.Push(testItem(next, organisation, prompt, start)))
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

// One organisation floods the queue before requests of another arrive. With fair queueing
// alone it would fill the memory while no other organisation waits, and the later requests
// would find no free memory.
func TestFloodingOrganisationLeavesMemoryToOthers(t *testing.T) {
	q := newTestQueue(document.ShortSlowdown)
	now, next := start, uint64(0)
	push := func(organisation string, prompt int) {
		next++
		require.True(t, q.Push(testItem(next, organisation, prompt, now)))
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
	require.GreaterOrEqual(t, free, int64(othersMemoryShare*capacity))
	require.Zero(t, q.QueuedTokens()[call.Short], "others don't wait for the flood")
	flood, modest := testItem(1000, "flood", 4000, now), testItem(1001, "modest", 4000, now)
	require.Positive(t, q.TokensAhead(&flood))
	require.Zero(t, q.TokensAhead(&modest))
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

// Organisation b starts some items, is idle while a continues, and returns with many items.
// If the virtual time of b did not advance in between, b would have the queue to itself
// until it caught up.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	q := newTestQueue(document.ShortSlowdown)
	next := uint64(0)
	push := func(organisation string, count int) {
		for range count {
			next++
			require.True(t, q.Push(testItem(next, organisation, 4000, start)))
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

// An aged item must also get a higher priority at the engine. Otherwise it would wait there behind
// items of the medium class.
func TestAgingRaisesEnginePriority(t *testing.T) {
	q := newTestQueue(document.ShortSlowdown)
	long := testItem(1, "a", 200_000, start)
	require.Equal(t, PriorityLong, q.EnginePriority(&long, start))
	require.Equal(t, PriorityAged, q.EnginePriority(&long, start.Add(time.Minute)))
	short := testItem(2, "a", 100, start)
	require.Equal(t, PriorityShort, q.EnginePriority(&short, start))
}

func BenchmarkPushPop(b *testing.B) {
	for _, organisations := range []int{10, 10_000} {
		b.Run(fmt.Sprintf("queued=10000/organisations=%d", organisations), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			q := newTestQueue(document.ShortSlowdown)
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
				q.Push(testItem(n, names[random.IntN(organisations)], prompt, now))
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

// Guards against an item without a deadline that is urgent at the engine but not in the queue.
func TestItemWithoutDeadlineIsNeverUrgent(t *testing.T) {
	q := newTestQueue(document.TimeToFirstToken)
	for class, tokens := range map[int]int{PriorityMedium: call.MediumMax, PriorityLong: call.LongMax} {
		item := Item{ID: call.ID{byte(class)}, Work: call.TokenDemand{PromptTokens: tokens}, Enqueued: start}
		require.True(t, q.Push(item))
		require.Equal(t, class, q.EnginePriority(&item, start.Add(time.Millisecond)))
		require.Empty(t, q.Expire(start.Add(time.Hour)))
	}
}
