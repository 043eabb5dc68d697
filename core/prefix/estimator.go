package prefix

import (
	"math"
	"time"

	"acaciacleat.example/core/call"
)

const (
	// MaxHolders is the maximum number of replicas in an Estimator. The largest fleet that the
	// system is designed for has 1,200.
	MaxHolders = 4096
	// DefaultSlots is the default number of recorded digests, of 64 bytes each, 2 MB in total.
	DefaultSlots = 32768
	// DefaultMaxAge is how long a match is valid without being renewed. An engine of 400,000
	// tokens that prefills 5,000 uncached tokens/s replaces its whole cache in 80 s.
	DefaultMaxAge = 2 * time.Minute

	holdersPerSlot = 8 // fills a slot up to one cache line of 64 bytes
	slotsPerSet    = 4 // slots in which a digest may lie
	tickDuration   = 10 * time.Millisecond
)

// Holder identifies a replica within one Estimator. Zero means no replica.
type Holder uint16

// Match is an estimate that a replica caches the prefix of the first Depth digests.
type Match struct {
	Holder Holder
	Depth  int
}

// Event is a cache event of an engine: it has cached or evicted a block. Digest is the digest of
// the prefix that ends with the block, as computed by this package.
type Event struct {
	Sequence uint64
	Digest   uint64
	Evicted  bool
}

// slot records the holders of one digest. Stamps are ticks since the Estimator's origin.
type slot struct {
	digest   uint64
	stamps   [holdersPerSlot]uint32
	holders  [holdersPerSlot]Holder
	lastUsed uint32
}

type holder struct {
	agent       string
	incarnation call.Incarnation
	// validFrom is the first tick whose records are valid.
	validFrom uint32
	// sequence is that of the last cache event; synced is false before the first one.
	sequence uint64
	synced   bool
	// lastVisit is the Estimator.visit in which the holder was last among the matches.
	lastVisit uint32
}

// Estimator estimates which replica caches which prefix, from the caller's own routing
// decisions and from cache events. A wrong estimate affects latency, never correctness.
type Estimator struct {
	slots   []slot
	mask    uint64
	maxAge  uint32
	origin  time.Time
	holders []holder
	byAgent map[string]Holder
	free    []Holder
	// visit counts the calls of Match.
	visit uint32
}

// NewEstimator returns an Estimator for at least slots digests (DefaultSlots when 0) whose
// matches are valid for maxAge (DefaultMaxAge when 0).
func NewEstimator(slots int, maxAge time.Duration) *Estimator {
	if slots <= 0 {
		slots = DefaultSlots
	}
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	size := slotsPerSet
	for size < slots {
		size *= 2
	}
	return &Estimator{
		slots:   make([]slot, size),
		mask:    uint64(size/slotsPerSet - 1),
		maxAge:  uint32(min(maxAge/tickDuration, math.MaxInt32)),
		holders: make([]holder, 1, 64),
		byAgent: make(map[string]Holder),
	}
}

// Register returns the holder number of an agent's incarnation, or 0 when MaxHolders are
// registered. A new incarnation of a registered agent starts with an empty cache.
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
		*entry = holder{agent: agent, incarnation: incarnation, validFrom: e.ticks(now) + 1, lastVisit: e.visit}
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

// Unregister removes an agent that has left, so that its number can be reused.
func (e *Estimator) Unregister(agent string) {
	h, known := e.byAgent[agent]
	if !known {
		return
	}
	delete(e.byAgent, agent)
	e.holders[h] = holder{}
	e.free = append(e.free, h)
}

// ticks converts now to ticks since the origin. The value wraps around after 497 days; only
// differences below 248 days are used.
func (e *Estimator) ticks(now time.Time) uint32 {
	if e.origin.IsZero() {
		e.origin = now
	}
	return uint32(now.Sub(e.origin) / tickDuration)
}

// RecordPrompt records that a prompt with these digests was sent to h.
func (e *Estimator) RecordPrompt(h Holder, digests []uint64, now time.Time) {
	if h == 0 {
		return
	}
	stamp := max(e.ticks(now), e.holders[h].validFrom)
	for _, digest := range digests {
		e.findOrReplace(digest, stamp).add(h, stamp)
	}
}

// RecordUsage records the usage counts that an engine reported for a finished prompt:
// predicted and actual are the numbers of digests expected and found in its cache before the
// prompt ran. When a predicted match was entirely absent, all records of the replica are
// invalidated.
func (e *Estimator) RecordUsage(h Holder, digests []uint64, predicted, actual int, now time.Time) {
	if predicted > 0 && actual == 0 {
		e.Invalidate(h, now)
	}
	e.RecordPrompt(h, digests, now)
}

// ApplyEvent applies one cache event and reports whether events are missing before it.
//
// When evictions are lost, the estimate would keep routing prompts to a replica that has
// dropped their prefix. A gap in the sequence numbers shows that events were lost, so all
// records of the replica are invalidated.
func (e *Estimator) ApplyEvent(h Holder, event Event, now time.Time) (gap bool) {
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
		e.Invalidate(h, now)
	}
	if event.Evicted {
		e.removeHolder(h, event.Digest)
		return gap
	}
	e.RecordPrompt(h, []uint64{event.Digest}, now)
	return gap
}

// Invalidate invalidates all records of h.
func (e *Estimator) Invalidate(h Holder, now time.Time) {
	if h != 0 {
		e.holders[h].validFrom = e.ticks(now) + 1
	}
}

// EngineRestarted records that the engine of h has restarted: its cache is empty and its
// event numbers start again. Without this call the new events would be taken for late
// duplicates.
func (e *Estimator) EngineRestarted(h Holder, now time.Time) {
	e.Invalidate(h, now)
	e.holders[h].synced = false
}

func (e *Estimator) removeHolder(h Holder, digest uint64) {
	if s := e.find(digest); s != nil {
		for i := range s.holders {
			if s.holders[i] == h {
				s.holders[i] = 0
			}
		}
	}
}

// Match appends to dst the replicas that are estimated to cache a prefix of the prompt with
// these digests, each once with its longest match, longest first.
func (e *Estimator) Match(digests []uint64, now time.Time, dst []Match) []Match {
	stamp := e.ticks(now)
	e.visit++
	for i := len(digests) - 1; i >= 0; i-- {
		s := e.find(digests[i])
		if s == nil {
			continue
		}
		for j, h := range s.holders {
			if h == 0 || !e.isNewMatch(h, s.stamps[j], stamp) {
				continue
			}
			e.holders[h].lastVisit = e.visit
			dst = append(dst, Match{Holder: h, Depth: i + 1})
		}
	}
	return dst
}

// isNewMatch reports whether a record is valid and its holder is not yet among the matches.
func (e *Estimator) isNewMatch(h Holder, stamp, now uint32) bool {
	entry := &e.holders[h]
	if entry.lastVisit == e.visit || entry.agent == "" {
		return false
	}
	// Signed differences stay correct when the ticks wrap around.
	return int32(stamp-entry.validFrom) >= 0 && int32(now-stamp) <= int32(e.maxAge)
}

func (e *Estimator) set(digest uint64) []slot {
	first := (digest & e.mask) * slotsPerSet
	return e.slots[first : first+slotsPerSet]
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

// findOrReplace returns the slot of digest. If there is none, it replaces the least recently
// used slot of the set.
func (e *Estimator) findOrReplace(digest uint64, stamp uint32) *slot {
	if s := e.find(digest); s != nil {
		s.lastUsed = stamp
		return s
	}
	set := e.set(digest)
	oldest := &set[0]
	for i := range set {
		if int32(set[i].lastUsed-oldest.lastUsed) < 0 {
			oldest = &set[i]
		}
	}
	*oldest = slot{digest: digest, lastUsed: stamp}
	return oldest
}

// add records h. If the slot is full, it replaces the holder that was renewed longest ago.
func (s *slot) add(h Holder, stamp uint32) {
	index := 0
	for i := range s.holders {
		if s.holders[i] == h {
			s.stamps[i] = stamp
			return
		}
		if s.holders[index] == 0 {
			continue
		}
		if s.holders[i] == 0 || int32(s.stamps[i]-s.stamps[index]) < 0 {
			index = i
		}
	}
	s.holders[index] = h
	s.stamps[index] = stamp
}
