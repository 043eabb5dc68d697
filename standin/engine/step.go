package engine

import (
	"sort"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// maxScheduleLag is how far the steps may lag behind their schedule on a busy machine before the
// schedule is shifted.
const maxScheduleLag = 50 * time.Millisecond

// step is one iteration over the batch.
type step struct {
	decode   []*sequence
	prefill  []chunk
	duration time.Duration
}

// chunk is the part of a prompt that one step prefills.
type chunk struct {
	seq    *sequence
	tokens int
}

// startStepLoop admits waiting requests, and starts the step loop if one of them can run. It does
// nothing if the engine is closed, or if the loop is running, which admits requests itself. The caller
// holds e.mu.
func (e *Engine) startStepLoop() {
	if e.stepLoopRunning || e.closed {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepLoopRunning = true
	go e.stepLoop()
}

// stepLoop runs steps while there are running requests. It schedules the end of
// each step from that of the step before, so that timer errors do not accumulate.
func (e *Engine) stepLoop() {
	next := time.Now()
	for {
		s, ok := e.beginStep()
		if !ok {
			return
		}
		next = next.Add(s.duration)
		if late := time.Since(next); late > maxScheduleLag {
			next = next.Add(late)
		}
		time.Sleep(time.Until(next))
		e.endStep(s)
	}
}

func (e *Engine) beginStep() (step, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 || e.closed {
		e.stepLoopRunning = false
		return step{}, false
	}
	e.stats.Steps++
	return e.plan(), true
}

// plan assigns the step's budget first to the requests that decode and then to prompts in order of
// priority. A group of n engines prefills n tokens for the cost of one.
func (e *Engine) plan() step {
	var s step
	budget := e.config.StepTokens
	for _, seq := range e.running {
		if seq.decoding() {
			s.decode = append(s.decode, seq)
			budget -= e.config.TokensPerStep
		}
	}
	cost := 0
	for _, seq := range e.running {
		if seq.decoding() || budget <= 0 {
			continue
		}
		tokens := min(seq.prefillTarget-seq.prefilledTokens, budget*seq.groupSize)
		s.prefill = append(s.prefill, chunk{seq, tokens})
		groupCost := (tokens + seq.groupSize - 1) / seq.groupSize
		budget -= groupCost
		cost += groupCost
	}
	s.duration = e.stepTime(len(s.decode), cost)
	return s
}

func (e *Engine) stepTime(decoding, prefillTokens int) time.Duration {
	duration := time.Duration(float64(prefillTokens) / e.config.PrefillRate * float64(time.Second))
	if decoding > 0 {
		duration += e.config.DecodeStep + time.Duration(decoding)*e.config.DecodePerSeq
	}
	return duration
}

func (e *Engine) endStep(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, seq := range s.decode {
		if seq.running {
			e.produce(seq, e.config.TokensPerStep)
		}
	}
	for _, c := range s.prefill {
		if c.seq.running {
			e.prefill(c.seq, c.tokens)
		}
	}
}

// prefill records prefilled prompt tokens. The step that completes a prompt also produces a token.
func (e *Engine) prefill(seq *sequence, tokens int) {
	first := seq.prefilledTokens / peer.BlockTokens
	seq.prefilledTokens += tokens
	last := min(seq.prefilledTokens/peer.BlockTokens, len(seq.blocks))
	for i := first; i < last; i++ {
		e.cache.add(seq.blocks, i)
	}
	if seq.decoding() {
		e.produce(seq, 1)
	}
}

func (e *Engine) produce(seq *sequence, tokens int) {
	produced := min(seq.answerTokens, int(seq.produced.Load())+tokens)
	seq.produced.Store(int64(produced))
	if produced == seq.answerTokens {
		e.stats.Completed++
		e.finish(seq, outcome{usage: seq.usage()})
		return
	}
	seq.signal()
}

// admit moves requests from the queue into the batch, in order and while memory suffices. A request
// that does not fit blocks those behind it. The caller holds e.mu.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		head := e.waiting[0]
		if !e.fits(head) && !e.preemptFor(head) {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(head)
	}
}

func (e *Engine) fits(seq *sequence) bool {
	reserved := e.reservedFor(seq.id)
	return len(e.running) < e.config.MaxBatch && e.usedTokens-reserved+seq.memoryTokens <= e.config.EngineTokens
}

// preemptFor preempts running requests of lower priority, beginning with the lowest and latest, if
// that frees enough for seq.
func (e *Engine) preemptFor(seq *sequence) bool {
	if !e.config.Preempt {
		return false
	}
	free := e.config.EngineTokens - e.usedTokens + e.reservedFor(seq.id)
	slots := e.config.MaxBatch - len(e.running)
	var victims []*sequence
	for i := len(e.running) - 1; i >= 0; i-- {
		if free >= seq.memoryTokens && slots > 0 {
			break
		}
		victim := e.running[i]
		if victim.priority <= seq.priority {
			break
		}
		victims = append(victims, victim)
		free += victim.memoryTokens
		slots++
	}
	if free < seq.memoryTokens || slots <= 0 {
		return false
	}
	for _, victim := range victims {
		e.preempt(victim)
	}
	return true
}

func (e *Engine) start(seq *sequence) {
	e.dropReservation(seq.id)
	e.usedTokens += seq.memoryTokens
	seq.running = true
	e.running = insert(e.running, seq)
	if !seq.started {
		seq.started = true
		e.stats.Runs[seq.id]++
	}
	seq.prefillTarget = seq.promptTokens + int(seq.produced.Load())
	hits := e.cache.hit(seq.blocks)
	// The last prompt token is always computed: it produces the first token of the answer.
	seq.prefilledTokens = min(hits*peer.BlockTokens, seq.prefillTarget-1)
	seq.cachedTokens = seq.prefilledTokens
	e.cache.setLimit(e.cacheLimit())
	e.recordState()
}

func (e *Engine) preempt(seq *sequence) {
	e.stats.Preempted++
	e.running = remove(e.running, seq)
	seq.running = false
	e.usedTokens -= seq.memoryTokens
	e.waiting = insert(e.waiting, seq)
}

// finish ends a sequence in any state and releases its memory; a second call has no effect. The
// caller holds e.mu.
func (e *Engine) finish(seq *sequence, o outcome) {
	if seq.end != nil {
		return
	}
	seq.end = &o
	if seq.running {
		seq.running = false
		e.running = remove(e.running, seq)
		e.usedTokens -= seq.memoryTokens
		e.cache.use(seq.blocks)
	} else {
		e.waiting = remove(e.waiting, seq)
	}
	delete(e.sequences, seq.runID)
	seq.ended.Store(&o)
	seq.signal()
	e.memoryChanged()
}

func insert(list []*sequence, seq *sequence) []*sequence {
	i := sort.Search(len(list), func(i int) bool { return seq.before(list[i]) })
	list = append(list, nil)
	copy(list[i+1:], list[i:])
	list[i] = seq
	return list
}

func remove(list []*sequence, seq *sequence) []*sequence {
	for i, other := range list {
		if other == seq {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
