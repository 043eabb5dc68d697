package engine

import (
	"sort"
	"time"

	peer "acaciacleat.example/peers/engine"
)

// catchUp bounds how far the steps may lag behind their schedule on a busy machine
// before the schedule is moved.
const catchUp = 50 * time.Millisecond

// step is one iteration over the batch.
type step struct {
	decode  []*sequence
	prefill []chunk
	lasts   time.Duration
}

// chunk is the part of a prompt that one step computes.
type chunk struct {
	seq    *sequence
	tokens int
}

// kick starts the step loop if there is work that it can do. The lock is held.
func (e *Engine) kick() {
	if e.looping || e.closed {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.looping = true
	go e.loop()
}

// loop runs steps until nothing runs. Each step's end is scheduled from the one
// before, so that the timer's error does not add up.
func (e *Engine) loop() {
	next := time.Now()
	for {
		s, ok := e.beginStep()
		if !ok {
			return
		}
		next = next.Add(s.lasts)
		if late := time.Since(next); late > catchUp {
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
		e.looping = false
		return step{}, false
	}
	e.stats.Steps++
	return e.plan(), true
}

// plan gives the step's budget first to the requests that decode and then to prompts,
// in order of priority. A group of n engines computes n tokens for the cost of one.
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
		tokens := min(seq.toPrefill-seq.prefilled, budget*seq.share)
		s.prefill = append(s.prefill, chunk{seq, tokens})
		used := (tokens + seq.share - 1) / seq.share
		budget -= used
		cost += used
	}
	s.lasts = e.stepTime(len(s.decode), cost)
	return s
}

func (e *Engine) stepTime(decoding, prefillTokens int) time.Duration {
	lasts := time.Duration(float64(prefillTokens) / e.config.PrefillRate * float64(time.Second))
	if decoding > 0 {
		lasts += e.config.DecodeStep + time.Duration(decoding)*e.config.DecodePerSeq
	}
	return lasts
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

// prefill notes computed prompt tokens. The step that ends a prompt gives a token too.
func (e *Engine) prefill(seq *sequence, tokens int) {
	first := seq.prefilled / peer.BlockTokens
	seq.prefilled += tokens
	last := min(seq.prefilled/peer.BlockTokens, len(seq.blocks))
	for i := first; i < last; i++ {
		e.cache.add(seq.blocks, i)
	}
	if seq.decoding() {
		e.produce(seq, 1)
	}
}

func (e *Engine) produce(seq *sequence, tokens int) {
	produced := min(seq.limit, int(seq.produced.Load())+tokens)
	seq.produced.Store(int64(produced))
	if produced == seq.limit {
		e.stats.Completed++
		e.finish(seq, outcome{usage: seq.usage()})
		return
	}
	seq.signal()
}

// admit moves requests from the queue into the batch, in order and as far as memory
// reaches. A request that does not fit holds back those behind it. The lock is held.
func (e *Engine) admit() {
	for len(e.waiting) > 0 {
		head := e.waiting[0]
		if !e.fits(head) && !e.makeRoom(head) {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(head)
	}
}

func (e *Engine) fits(seq *sequence) bool {
	reserved := e.reservedFor(seq.id)
	return len(e.running) < e.config.MaxBatch && e.used-reserved+seq.need <= e.config.EngineTokens
}

// makeRoom preempts running requests of lower priority, the lowest and latest first, if
// that is enough for seq.
func (e *Engine) makeRoom(seq *sequence) bool {
	if !e.config.Preempt {
		return false
	}
	free := e.config.EngineTokens - e.used + e.reservedFor(seq.id)
	slots := e.config.MaxBatch - len(e.running)
	var victims []*sequence
	for i := len(e.running) - 1; i >= 0; i-- {
		if free >= seq.need && slots > 0 {
			break
		}
		victim := e.running[i]
		if victim.priority <= seq.priority {
			break
		}
		victims = append(victims, victim)
		free += victim.need
		slots++
	}
	if free < seq.need || slots <= 0 {
		return false
	}
	for _, victim := range victims {
		e.preempt(victim)
	}
	return true
}

func (e *Engine) start(seq *sequence) {
	e.dropReservation(seq.id)
	e.used += seq.need
	seq.running = true
	e.running = insert(e.running, seq)
	if !seq.started {
		seq.started = true
		e.stats.Runs[seq.id]++
	}
	seq.toPrefill = seq.prompt + int(seq.produced.Load())
	hits := e.cache.hit(seq.blocks)
	// The last prompt token is always computed: it gives the first token of the answer.
	seq.prefilled = min(hits*peer.BlockTokens, seq.toPrefill-1)
	seq.cached = seq.prefilled
	e.cache.shrink(e.cacheRoom())
	e.touch()
}

func (e *Engine) preempt(seq *sequence) {
	e.stats.Preempted++
	e.running = remove(e.running, seq)
	seq.running = false
	e.used -= seq.need
	e.waiting = insert(e.waiting, seq)
}

// finish ends a sequence in any state and frees what it holds; a second call does
// nothing. The lock is held.
func (e *Engine) finish(seq *sequence, o outcome) {
	if seq.end != nil {
		return
	}
	seq.end = &o
	if seq.running {
		seq.running = false
		e.running = remove(e.running, seq)
		e.used -= seq.need
		e.cache.use(seq.blocks)
	} else {
		e.waiting = remove(e.waiting, seq)
	}
	delete(e.sequences, seq.run)
	seq.ended.Store(&o)
	seq.signal()
	e.changed()
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
