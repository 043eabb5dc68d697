// Package policytest compares routing and scheduling policies in small deterministic
// simulations of engines. Its results only compare policies; they don't predict the
// performance of the system.
package policytest

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/prefix"
	"acaciacleat.example/core/routing"
	"acaciacleat.example/core/scheduling"
)

// The parameters of the simulation.
const (
	prefillRate    = 40_000 // tokens/s of one engine
	capacityTokens = 400_000
	chunkTokens    = 4096 // prompt tokens prefilled between two decisions of an engine
	decodeTokens   = 300
	decodeDuration = 8 * time.Second // memory is held for this time after the first token
	reportInterval = 500 * time.Millisecond
	reportLag      = time.Second // delay until entries receive a load report
	zoneCount      = 3
	entryCount     = 3
)

var epoch = time.Unix(1_700_000_000, 0)

// job is a prompt sent to an engine.
type job struct {
	arrival
	item         scheduling.Item
	remaining    float64 // prompt tokens to prefill
	priority     int     // lower runs first
	startOrder   int     // order among jobs of the same priority
	cachedTokens int     // prompt tokens that were in the engine's cache
}

// engine simulates an engine that prefills its running job of the highest priority, chunk by
// chunk.
type engine struct {
	queue       scheduling.Queue
	jobs        map[call.ID]*job
	running     []*job
	free        int64 // tokens
	shortMemory int64 // tokens held by short prompts, without those of a flood
	busy        bool
	cache       map[uint64]time.Duration // cached digests and the time of their last use
	startCount  int
}

// maxCachedDigests bounds an engine's cache, in digests: twice its memory at 4,096 tokens per
// digest.
const maxCachedDigests = 2 * capacityTokens / 4096

// cachedDepth returns the number of leading digests that are cached.
func (e *engine) cachedDepth(list []uint64) int {
	depth := 0
	for depth < len(list) {
		if _, ok := e.cache[list[depth]]; !ok {
			break
		}
		depth++
	}
	return depth
}

// store caches the digests of a prompt and evicts the least recently used ones.
func (e *engine) store(list []uint64, at time.Duration) {
	for i, digest := range list {
		e.cache[digest] = at - time.Duration(i) // the deepest digests of a prompt are evicted first
	}
	for len(e.cache) > maxCachedDigests {
		oldest, key := time.Duration(math.MaxInt64), uint64(0)
		for digest, used := range e.cache {
			if used < oldest || used == oldest && digest < key {
				oldest, key = used, digest
			}
		}
		delete(e.cache, key)
	}
}

// addMemory allocates (sign 1) or frees (sign -1) the memory of a job.
func (e *engine) addMemory(j *job, sign int64) {
	tokens := sign * int64(j.item.Work.Tokens())
	e.free -= tokens
	if j.promptTokens <= call.ShortMax && j.priority != scheduling.PriorityFlood {
		e.shortMemory += tokens
	}
}

func (e *engine) runningLoad() scheduling.Running {
	running := scheduling.Running{ShortMemory: e.shortMemory}
	for _, j := range e.running {
		if j.priority == scheduling.PriorityFlood {
			running.FloodPrefill += int64(j.remaining)
		} else {
			running.Prefill[call.ClassOf(j.promptTokens)] += int64(j.remaining)
		}
	}
	return running
}

func (e *engine) load() routing.Load {
	l := routing.Load{FreeTokens: e.free, CapacityTokens: capacityTokens, PrefillRate: prefillRate}
	if q, ok := e.queue.(*scheduling.Priority); ok {
		l.QueuedPrompt = q.QueuedTokens()
	} else {
		for _, j := range e.jobs {
			l.QueuedPrompt[call.ClassOf(j.promptTokens)] += int64(j.promptTokens)
		}
	}
	for _, j := range e.running {
		l.RunningPrompt[call.ClassOf(j.promptTokens)] += int64(j.remaining)
	}
	l.RunningCalls, l.QueuedCalls = int32(len(e.running)), int32(e.queue.Len())
	return l
}

// event is an action at a time; order breaks ties.
type event struct {
	at     time.Duration
	order  int
	action func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// sample is the outcome of one prompt.
type sample struct {
	arrival
	ttft         time.Duration
	cachedTokens int
}

// traceSimulation simulates entries with a routing policy and engines with a queue.
type traceSimulation struct {
	events    events
	lastOrder int
	now       time.Duration
	engines   []*engine
	views     [entryCount][]routing.Replica
	policies  [entryCount]routing.Policy
	objective document.Objective
	samples   []sample
}

func (m *traceSimulation) schedule(d time.Duration, action func()) {
	m.lastOrder++
	heap.Push(&m.events, event{m.now + d, m.lastOrder, action})
}

// simulateTrace simulates a trace with a routing policy and a type of queue and returns the
// outcomes.
func simulateTrace(policy func(seed uint64) routing.Policy, seed uint64, engineCount int, arrivals []arrival, objective document.Objective, newQueue func() scheduling.Queue) []sample {
	m := &traceSimulation{objective: objective}
	for range engineCount {
		m.engines = append(m.engines, &engine{queue: newQueue(), jobs: make(map[call.ID]*job), free: capacityTokens, cache: make(map[uint64]time.Duration)})
	}
	for i := range entryCount {
		m.policies[i] = policy(seed + uint64(i))
		for n := range engineCount {
			m.views[i] = append(m.views[i], routing.Replica{Agent: fmt.Sprint("agent-", n), Zone: fmt.Sprint(n % zoneCount), Incarnation: 1, LoadTakenAt: epoch, Load: m.engines[n].load()})
		}
	}
	for i, a := range arrivals {
		m.schedule(a.at, func() { m.arrive(i, a) })
	}
	last := arrivals[len(arrivals)-1].at
	m.schedule(0, func() { m.sendReports(last) })
	for m.events.Len() > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.action()
	}
	return m.samples
}

// sendReports sends each engine's load to all entries, which receive it reportLag later. It
// repeats this every reportInterval until the time last.
func (m *traceSimulation) sendReports(last time.Duration) {
	for n, e := range m.engines {
		load := e.load()
		m.schedule(reportLag, func() {
			for i := range m.views {
				r := &m.views[i][n]
				r.Load, r.LoadTakenAt, r.InFlight, r.InFlightPrompt = load, epoch.Add(m.now), 0, 0
			}
		})
	}
	if m.now < last {
		m.schedule(reportInterval, func() { m.sendReports(last) })
	}
}

// arrive routes the prompt of arrival n and queues it at the chosen engine. A prompt that the
// queue refuses gets no sample.
func (m *traceSimulation) arrive(n int, a arrival) {
	entry := n % entryCount
	demand := call.TokenDemand{PromptTokens: a.promptTokens, MaxTokens: decodeTokens}
	deadline := epoch.Add(m.now + 10*time.Minute)
	request := routing.Request{Demand: demand, Zone: fmt.Sprint(entry % zoneCount), Objective: m.objective, Prefix: a.digests, PromptBytes: a.promptTokens * 4, Deadline: deadline}
	choice := m.policies[entry].Choose(&request, m.views[entry], epoch.Add(m.now))
	view := &m.views[entry][choice.Index]
	view.InFlight++
	view.InFlightPrompt += int64(a.promptTokens)
	e := m.engines[choice.Index]
	cached := min(a.promptTokens, prefix.Boundary(e.cachedDepth(a.digests))/4)
	var id call.ID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	j := &job{arrival: a, item: scheduling.Item{ID: id, Organisation: fmt.Sprint(a.organisation), Work: demand, CachedTokens: cached, Enqueued: epoch.Add(m.now), Deadline: deadline}}
	if e.queue.Push(j.item) {
		e.jobs[id] = j
		m.startJobs(e)
	}
}

// startJobs starts the jobs that the queue releases.
func (m *traceSimulation) startJobs(e *engine) {
	if q, ok := e.queue.(*scheduling.Priority); ok {
		q.SetRunning(e.runningLoad())
	}
	for {
		item, ok := e.queue.Pop(epoch.Add(m.now), e.free)
		if !ok {
			break
		}
		j := e.jobs[item.ID]
		delete(e.jobs, item.ID)
		j.cachedTokens = min(j.promptTokens, prefix.Boundary(e.cachedDepth(j.digests))/4)
		j.remaining = float64(j.promptTokens - j.cachedTokens)
		e.startCount++
		j.startOrder = e.startCount
		if q, ok := e.queue.(*scheduling.Priority); ok {
			j.priority = q.EnginePriority(&item, epoch.Add(m.now))
		}
		e.addMemory(j, 1)
		e.running = append(e.running, j)
	}
	if !e.busy && len(e.running) > 0 {
		m.prefill(e)
	}
}

// prefill processes one chunk of the running job with the highest priority.
func (m *traceSimulation) prefill(e *engine) {
	best := slices.MinFunc(e.running, func(a, b *job) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return a.startOrder - b.startOrder
	})
	step := min(best.remaining, chunkTokens)
	e.busy = true
	m.schedule(time.Duration((step+1)/prefillRate*float64(time.Second)), func() {
		e.busy = false
		best.remaining -= step
		if best.remaining <= 0 {
			m.completePrefill(e, best)
		}
		m.startJobs(e)
	})
}

// completePrefill ends a job's prefill. The job holds its memory while it decodes.
func (m *traceSimulation) completePrefill(e *engine, j *job) {
	e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
	e.store(j.digests, m.now)
	m.samples = append(m.samples, sample{arrival: j.arrival, ttft: m.now - j.at, cachedTokens: j.cachedTokens})
	m.schedule(decodeDuration, func() {
		e.addMemory(j, -1)
		m.startJobs(e)
	})
}
