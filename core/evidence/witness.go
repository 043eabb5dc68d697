package evidence

import (
	"time"

	"acaciacleat.example/core/decay"
)

const (
	// witnessesNeeded is the number of other entries whose suspicion leaves an incarnation out:
	// one alone may be cut off from it.
	witnessesNeeded = 2
	// suspectFor is how long a suspicion counts: some requests of a busy upstream.
	suspectFor = time.Second
	// suspectShare and proofShare bound the part of a service's upstreams that one entry's
	// suspicions and proofs take away. Who suspects more is most likely cut off itself.
	suspectShare = 0.25
	proofShare   = 0.5
	// accusedFor is how long an accusation counts towards those shares.
	accusedFor = 2 * time.Second
	// wronglyFor is the time within which an answer contradicts a proof: what starts again
	// under its id takes longer.
	wronglyFor = 1500 * time.Millisecond
	// contradictionsOver and contradictionsMost bound the proofs that may be contradicted
	// before an entry isn't believed: a process may have started again in the meantime.
	contradictionsOver = 30 * time.Second
	contradictionsMost = 2.5
	// mostWitnesses bounds the entries that are kept count of: some times the size designed for.
	mostWitnesses = 2000
)

// witness is another entry and what it has accused of late.
type witness struct {
	accused      map[uint32]time.Time
	contradicted decay.Sum
	last         time.Time
}

func (b *Book) witness(now time.Time, origin uint64) *witness {
	w := b.witnesses[origin]
	if w == nil {
		b.forget(now)
		w = &witness{accused: make(map[uint32]time.Time)}
		b.witnesses[origin] = w
	}
	w.last = now
	return w
}

// forget makes room where there are too many witnesses.
func (b *Book) forget(now time.Time) {
	if len(b.witnesses) < mostWitnesses {
		return
	}
	for origin, w := range b.witnesses {
		if now.Sub(w.last) > contradictionsOver {
			delete(b.witnesses, origin)
		}
	}
	if len(b.witnesses) >= mostWitnesses {
		clear(b.witnesses)
	}
}

func (w *witness) contradict(now time.Time) { w.contradicted.Add(now, 1, contradictionsOver) }

// believed reports whether the entry may accuse one more of so many upstreams.
func (w *witness) believed(now time.Time, tag uint32, kind Kind, known int) bool {
	if w.contradicted.Value(now, contradictionsOver) > contradictionsMost {
		return false
	}
	for other, at := range w.accused {
		if now.Sub(at) > accusedFor {
			delete(w.accused, other)
		}
	}
	share := suspectShare
	if kind.proof() {
		share = proofShare
	}
	if _, again := w.accused[tag]; !again && len(w.accused) >= max(int(share*float64(known)), 1) {
		return false
	}
	w.accused[tag] = now
	return true
}

// Check counts and leaves out what no entry should have sent.
func (b *Book) Check(reports []Report) []Report {
	if len(reports) > MostReports {
		b.Drop(Excess, len(reports)-MostReports)
		reports = reports[:MostReports]
	}
	kept := make([]Report, 0, len(reports))
	for _, r := range reports {
		told := r.Kind == Answered || r.Kind >= Silent && r.Kind <= Replaced
		if !told || r.AgeMs < 0 || r.AgeMs > oldest.Milliseconds() {
			b.Drop(Malformed, 1)
			continue
		}
		kept = append(kept, r)
	}
	return kept
}

// Heard takes a checked report of the entry origin on one of so many upstreams of a service.
func (b *Book) Heard(now time.Time, origin uint64, subject Subject, r *Record, told Report, known int) {
	at := now.Add(-time.Duration(told.AgeMs) * time.Millisecond)
	if told.Kind == Answered {
		if r.spoiled() && at.After(r.since) {
			b.back(now, at, subject, r, origin)
		}
		return
	}
	if r.answered.After(at) {
		b.Drop(Overruled, 1)
		return
	}
	if !b.witness(now, origin).believed(now, told.Tag, told.Kind, known) {
		b.Drop(Distrusted, 1)
		return
	}
	r.told = true
	if told.Kind.proof() {
		b.heardProof(now, at, origin, subject, r, told.Kind)
		return
	}
	if r.suspected(origin, at) && !r.Out(now) {
		b.strike(now, at, subject, r, Silent, origin, r.length(Silent))
	}
}

// heardProof leaves an incarnation out for as long as the first entry's word holds alone, and
// for as long as proof of one's own once a second one says the same.
func (b *Book) heardProof(now, at time.Time, origin uint64, subject Subject, r *Record, kind Kind) {
	if r.proved.IsZero() {
		r.proved = now
	}
	standing := r.Out(now) && r.kind.proof()
	switch {
	case r.prover == origin:
		r.claimed = now // It counts once; then the incarnation is tried here.
	case standing && r.prover == 0:
		return
	case r.prover != 0:
		// Confirmed. Each entry tries again at a time of its own, and tells the others.
		length := r.length(kind)
		r.prover = 0
		b.strike(now, at, subject, r, kind, origin, length+b.spread(length))
	default:
		r.prover, r.claimed = origin, now
		b.strike(now, at, subject, r, kind, origin, unconfirmed+b.spread(unconfirmed))
	}
}

// spread draws how much later than others this entry tries again: the first to do so tells the
// rest.
func (b *Book) spread(length time.Duration) time.Duration {
	return time.Duration(b.random.Int64N(int64(length)))
}

// suspected notes the suspicion of an entry; it returns whether enough of them suspect.
func (r *Record) suspected(origin uint64, at time.Time) bool {
	oldest := 0
	for i, s := range r.suspects {
		if s.origin == origin {
			r.suspects[i].at = later(s.at, at)
			return r.enough(at)
		}
		if s.at.Before(r.suspects[oldest].at) {
			oldest = i
		}
	}
	r.suspects[oldest] = suspicion{origin: origin, at: at}
	return r.enough(at)
}

// enough reports whether as many entries suspect at a time as it takes.
func (r *Record) enough(at time.Time) bool {
	n := 0
	for _, s := range r.suspects {
		if s.origin != 0 && at.Sub(s.at) < suspectFor {
			n++
		}
	}
	return n >= witnessesNeeded
}
