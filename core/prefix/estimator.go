package prefix

import (
	"math"
	"time"

	"acaciacleat.example/core/call"
)

const (
	// MaxHolders bounds the replicas that an Estimator knows; the design's largest fleet
	// has 1,200.
	MaxHolders = 4096
	// DefaultSlots is the default number of remembered digests: 64 bytes each, 2 MB in all.
	DefaultSlots = 32768
	// DefaultMaxAge is how long a match is believed without being renewed. An engine of
	// 400,000 tokens that prefills 5,000 uncached tokens/s turns its cache over in 80 s.
	DefaultMaxAge = 2 * time.Minute

	holdersPerSlot = 8 // fills a slot up to one cache line of 64 bytes
	ways           = 4 // slots in which a digest may lie
	tick           = 10 * time.Millisecond
)

// Holder numbers a replica within one Estimator. Zero is no replica.
type Holder uint16

// Match says that a replica is believed to hold the first Depth digests of a prompt.
type Match struct {
	Holder Holder
	Depth  int
}

// Event is a cache event of an engine, with its block given as a digest of this package.
type Event struct {
	Sequence uint64
	Digest   uint64
	Evicted  bool
}

// slot remembers who holds one digest. Stamps are ticks since the Estimator's start.
type slot struct {
	digest  uint64
	stamps  [holdersPerSlot]uint32
	holders [holdersPerSlot]Holder
	used    uint32
}

type holder struct {
	agent       string
	incarnation call.Incarnation
	// trustedFrom is the first tick whose knowledge still counts.
	trustedFrom uint32
	// sequence is that of the last cache event; synced is clear before the first one.
	sequence uint64
	synced   bool
	visit    uint32
}

// Estimator guesses which replica holds which prefix, from the reader's own decisions
// and from cache events. A wrong guess costs time and never correctness.
type Estimator struct {
	slots   []slot
	mask    uint64
	maxAge  uint32
	origin  time.Time
	holders []holder
	byAgent map[string]Holder
	free    []Holder
	visit   uint32
}

// NewEstimator returns an Estimator of at least slots digests (DefaultSlots when 0) that
// believes a match for maxAge (DefaultMaxAge when 0).
func NewEstimator(slots int, maxAge time.Duration) *Estimator {
	if slots <= 0 {
		slots = DefaultSlots
	}
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	size := ways
	for size < slots {
		size *= 2
	}
	return &Estimator{
		slots:   make([]slot, size),
		mask:    uint64(size/ways - 1),
		maxAge:  uint32(min(maxAge/tick, math.MaxInt32)),
		holders: make([]holder, 1, 64),
		byAgent: make(map[string]Holder),
	}
}

// Register returns the holder number of an agent's incarnation, or 0 when MaxHolders are
// known. A new incarnation of a known agent starts with nothing cached.
func (e *Estimator) Register(agent string, incarnation call.Incarnation, now time.Time) Holder {
	h, known := e.byAgent[agent]
	if !known {
		h = e.allocate()
		if h == 0 {
			return 0
		}
		e.byAgent[agent] = h
	}
	if entry := &e.holders[h]; !known || entry.incarnation != incarnation {
		*entry = holder{agent: agent, incarnation: incarnation, trustedFrom: e.ticks(now) + 1, visit: e.visit}
	}
	return h
}

func (e *Estimator) allocate() Holder {
	if n := len(e.free); n > 0 {
		h := e.free[n-1]
		e.free = e.free[:n-1]
		return h
	}
	if len(e.holders) > MaxHolders {
		return 0
	}
	e.holders = append(e.holders, holder{})
	return Holder(len(e.holders) - 1)
}

// Forget drops an agent that has left, so that its number can be given to another.
func (e *Estimator) Forget(agent string) {
	h, known := e.byAgent[agent]
	if !known {
		return
	}
	delete(e.byAgent, agent)
	e.holders[h] = holder{}
	e.free = append(e.free, h)
}

// ticks converts now. It wraps after 497 days; only differences below 248 days are used.
func (e *Estimator) ticks(now time.Time) uint32 {
	if e.origin.IsZero() {
		e.origin = now
	}
	return uint32(now.Sub(e.origin) / tick)
}

// Learn records that a prompt with these digests was sent to h.
func (e *Estimator) Learn(h Holder, digests []uint64, now time.Time) {
	if h == 0 {
		return
	}
	stamp := max(e.ticks(now), e.holders[h].trustedFrom)
	for _, digest := range digests {
		e.claim(digest, stamp).add(h, stamp)
	}
}

// Correct records what an engine's usage counts said about a finished prompt: predicted
// and actual are the digests expected and found in its cache before it ran. When a
// predicted match was wholly absent, nothing else known of the replica is believed.
func (e *Estimator) Correct(h Holder, digests []uint64, predicted, actual int, now time.Time) {
	if predicted > 0 && actual == 0 {
		e.Distrust(h, now)
	}
	e.Learn(h, digests, now)
}

// Event applies one cache event and reports a gap.
//
// What goes wrong: events are lost, among them evictions, and the estimate keeps calling
// prompts to a replica that has dropped their prefix. It shows as cached tokens below the
// predicted ones. A jump in the sequence proves the loss, so all that was known of the
// replica is dropped and built anew.
func (e *Estimator) Event(h Holder, event Event, now time.Time) (gap bool) {
	if h == 0 {
		return false
	}
	entry := &e.holders[h]
	if entry.synced && event.Sequence <= entry.sequence {
		return false // a late duplicate
	}
	gap = entry.synced && event.Sequence != entry.sequence+1
	entry.sequence = event.Sequence
	entry.synced = true
	if gap {
		e.Distrust(h, now)
	}
	if event.Evicted {
		e.drop(h, event.Digest)
		return gap
	}
	e.Learn(h, []uint64{event.Digest}, now)
	return gap
}

// Distrust drops all that is known of h.
func (e *Estimator) Distrust(h Holder, now time.Time) {
	if h != 0 {
		e.holders[h].trustedFrom = e.ticks(now) + 1
	}
}

// Restarted tells that the engine beside h has restarted: its cache is empty and its
// events are numbered anew. Without it they would all pass for late duplicates.
func (e *Estimator) Restarted(h Holder, now time.Time) {
	e.Distrust(h, now)
	e.holders[h].synced = false
}

func (e *Estimator) drop(h Holder, digest uint64) {
	if s := e.find(digest); s != nil {
		for i := range s.holders {
			if s.holders[i] == h {
				s.holders[i] = 0
			}
		}
	}
}

// Match appends to dst the replicas believed to hold a prefix of the prompt with these
// digests, each once with its longest match, longest first.
func (e *Estimator) Match(digests []uint64, now time.Time, dst []Match) []Match {
	stamp := e.ticks(now)
	e.visit++
	for i := len(digests) - 1; i >= 0; i-- {
		s := e.find(digests[i])
		if s == nil {
			continue
		}
		for j, h := range s.holders {
			if h == 0 || !e.believed(h, s.stamps[j], stamp) {
				continue
			}
			e.holders[h].visit = e.visit
			dst = append(dst, Match{Holder: h, Depth: i + 1})
		}
	}
	return dst
}

// believed reports whether an entry counts and its holder was not visited before.
func (e *Estimator) believed(h Holder, stamp, now uint32) bool {
	entry := &e.holders[h]
	if entry.visit == e.visit || entry.agent == "" {
		return false
	}
	// Signed differences stand when the ticks wrap.
	return int32(stamp-entry.trustedFrom) >= 0 && int32(now-stamp) <= int32(e.maxAge)
}

func (e *Estimator) set(digest uint64) []slot {
	first := (digest & e.mask) * ways
	return e.slots[first : first+ways]
}

func (e *Estimator) find(digest uint64) *slot {
	set := e.set(digest)
	for i := range set {
		if set[i].digest == digest {
			return &set[i]
		}
	}
	return nil
}

// claim returns the slot of digest, taking over the least recently used one of its set.
func (e *Estimator) claim(digest uint64, stamp uint32) *slot {
	if s := e.find(digest); s != nil {
		s.used = stamp
		return s
	}
	set := e.set(digest)
	oldest := &set[0]
	for i := range set {
		if int32(set[i].used-oldest.used) < 0 {
			oldest = &set[i]
		}
	}
	*oldest = slot{digest: digest, used: stamp}
	return oldest
}

// add enters h, in place of the holder that was renewed longest ago when all are taken.
func (s *slot) add(h Holder, stamp uint32) {
	place := 0
	for i := range s.holders {
		if s.holders[i] == h {
			s.stamps[i] = stamp
			return
		}
		if s.holders[place] == 0 {
			continue
		}
		if s.holders[i] == 0 || int32(s.stamps[i]-s.stamps[place]) < 0 {
			place = i
		}
	}
	s.holders[place] = h
	s.stamps[place] = stamp
}
