// Package evidence records which upstreams fail to answer, exchanges this between entries, and
// decides which upstreams to exclude, and for how long. It does no I/O.
//
// Sharing evidence saves requests: without it, each of twenty entries loses a request to find
// the same upstream gone, and a prompt that many engines prefill fails if any of them is gone.
//
// Evidence has two strengths. A suspicion (Silent) may be caused by the network: a partitioned
// entry sees all upstreams behind the partition go silent. Proof can't: no partition makes an
// upstream's host refuse a connection or another incarnation answer in its place. So proof
// counts from a single entry and a suspicion from two, and the reports of one entry count for a
// limited share of the upstreams only.
package evidence

import (
	"strconv"
	"time"
)

// Kind says what an entry has observed of an incarnation, the strongest last.
type Kind uint8

const (
	// Answered means that it answered a request.
	Answered Kind = iota + 1
	// Erred means that it answered wrongly or with an internal error. Other entries aren't
	// told, because the request may be at fault.
	Erred
	// Silent means that it did not answer, or broke off an answer.
	Silent
	// Absent means that nothing listens at its address.
	Absent
	// Draining means that it refuses requests for which it has capacity, because it drains. Its
	// name in logs is "leaving".
	Draining
	// Replaced means that its address belongs to another incarnation.
	Replaced
	// Announced means that it has said itself that it is draining. The entry that it has said so to
	// is bound by that; for the others it is evidence.
	Announced
)

// proof reports whether the evidence proves that the incarnation takes no more requests.
func (k Kind) proof() bool { return k >= Absent && k <= Announced }

// String returns the kind's name for logs.
func (k Kind) String() string {
	names := [...]string{"", "answered", "erred", "silent", "absent", "leaving", "replaced", "announced"}
	if k < Answered || int(k) >= len(names) {
		return "kind " + strconv.Itoa(int(k))
	}
	return names[k]
}

// Subject is the incarnation that evidence is about. Evidence on an earlier incarnation under
// the same ID does not count for the next, which has another tag.
type Subject struct {
	// Tag identifies the incarnation in reports, and Name in logs.
	Tag  uint32
	Name string
}

// Report is evidence on an incarnation, as sent to other entries.
type Report struct {
	Tag  uint32
	Kind Kind
	// AgeMs is the age of the observation in milliseconds. It replaces a time because the
	// clocks of entries differ.
	AgeMs int64
}

// Verdict is a decision to exclude an incarnation, or to readmit it.
type Verdict struct {
	Name string
	// Kind is the deciding evidence, Origin the entry that observed it (zero for this one), and
	// Age the time since the observation.
	Kind   Kind
	Origin uint64
	Age    time.Duration
	// At is the time of the decision, and Duration how long the incarnation is excluded; zero
	// if it is readmitted.
	At       time.Time
	Duration time.Duration
}

// Record is the evidence on one incarnation. The zero value holds none.
type Record struct {
	failures int
	// excludedUntil is the end of the exclusion; kind and evidenceAt are the kind and time of
	// the latest evidence against the incarnation, or of the latest proof if there is any.
	excludedUntil time.Time
	kind          Kind
	evidenceAt    time.Time
	// shared is set if evidence against it was sent to or received from other entries.
	shared bool
	// answeredSentAt is when the latest answered request was sent.
	answeredSentAt time.Time
	// suspects are the latest suspicions of other entries.
	suspects [suspicionQuorum]suspicion
	// unconfirmedReporter is the only other entry that has sent proof against it; zero if there
	// is none, or if another entry or this one has confirmed the proof. firstProofAt is when the
	// first proof from another entry arrived, and lastProofAt when the last one from
	// unconfirmedReporter did.
	unconfirmedReporter uint64
	firstProofAt        time.Time
	lastProofAt         time.Time
}

// suspicion is the latest report of the entry origin that the incarnation is silent.
type suspicion struct {
	origin uint64
	at     time.Time
}

// Excluded reports whether the incarnation is excluded.
func (r *Record) Excluded(now time.Time) bool { return now.Before(r.excludedUntil) }

// penaltyPerFailure is added to the load of an upstream for each consecutive failure and each
// entry that suspects it, as a share of the slots.
const penaltyPerFailure = 0.3

// maxFailures bounds the consecutive failures that count.
const maxFailures = 5

// Penalty returns the penalty to add to the load, as a share of the slots.
func (r *Record) Penalty(now time.Time) float64 {
	n := min(r.failures, maxFailures)
	for _, s := range r.suspects {
		if s.origin != 0 && now.Sub(s.at) < suspicionTTL {
			n++
		}
	}
	return penaltyPerFailure * float64(n)
}

// ProvedDown reports whether the incarnation was proved to be down and has not answered after
// the proof.
func (r *Record) ProvedDown() bool { return r.kind.proof() }

// propagationDelay is the time after another entry's proof in which KnownDown is still false,
// because a request may have been under way before the proof was known.
const propagationDelay = 100 * time.Millisecond

// KnownDown reports whether another entry has proved the incarnation to be down, more than
// propagationDelay ago.
func (r *Record) KnownDown(now time.Time) bool {
	return !r.firstProofAt.IsZero() && now.Sub(r.firstProofAt) > propagationDelay
}

// Pause keeps requests off an incarnation without capacity, without counting it as a failure.
func (r *Record) Pause(now time.Time, duration time.Duration) {
	r.excludedUntil = latest(r.excludedUntil, now.Add(duration))
}

// Registered clears the evidence after the incarnation has renewed its registration, which
// shows that it is alive. A renewal may have been under way when the incarnation went down, so
// recent evidence stays.
func (r *Record) Registered(now time.Time) {
	if now.Sub(r.evidenceAt) > registryDelay {
		r.clear()
	}
}

// registryDelay is the usual delay until a change of the registry is known here: an entry polls
// the registry at least this often.
const registryDelay = time.Second

// clear drops all evidence against the incarnation.
func (r *Record) clear() {
	*r = Record{answeredSentAt: r.answeredSentAt}
}

// hasEvidence reports whether there is any evidence against the incarnation.
func (r *Record) hasEvidence() bool { return r.failures > 0 || r.shared }

// outweighs reports whether an answer to a request sent at sentAt outweighs the evidence. Proof
// is outweighed only if the request was sent after it, because a draining upstream still answers
// requests that it accepted before, but takes no new ones.
func (r *Record) outweighs(sentAt time.Time) bool {
	return !r.kind.proof() || sentAt.After(r.evidenceAt)
}

// The exclusion times by kind: the initial one, which doubles with each consecutive failure,
// and the maximum.
const (
	// silentInitial is short: the next request may well be answered.
	silentInitial = 400 * time.Millisecond
	silentMax     = 6 * time.Second
	// absentInitial is about the time that a process needs to restart.
	absentInitial = time.Second
	absentMax     = 6 * time.Second
	// goneInitial is for an incarnation that won't return; it covers the time until the
	// registry removes it.
	goneInitial = 5 * time.Second
	goneMax     = 20 * time.Second
	// unconfirmedTime is the exclusion time for proof from a single other entry. After it this
	// entry tries the upstream itself, so that no single entry can take an upstream away from
	// all.
	unconfirmedTime = time.Second
)

// exclusionTime returns how long evidence of the given kind excludes the incarnation.
func (r *Record) exclusionTime(kind Kind) time.Duration {
	initial, maximum := silentInitial, silentMax
	switch kind {
	case Absent:
		initial, maximum = absentInitial, absentMax
	case Draining, Replaced, Announced:
		initial, maximum = goneInitial, goneMax
	}
	return min(initial<<min(r.failures, 8), maximum)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
