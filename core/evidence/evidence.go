// Package evidence keeps what entries have seen of upstreams that don't answer, tells it from one
// entry to the others, and decides which upstreams to leave out, and for how long. It does no
// I/O.
//
// What goes wrong without it: each entry learns by a request of its own that an upstream has
// gone. With twenty entries, twenty requests fail where one would have told all, and each
// prompt that many engines read meets one of those that are gone.
//
// Evidence comes in two strengths. A suspicion (Silent) may be the fault of the way between: an
// entry that is cut off sees all upstreams behind the cut go silent, but no cut makes an
// upstream's host refuse a connection or another incarnation answer in its place. So proof
// counts from one entry alone, a suspicion from two, and what an entry says is believed up to a
// share of the upstreams only.
package evidence

import (
	"strconv"
	"time"
)

// Kind says what an entry has seen of an incarnation, the strongest last.
type Kind uint8

// The kinds of evidence.
const (
	// Answered: it answered a request.
	Answered Kind = iota + 1
	// Erred: it answered wrongly or with a failure of its own. Others aren't told: a request
	// may be at fault.
	Erred
	// Silent: it did not answer, or broke an answer off.
	Silent
	// Absent: nobody listens at its address.
	Absent
	// Leaving: it refuses what it has room for.
	Leaving
	// Replaced: its address belongs to another incarnation.
	Replaced
)

// proof reports whether evidence proves that the incarnation serves no more.
func (k Kind) proof() bool { return k >= Absent && k <= Replaced }

// String returns the kind's name for logs.
func (k Kind) String() string {
	names := [...]string{"", "answered", "erred", "silent", "absent", "leaving", "replaced"}
	if k < Answered || int(k) >= len(names) {
		return "kind " + strconv.Itoa(int(k))
	}
	return names[k]
}

// Subject is the incarnation that evidence is about. What was seen of an earlier life under the
// same id says nothing of the next: it has another tag.
type Subject struct {
	// Tag stands for the incarnation in reports, and Name in logs.
	Tag  uint32
	Name string
}

// Report is what an entry tells the others of an incarnation.
type Report struct {
	Tag  uint32
	Kind Kind
	// AgeMs is how long ago it was seen, in milliseconds. Clocks of entries differ, so that no
	// time is told.
	AgeMs int64
}

// Verdict is a decision to leave an incarnation out, or to take it back.
type Verdict struct {
	Name string
	// Kind is the evidence that decided, By the entry that saw it, zero for this one, and Age
	// how old it was.
	Kind Kind
	By   uint64
	Age  time.Duration
	// At is when it was decided, and For how long the incarnation is left out; zero where it is
	// taken back.
	At  time.Time
	For time.Duration
}

// Record is the evidence on one incarnation. The zero value has nothing against it.
type Record struct {
	strikes int
	// until is when it is no longer left out; kind and since are those of the last evidence
	// against it.
	until time.Time
	kind  Kind
	since time.Time
	// told says that other entries have heard or said something against it.
	told bool
	// answered is when the latest request was sent that it has answered.
	answered time.Time
	// suspects are the last entries that suspect it.
	suspects [witnessesNeeded]suspicion
	// prover is the one other entry that says it has proof that it is gone, first at proved
	// and last at claimed; zero for none, or where it was confirmed.
	prover  uint64
	proved  time.Time
	claimed time.Time
}

type suspicion struct {
	origin uint64
	at     time.Time
}

// Out reports whether the incarnation is left out.
func (r *Record) Out(now time.Time) bool { return now.Before(r.until) }

// strikeDoubt is added to the load of an upstream for each failure in a row, and for each
// entry that suspects it, as a share of the slots.
const strikeDoubt = 0.3

// mostStrikes bounds the failures in a row that count.
const mostStrikes = 5

// Doubt returns what evidence adds to the load, as a share of the slots.
func (r *Record) Doubt(now time.Time) float64 {
	n := min(r.strikes, mostStrikes)
	for _, s := range r.suspects {
		if s.origin != 0 && now.Sub(s.at) < suspectFor {
			n++
		}
	}
	return strikeDoubt * float64(n)
}

// Proved reports whether it was proved that nobody serves there, and nothing has answered since.
func (r *Record) Proved() bool { return r.kind.proof() }

// knownAfter is how long after another entry's proof a request may still be on its way that was
// sent without knowing of it.
const knownAfter = 100 * time.Millisecond

// AgainstProof reports whether a request that goes there now goes where another entry has
// proved that nobody serves.
func (r *Record) AgainstProof(now time.Time) bool {
	return !r.proved.IsZero() && now.Sub(r.proved) > knownAfter
}

// Pause keeps requests off for a while without anything being held against the incarnation: it
// has no room.
func (r *Record) Pause(now time.Time, length time.Duration) {
	r.until = later(r.until, now.Add(length))
}

// Registered takes news that the incarnation has written its entry anew: it lives. They may have
// been under way while it went.
func (r *Record) Registered(now time.Time) {
	if now.Sub(r.since) > newsUnderWay {
		r.clear()
	}
}

// newsUnderWay is how old news of the registry may usually be: an entry that follows it asks
// again at least so often.
const newsUnderWay = time.Second

func (r *Record) clear() {
	*r = Record{answered: r.answered}
}

// spoiled reports whether anything counts against the incarnation.
func (r *Record) spoiled() bool { return r.strikes > 0 || r.told }

// outlives reports whether an answer to a request that was sent at asked outweighs what was
// seen: what leaves may go on with what it has, but takes nothing new.
func (r *Record) outlives(asked time.Time) bool { return !r.kind.proof() || asked.After(r.since) }

// The lengths for which an incarnation is left out: the first time, and at the most after doubling
// with each further failure in a row.
const (
	// silentFirst is short: what is silent to one request may answer the next.
	silentFirst = 400 * time.Millisecond
	silentMost  = 6 * time.Second
	// absentFirst is about what a process needs to start again.
	absentFirst = time.Second
	absentMost  = 6 * time.Second
	// goneFirst is for what doesn't come back: until the registry has told of it.
	goneFirst = 5 * time.Second
	goneMost  = 20 * time.Second
	// unconfirmed is the length for proof from one other entry alone: then it is tried here,
	// so that no single entry takes an upstream away from all.
	unconfirmed = time.Second
)

// length returns for how long evidence leaves the incarnation out.
func (r *Record) length(kind Kind) time.Duration {
	first, most := silentFirst, silentMost
	switch kind {
	case Absent:
		first, most = absentFirst, absentMost
	case Leaving, Replaced:
		first, most = goneFirst, goneMost
	}
	return min(first<<min(r.strikes, 8), most)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
