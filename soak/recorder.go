package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Check names the guarantee that a violation breaks.
type Check string

const (
	// RanTwice: a request that may run only once ran again.
	RanTwice Check = "twice"
	// RanAfterRefusal: a request ran although the caller was told that it had not run.
	RanAfterRefusal Check = "refused"
	// WrongAnswer: an answer belongs to another request or does not come from an upstream.
	WrongAnswer Check = "foreign"
	// TruncatedAnswer: an answer ended like a complete one although bytes are missing.
	TruncatedAnswer Check = "short"
	// Rejected: a valid request was rejected as invalid.
	Rejected Check = "denied"
	// Admitted: a request was served that no version of the configuration in force allows.
	Admitted Check = "admitted"
	// WrongOrganisation: an upstream was told of another organisation than the one that holds the caller's key, or of the key.
	WrongOrganisation Check = "organisation"
	// NoRetryAfter: a refusal that promises that the request did not run has no Retry-After.
	NoRetryAfter Check = "unadvised"
	// ConnectionLost: a request was interrupted although no fault except a graceful stop was active.
	ConnectionLost Check = "cut-off"
	// DeadlineMissed: the final answer came long after the request's deadline.
	DeadlineMissed Check = "late"
	// ConfigurationStale: a configuration was not applied in time. ConfigurationReverted: an older
	// one was applied again.
	ConfigurationStale    Check = "stale"
	ConfigurationReverted Check = "back"
	// UsedWhileDraining: an upstream that is draining, or whose registration is invalid, still gets
	// requests.
	UsedWhileDraining Check = "leaving"
	// StaleRequests: requests still wait for an answer from an earlier incarnation of an upstream.
	StaleRequests Check = "outlived"
	// CrashNotContained: a request that crashes upstreams keeps reaching further ones.
	CrashNotContained Check = "crashing"
	// SoundHeldBack: most of the prompts that share all but a fatal segment with others were held back.
	SoundHeldBack Check = "sound-held-back"
	// LimitExceeded: an upstream got more requests than the rate limit that it had named tolerates.
	LimitExceeded Check = "limit"
	// ColdExceeded: a cold upstream got more requests in a second than the platform tolerates.
	ColdExceeded Check = "cold"
	// PauseIgnored: an upstream got requests in the pause that it had asked an entry for.
	PauseIgnored Check = "pause"
	// UsedWhileEvacuated: an upstream got requests although the operator had asked to evacuate its zone.
	UsedWhileEvacuated Check = "evacuated"
	// NotReleased: memory or slots at upstreams are not released.
	NotReleased Check = "held"
	// ProcessFailed: a process exited by itself, with an error, or not within its time limit.
	ProcessFailed Check = "ended"
	// NotRecovered: a request failed long after the last disruption. It also covers failures of the
	// harness to build a request, to get an answer for a configuration version, or to restart a
	// crashed engine.
	NotRecovered Check = "unwell"
)

// Violation is one broken guarantee.
type Violation struct {
	AtMs   int    `json:"atMs"`
	Check  Check  `json:"check"`
	Detail string `json:"detail"`
}

// disruptedPart is the part of the deployment that a disruption affects.
type disruptedPart uint8

const (
	partCallers disruptedPart = iota
	partStore
	partUpstreams
	// partProcess is disrupted by kills and pauses. A graceful stop is not recorded as a disruption;
	// see checkFailed.
	partProcess
	// partEngineSpeed is disrupted while an engine is slow.
	partEngineSpeed
)

// allEntries marks a disruption of the store itself or of upstreams, which affects every entry.
const allEntries = -1

// disruption is a period in which a part of the deployment was disrupted. Its end, to, is zero while
// the disruption lasts.
type disruption struct {
	part     disruptedPart
	entry    int
	from, to time.Time
	// stretches is set if the disruption excuses no late configuration but stretches its bound.
	stretches bool
}

// overlaps reports whether the disruption, or its effects for some time after its end, lie between two times.
func (d *disruption) overlaps(from, to time.Time, effects time.Duration) bool {
	return d.from.Before(to) && (d.to.IsZero() || d.to.Add(effects).After(from))
}

// affects reports whether the disruption is one of the given parts of an entry.
func (d *disruption) affects(entry int, parts []disruptedPart) bool {
	return slices.Contains(parts, d.part) && (d.entry == allEntries || d.entry == entry)
}

// acknowledgedVersion is a configuration version, the time at which the store acknowledged it and the limit within
// which it must be applied.
type acknowledgedVersion struct {
	version uint64
	at      time.Time
	limit   time.Duration
}

// recorder collects the guarantees for single requests (runs at most once, has not run), the
// disruptions and the violations. It is safe for concurrent use.
type recorder struct {
	startedAt time.Time

	mu         sync.Mutex
	violations []Violation
	outcomes   map[string]int
	// limitShare is the worst window of an upstream that named a limit, as a share of the bound.
	limitShare float64
	// coldShare is the worst second of a cold upstream, as a share of the bound.
	coldShare float64
	// once holds the URIs of requests that may run only once. notRun maps the URIs of requests that
	// were reported as not run to a description of the response that said so.
	once   map[string]struct{}
	notRun map[string]string

	standstills []Standstill
	disruptions []*disruption
	versions    []acknowledgedVersion
	// successFrom is the time from which every request must succeed; zero before it is known.
	successFrom time.Time
}

func newRecorder() *recorder {
	return &recorder{
		startedAt: time.Now(),
		outcomes:  make(map[string]int),
		once:      make(map[string]struct{}),
		notRun:    make(map[string]string),
	}
}

func (r *recorder) addViolation(check Check, format string, args ...any) {
	r.addViolationAt(time.Now(), check, format, args...)
}

// addViolationAt adds a violation that was seen at a time.
func (r *recorder) addViolationAt(at time.Time, check Check, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{
		AtMs: int(at.Sub(r.startedAt).Milliseconds()), Check: check, Detail: fmt.Sprintf(format, args...),
	})
}

// countOutcome counts how a request ended.
func (r *recorder) countOutcome(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

// reconnectTime is how long a disruption has effects after its end: dead connections must be
// detected and reopened.
const reconnectTime = 1500 * time.Millisecond

// beginDisruption records the beginning of a disruption; the returned function records its end.
func (r *recorder) beginDisruption(part disruptedPart, entry int) (end func()) {
	return r.begin(&disruption{part: part, entry: entry})
}

// begin records the beginning of a disruption; the returned function records its end.
func (r *recorder) begin(d *disruption) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.from = time.Now()
	r.disruptions = append(r.disruptions, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.to = time.Now()
	}
}

// undisrupted reports whether no disruption affected the given parts of an entry between two times.
func (r *recorder) undisrupted(entry int, from, to time.Time, parts ...disruptedPart) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.disruptions {
		if d.affects(entry, parts) && d.overlaps(from, to, reconnectTime) {
			return false
		}
	}
	return true
}

// mustSucceed reports whether a request that began at a time must succeed.
func (r *recorder) mustSucceed(start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.successFrom.IsZero() && start.After(r.successFrom)
}

// expectAtMostOnce records a request that may run only once. It is called before the request is
// sent.
func (r *recorder) expectAtMostOnce(uri string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.once[uri] = struct{}{}
}

// recordNotRun records that a request was reported as not run, with a description of the response.
func (r *recorder) recordNotRun(uri, response string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun[uri] = response
}

// checkRuns checks the runs against the requests recorded by expectAtMostOnce and recordNotRun. It
// reports each violation once.
func (r *recorder) checkRuns(runs map[string]int) {
	r.mu.Lock()
	var twice, refused []string
	for uri, n := range runs {
		if _, once := r.once[uri]; once && n > 1 {
			twice = append(twice, fmt.Sprintf("%s ran %d times", uri, n))
			delete(r.once, uri)
		}
		if response, promised := r.notRun[uri]; promised {
			refused = append(refused, fmt.Sprintf("%s ran, though %s", uri, response))
			delete(r.notRun, uri)
		}
	}
	r.mu.Unlock()
	for _, detail := range twice {
		r.addViolation(RanTwice, "%s", detail)
	}
	for _, detail := range refused {
		r.addViolation(RanAfterRefusal, "%s", detail)
	}
}

// recordVersion records that the store has acknowledged a configuration version, which must be applied within limit.
func (r *recorder) recordVersion(version uint64, limit time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, acknowledgedVersion{version, time.Now(), limit})
}
