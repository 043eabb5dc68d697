// Package quarantine manages one entry's quarantine: the requests that are held back because
// upstreams crashed while they served them. The entry exchanges crash reports with the other
// entries and writes them to the store, where they survive a restart of all entries and reach
// entries without a link.
package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"acaciacleat.example/core/dispatch"
	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/table"
	"github.com/rs/zerolog"
)

// Suspect is a request that was in flight at an upstream that crashed.
type Suspect struct {
	Print fingerprint.Print
	// Request, Route and Organisation identify the request to operators.
	Request      string
	Route        string
	Organisation string
	// Service is the service that it was sent to, and Segments are the IDs of the segments that its prompt may
	// share with others.
	Service  string
	Segments []string
	// Begun reports whether the first event of the answer had arrived corequarantine.AnswerYoung before.
	Begun bool
	// AfterCrash reports whether the request was retried after another upstream had crashed
	// while it served the request.
	AfterCrash bool
}

// Request is a request to a Keeper. Its fingerprints are computed only when they are needed.
type Request struct {
	// ID identifies the request among those in flight.
	ID    string
	Print func() fingerprint.Print
	// Segments returns the fingerprints of the segments that its prompt may share with others; nil means none.
	Segments func() []fingerprint.Print
}

func (r Request) segments() []fingerprint.Print {
	if r.Segments == nil {
		return nil
	}
	return r.Segments()
}

// Store is the part of the platform's store that a Keeper uses. table.Feed implements it.
type Store interface {
	// All returns all rows of a table.
	All(ctx context.Context, table string) ([]table.Row, table.Extent, error)
	// Put writes a row, replacing any previous value.
	Put(ctx context.Context, key table.Key, value []byte) error
	// Remove deletes a row. Removing a row that doesn't exist is not an error.
	Remove(ctx context.Context, key table.Key) error
}

// Config configures a Keeper.
type Config struct {
	// VM identifies this entry.
	VM       string
	Settings corequarantine.Settings
	// Store and Table say where the quarantine's rows are kept. Store is nil for an entry without
	// a store.
	Store Store
	Table string
	// RereadInterval is the interval at which the store is read even if nothing has changed;
	// zero means 30 s.
	RereadInterval time.Duration
	// MayHaveUnlinkedEntries reports whether there may be entries that share reports with this one
	// only through the store.
	MayHaveUnlinkedEntries func() bool
	// HeardFromOthers reports whether other entries tell this one of all that is in the store, so
	// that it need not be read. Starting reports whether that isn't known yet. Both may be nil.
	HeardFromOthers func() bool
	Starting        func() bool
	Log             zerolog.Logger
}

// Keeper manages the quarantine of one entry. It is safe for concurrent use.
type Keeper struct {
	config  Config
	started time.Time
	// gates maps each request and segment that is held back or on probation to its gate. It is replaced
	// as a whole when it changes. active reports whether any request or segment is suspected or held back.
	// Both are read on the path of every request without taking mu.
	gates  atomic.Pointer[map[fingerprint.Print]*gate]
	active atomic.Bool
	// answered counts the answers of each segment.
	answered answerCounts
	// entries is the number of entries.
	entries atomic.Int64
	// loaded reports whether the store has been read at least once.
	loaded atomic.Bool
	// storeCalls counts the calls to the store.
	storeCalls atomic.Uint64
	// pending has a value when there are reports to send, wakeup when there are rows to write
	// or read.
	pending chan struct{}
	wakeup  chan struct{}

	mu     sync.Mutex
	ledger *corequarantine.Ledger
	// suspects are the requests that upstreams were serving when this entry saw them crash, and segments the
	// segments of their prompts.
	suspects map[fingerprint.Print]Suspect
	segments map[fingerprint.Print]suspectSegment
	reports  []queuedReport
	// dropped counts the malformed reports of other entries.
	dropped uint64
	// timer calls decide at nextDecision; zero means that nothing is to be decided.
	timer        *time.Timer
	nextDecision time.Time
	rows         rows
}

// suspectSegment is a segment of a request that was in flight at an upstream that crashed.
type suspectSegment struct {
	service, id string
	// last is the last such request.
	last Suspect
}

// New returns a Keeper. Run synchronises it with the store.
func New(config Config) *Keeper {
	if config.RereadInterval == 0 {
		config.RereadInterval = defaultRereadInterval
	}
	if config.HeardFromOthers == nil {
		config.HeardFromOthers = func() bool { return false }
	}
	if config.Starting == nil {
		config.Starting = func() bool { return false }
	}
	return &Keeper{
		config:   config,
		started:  time.Now(),
		pending:  make(chan struct{}, 1),
		wakeup:   make(chan struct{}, 1),
		ledger:   corequarantine.NewLedger(config.Settings),
		suspects: make(map[fingerprint.Print]Suspect),
		segments: make(map[fingerprint.Print]suspectSegment),
		rows:     newRows(),
	}
}

// maxLoadWait is how long an entry waits at startup for the store's rows. Serving takes
// precedence: a store that doesn't respond must not keep the entry from its callers.
const maxLoadWait = 2 * time.Second

// Ready reports whether the store's rows have been loaded or maxLoadWait has passed.
func (k *Keeper) Ready() bool {
	return k.config.Store == nil || k.loaded.Load() || time.Since(k.started) > maxLoadWait
}

// Held returns for how much longer a request is held back, by its content or a segment of its prompt. It
// computes the request's fingerprints only if anything is held back.
func (k *Keeper) Held(r Request) (left time.Duration, held bool) {
	all := k.gates.Load()
	if all == nil || len(*all) == 0 {
		return 0, false
	}
	now := time.Now()
	var passed []fingerprint.Print
	for _, print := range append(r.segments(), r.Print()) {
		if g := (*all)[print]; g != nil {
			passed = append(passed, print)
			left = max(left, g.wait(now, r.ID))
		}
	}
	if left > 0 {
		return left, true
	}
	if len(passed) > 0 && !k.admitTrial(now, r, passed, *all) {
		return trialInterval, true
	}
	return 0, false
}

// admitTrial admits a request as the trial of all that it would be held back for, and tells the other entries. It reports
// false if it can't be one now.
func (k *Keeper) admitTrial(now time.Time, r Request, passed []fingerprint.Print, gates map[fingerprint.Print]*gate) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hasOtherSuspect(r, gates) {
		return false
	}
	for _, print := range passed {
		begun, err := gates[print].admit(now, r.ID)
		if err != nil {
			return false
		}
		if begun {
			k.queueReport(corequarantine.Report{Kind: corequarantine.TrialReport, Print: print})
		}
	}
	return true
}

// hasOtherSuspect reports whether a request has a suspected segment without a gate. If it crashed its upstream as a
// trial, nobody could say which of its segments was the cause. It is called with mu held.
func (k *Keeper) hasOtherSuspect(r Request, gates map[fingerprint.Print]*gate) bool {
	return slices.ContainsFunc(r.segments(), func(print fingerprint.Print) bool {
		return gates[print] == nil && k.ledger.Suspected(print)
	})
}

// RecordFailure records that a request has failed. If no upstream has begun it, the next request may be the trial of all
// that this one was admitted for.
func (k *Keeper) RecordFailure(r Request, execution result.Execution) {
	all := k.gates.Load()
	if execution != result.NotRun || all == nil || len(*all) == 0 {
		return
	}
	for _, print := range append(r.segments(), r.Print()) {
		if g := (*all)[print]; g != nil {
			g.release(r.ID)
		}
	}
}

// Refusal returns the error for a request that is held back for the given time.
func Refusal(left time.Duration) *result.Error {
	err := result.New(result.RequestHeldBack, result.NotRun, "upstreams have crashed under it")
	err.RetryAfter = left
	return err
}

// OneCrashFromHold reports whether one more crash would cause the request to be held back.
func (k *Keeper) OneCrashFromHold(r Request) bool {
	print, segments := r.Print(), r.segments()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.OneCrashFromHold(print, segments...)
}

// RecordCrash records the requests that this entry had in flight at an upstream that crashed.
func (k *Keeper) RecordCrash(upstream dispatch.Upstream, affected []Suspect) {
	now := time.Now()
	tag := uint32(dispatch.TagOf(upstream.Incarnation()))
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range affected {
		segments := k.segmentsOf(s.Service, s.Segments)
		seen := corequarantine.Crash{Upstream: tag, At: now, Repeated: s.AfterCrash, Begun: s.Begun}
		if !k.ledger.RecordCrash(now, seen, s.Print, segments...) {
			continue
		}
		k.suspects[s.Print] = s
		for i, segment := range segments {
			k.segments[segment.Print] = suspectSegment{service: s.Service, id: s.Segments[i], last: s}
		}
		kind := corequarantine.CrashReport
		if s.AfterCrash {
			kind = corequarantine.RepeatedCrashReport
		}
		k.queueReport(corequarantine.Report{Kind: kind, Print: s.Print, Upstream: tag, Begun: s.Begun, Segments: segments})
		k.queueRecord(now, s.Print)
	}
	// An entry without a link may have seen the same requests make other upstreams crash, so the
	// store is read again.
	k.rows.reread = true
	k.wake()
	k.evidenceChanged(now)
}

// segmentsOf returns the segments of a prompt with what this entry knows of them.
func (k *Keeper) segmentsOf(service string, ids []string) []corequarantine.Segment {
	segments := make([]corequarantine.Segment, min(len(ids), corequarantine.MaxSegments))
	for i := range segments {
		print := fingerprint.OfSegment(service, ids[i])
		segments[i] = corequarantine.Segment{Print: print, Answered: k.answered.count(print)}
	}
	return segments
}

// RecordAnswer records that an upstream has answered a request in full, which ends the suspicion
// and any hold of its content and its segments.
func (k *Keeper) RecordAnswer(r Request) {
	segments := r.segments()
	for _, print := range segments {
		k.answered.add(print)
	}
	if !k.active.Load() {
		return
	}
	now, print := time.Now(), r.Print()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range append(segments, print) {
		k.recordAnswerOf(now, p)
	}
}

// recordAnswerOf records the answer of a request or a segment. It is called with mu held.
func (k *Keeper) recordAnswerOf(now time.Time, p fingerprint.Print) {
	wasHeld := !k.ledger.HeldUntil(now, p).IsZero()
	if !k.ledger.Clear(now, p) {
		return
	}
	k.queueReport(corequarantine.Report{Kind: corequarantine.AnswerReport, Print: p})
	k.clearRequest(p, k.rows.listed[p]...)
	if wasHeld {
		k.config.Log.Warn().Stringer("fingerprint", p).Msg("request is no longer held back: an upstream has answered it")
	}
}

// clearRequest forgets a request that the ledger has cleared, and queues the removal of the named
// rows and of this entry's own row. It is called with mu held.
func (k *Keeper) clearRequest(print fingerprint.Print, names ...string) {
	delete(k.suspects, print)
	delete(k.segments, print)
	if _, own := k.rows.own[print]; own {
		names = append(names[:len(names):len(names)], rowName(print, k.config.VM))
	}
	if k.rows.drop(print, names...) {
		k.wake()
	}
	k.publish()
}

// decisionInterval is how long evidence is collected before it is weighed: a failing rack brings hundreds of
// reports at once, and a verdict waits longer than this in any case.
const decisionInterval = 20 * time.Millisecond

// evidenceChanged makes the current holds visible and schedules the next decision. It is called with mu held.
func (k *Keeper) evidenceChanged(now time.Time) {
	k.publish()
	k.decideAt(now, now.Add(decisionInterval))
}

// decideAt schedules the next decision, unless an earlier one is scheduled. It is called with mu held.
func (k *Keeper) decideAt(now, at time.Time) {
	if !k.nextDecision.IsZero() && !k.nextDecision.After(at) {
		return
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	k.nextDecision = at
	k.timer = time.AfterFunc(at.Sub(now), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.nextDecision = time.Time{}
		k.decide(time.Now())
	})
}

// decide holds back the requests that are due and schedules the next decision. It is called
// with mu held.
func (k *Keeper) decide(now time.Time) {
	verdicts, next := k.ledger.Decide(now)
	for _, v := range verdicts {
		k.holdBack(now, v)
	}
	k.publish()
	if !next.IsZero() {
		k.decideAt(now, next)
	}
}

// holdBack logs a request or a segment that is held back from now on. If this entry itself saw an upstream
// crash that was serving it, it also reports the hold to the other entries and writes it to the
// store. An entry that saw no such crash leaves that to those that did: all entries decide alike.
// It is called with mu held.
func (k *Keeper) holdBack(now time.Time, v corequarantine.Verdict) {
	segment, ofSegment := k.segments[v.Print]
	s, seen := k.suspects[v.Print]
	if ofSegment {
		s, seen = segment.last, true
	}
	line := verdictLine{verdict: v, now: now, suspect: s}
	if v.Hold.Segment {
		k.config.Log.Warn().EmbedObject(line).Str("service", segment.service).Str("segment", segment.id).
			Msg("prompts with a segment are held back: upstreams crash under them")
	} else {
		k.config.Log.Warn().EmbedObject(line).Msg("request is held back: upstreams crash under it")
	}
	if seen {
		k.queueReport(holdReport(now, v.Print, v.Hold))
		k.queueRecord(now, v.Print)
	}
}

// verdictLine holds the fields of the log line on a verdict.
type verdictLine struct {
	verdict corequarantine.Verdict
	now     time.Time
	// suspect is the request, or the last one with the segment.
	suspect Suspect
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l verdictLine) MarshalZerologObject(e *zerolog.Event) {
	hold := l.verdict.Hold
	e.Stringer("fingerprint", l.verdict.Print).Int("crashes", l.verdict.Crashes).Bool("shared", l.verdict.Shared).
		Int64("for_ms", hold.Until.Sub(l.now).Milliseconds()).Int("times", hold.Times).
		Str("request", l.suspect.Request).Str("route", l.suspect.Route).Str("organisation", l.suspect.Organisation)
}

func holdReport(now time.Time, print fingerprint.Print, h corequarantine.Hold) corequarantine.Report {
	kind := corequarantine.HoldReport
	if h.Segment {
		kind = corequarantine.SegmentHoldReport
	}
	return corequarantine.Report{Kind: kind, Print: print, LeftMs: max(h.Until.Sub(now), 0).Milliseconds(), Times: h.Times}
}

// publish makes the current holds visible to requests. It is called with mu held.
func (k *Keeper) publish() {
	var old map[fingerprint.Print]*gate
	if published := k.gates.Load(); published != nil {
		old = *published
	}
	all := make(map[fingerprint.Print]*gate)
	changed := false
	for print, h := range k.ledger.Holds() {
		opens := h.Until.Add(k.trialDelay(print))
		g := old[print]
		if g == nil || !g.opens.Equal(opens) {
			g, changed = &gate{opens: opens}, true
		}
		all[print] = g
	}
	if changed || len(all) != len(old) {
		k.gates.Store(&all)
	}
	k.active.Store(len(all) > 0 || k.ledger.Suspects() > 0)
}

// StoreCalls returns the number of calls to the store.
func (k *Keeper) StoreCalls() uint64 { return k.storeCalls.Load() }

// Counts returns the number of requests that are held back and of those that are suspected.
func (k *Keeper) Counts() (heldBack, suspected int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heldBack(false), k.ledger.Suspects()
}

// SegmentCounts returns the number of segments that are held back and of those that are suspected.
func (k *Keeper) SegmentCounts() (heldBack, suspected int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heldBack(true), k.ledger.Segments()
}

// heldBack returns the number of requests, or of segments, that are held back. It is called with mu held.
func (k *Keeper) heldBack(segments bool) int {
	n := 0
	for _, h := range k.ledger.ActiveHolds(time.Now()) {
		if h.Segment == segments {
			n++
		}
	}
	return n
}
