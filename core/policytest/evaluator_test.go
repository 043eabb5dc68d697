// Package policytest measures routing and scheduling policies against one another in a
// small deterministic model of engines. Its figures compare policies; they are not
// figures of the system.
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

// The shape of the model.
const (
	prefillRate  = 40_000 // tokens/s of one engine
	capacity     = 400_000
	chunk        = 4096 // prompt tokens between two decisions of an engine
	decodeTokens = 300
	decodeTime   = 8 * time.Second // memory is held as long after the first token
	reportEvery  = 500 * time.Millisecond
	reportLag    = time.Second
	zones        = 3
	entries      = 3
)

var epoch = time.Unix(1_700_000_000, 0)

// job is a prompt at an engine.
type job struct {
	arrival
	item   scheduling.Item
	left   float64 // prompt tokens to prefill
	order  int     // the engine's priority
	start  int     // sequence among equals
	cached int
}

// engine prefills its running job of the best priority chunk by chunk.
type engine struct {
	queue   scheduling.Queue
	jobs    map[call.ID]*job
	running []*job
	free    int64
	short   int64 // memory of short prompts
	busy    bool
	blocks  map[uint64]time.Duration // cached digests and when they were last used
	started int
}

// cacheBlocks bounds an engine's cache in digests, by its memory at 4,096 tokens a digest.
const cacheBlocks = 2 * capacity / 4096

func (e *engine) cachedDepth(list []uint64) int {
	depth := 0
	for depth < len(list) {
		if _, ok := e.blocks[list[depth]]; !ok {
			break
		}
		depth++
	}
	return depth
}

func (e *engine) store(list []uint64, at time.Duration) {
	for i, digest := range list {
		e.blocks[digest] = at - time.Duration(i) // of one prompt, the deepest goes first
	}
	for len(e.blocks) > cacheBlocks {
		oldest, key := time.Duration(math.MaxInt64), uint64(0)
		for digest, used := range e.blocks {
			if used < oldest || used == oldest && digest < key {
				oldest, key = used, digest
			}
		}
		delete(e.blocks, key)
	}
}

// hold takes (1) or gives back (-1) the memory of a job.
func (e *engine) hold(j *job, sign int64) {
	tokens := sign * int64(j.item.Work.Tokens())
	e.free -= tokens
	if j.prompt <= call.ShortMax && j.order != scheduling.PriorityFlood {
		e.short += tokens
	}
}

func (e *engine) held() scheduling.Running {
	running := scheduling.Running{ShortMemory: e.short}
	for _, j := range e.running {
		if j.order == scheduling.PriorityFlood {
			running.FloodPrefill += int64(j.left)
		} else {
			running.Prefill[call.ClassOf(j.prompt)] += int64(j.left)
		}
	}
	return running
}

func (e *engine) load() routing.Load {
	l := routing.Load{FreeTokens: e.free, CapacityTokens: capacity, PrefillRate: prefillRate}
	if q, ok := e.queue.(*scheduling.Priority); ok {
		l.QueuedPrompt = q.QueuedTokens()
	} else {
		for _, j := range e.jobs {
			l.QueuedPrompt[call.ClassOf(j.prompt)] += int64(j.prompt)
		}
	}
	for _, j := range e.running {
		l.RunningPrompt[call.ClassOf(j.prompt)] += int64(j.left)
	}
	l.RunningCalls, l.QueuedCalls = int32(len(e.running)), int32(e.queue.Len())
	return l
}

// event is something that happens at a time; order settles ties.
type event struct {
	at    time.Duration
	order int
	do    func()
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
	ttft   time.Duration
	cached int
}

type model struct {
	pending   events
	order     int
	now       time.Duration
	engines   []*engine
	views     [entries][]routing.Replica
	policies  [entries]routing.Policy
	objective document.Objective
	samples   []sample
}

func (m *model) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.pending, event{m.now + d, m.order, do})
}

// run plays a trace against a routing policy and a queue, and returns the outcomes.
func run(policy func(seed uint64) routing.Policy, seed uint64, count int, arrivals []arrival, objective document.Objective, newQueue func() scheduling.Queue) []sample {
	m := &model{objective: objective}
	for range count {
		m.engines = append(m.engines, &engine{queue: newQueue(), jobs: make(map[call.ID]*job), free: capacity, blocks: make(map[uint64]time.Duration)})
	}
	for i := range entries {
		m.policies[i] = policy(seed + uint64(i))
		for n := range count {
			m.views[i] = append(m.views[i], routing.Replica{Agent: fmt.Sprint("agent-", n), Zone: fmt.Sprint(n % zones), Incarnation: 1, Seen: epoch, Load: m.engines[n].load()})
		}
	}
	for i, a := range arrivals {
		m.after(a.at, func() { m.arrive(i, a) })
	}
	last := arrivals[len(arrivals)-1].at
	m.after(0, func() { m.reports(last) })
	for m.pending.Len() > 0 {
		e := heap.Pop(&m.pending).(event)
		m.now = e.at
		e.do()
	}
	return m.samples
}

// reports sends each engine's load to all entries, which see it reportLag later.
func (m *model) reports(last time.Duration) {
	for n, e := range m.engines {
		load := e.load()
		m.after(reportLag, func() {
			for i := range m.views {
				r := &m.views[i][n]
				r.Load, r.Seen, r.InFlight, r.InFlightPrompt = load, epoch.Add(m.now), 0, 0
			}
		})
	}
	if m.now < last {
		m.after(reportEvery, func() { m.reports(last) })
	}
}

func (m *model) arrive(n int, a arrival) {
	entry := n % entries
	work := call.TokenDemand{PromptTokens: a.prompt, MaxTokens: decodeTokens}
	deadline := epoch.Add(m.now + 10*time.Minute)
	request := routing.Request{Work: work, Zone: fmt.Sprint(entry % zones), Objective: m.objective, Prefix: a.digests, PromptBytes: a.prompt * 4, Deadline: deadline}
	choice := m.policies[entry].Choose(&request, m.views[entry], epoch.Add(m.now))
	view := &m.views[entry][choice.Index]
	view.InFlight++
	view.InFlightPrompt += int64(a.prompt)
	e := m.engines[choice.Index]
	cached := min(a.prompt, prefix.Boundary(e.cachedDepth(a.digests))/4)
	var id call.ID
	binary.BigEndian.PutUint64(id[:], uint64(n)+1)
	j := &job{arrival: a, item: scheduling.Item{ID: id, Organisation: fmt.Sprint(a.organisation), Work: work, CachedTokens: cached, Enqueued: epoch.Add(m.now), Deadline: deadline}}
	if e.queue.Push(j.item) {
		e.jobs[id] = j
		m.fill(e)
	}
}

// fill starts what the queue lets start.
func (m *model) fill(e *engine) {
	if q, ok := e.queue.(*scheduling.Priority); ok {
		q.SetRunning(e.held())
	}
	for {
		item, ok := e.queue.Pop(epoch.Add(m.now), e.free)
		if !ok {
			break
		}
		j := e.jobs[item.ID]
		delete(e.jobs, item.ID)
		j.cached = min(j.prompt, prefix.Boundary(e.cachedDepth(j.digests))/4)
		j.left = float64(j.prompt - j.cached)
		e.started++
		j.start = e.started
		if q, ok := e.queue.(*scheduling.Priority); ok {
			j.order = q.EnginePriority(&item, epoch.Add(m.now))
		}
		e.hold(j, 1)
		e.running = append(e.running, j)
	}
	if !e.busy && len(e.running) > 0 {
		m.prefill(e)
	}
}

// prefill does one chunk of the best running job.
func (m *model) prefill(e *engine) {
	best := slices.MinFunc(e.running, func(a, b *job) int {
		if a.order != b.order {
			return a.order - b.order
		}
		return a.start - b.start
	})
	step := min(best.left, chunk)
	e.busy = true
	m.after(time.Duration((step+1)/prefillRate*float64(time.Second)), func() {
		e.busy = false
		best.left -= step
		if best.left <= 0 {
			m.first(e, best)
		}
		m.fill(e)
	})
}

// first ends a job's prefill; its memory stays taken while it decodes.
func (m *model) first(e *engine, j *job) {
	e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
	e.store(j.digests, m.now)
	m.samples = append(m.samples, sample{arrival: j.arrival, ttft: m.now - j.at, cached: j.cached})
	m.after(decodeTime, func() {
		e.hold(j, -1)
		m.fill(e)
	})
}
