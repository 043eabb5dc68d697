// Package quarantine manages one entry's quarantine: the requests that are held back because
// upstreams crashed while they served them. The entry exchanges crash reports with the other
// entries and writes them to the store, where they survive a restart of all entries and reach
// entries without a link.
package quarantine

import (
	"context"
	"maps"
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
	// Segments are the IDs of the segments that the request's prompt may share with others.
	Segments []string
	// AfterCrash reports whether the request was retried after another upstream had crashed
	// while it served the request.
	AfterCrash bool
}

// Store is the part of the platform's store that a Keeper uses. table.Feed implements it.
type Store interface {
	// All returns all rows of a table.
	All(ctx context.Context, table string) ([]table.Row, uint64, error)
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
	// heldUntil maps each request that is held back to the end of its hold. It is replaced as a
	// whole when it changes. active reports whether any request is suspected or held back. Both
	// are read on the path of every request without taking mu.
	heldUntil atomic.Pointer[map[fingerprint.Print]time.Time]
	active    atomic.Bool
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
	// suspects are the requests that upstreams were serving when this entry saw them crash.
	suspects map[fingerprint.Print]Suspect
	reports  []queuedReport
	// dropped counts the malformed reports of other entries.
	dropped uint64
	// timer calls decide when the next verdict is due.
	timer *time.Timer
	rows  rows
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

// Held returns for how much longer a request is held back. It calls print for the request's
// fingerprint only if any request is held back.
func (k *Keeper) Held(print func() fingerprint.Print) (left time.Duration, held bool) {
	all := k.heldUntil.Load()
	if all == nil || len(*all) == 0 {
		return 0, false
	}
	left = time.Until((*all)[print()])
	return left, left > 0
}

// Refusal returns the error for a request that is held back for the given time.
func Refusal(left time.Duration) *result.Error {
	err := result.New(result.RequestHeldBack, result.NotRun, "upstreams have crashed under it")
	err.RetryAfter = left
	return err
}

// OneCrashFromHold reports whether one more crash would cause the request to be held back.
func (k *Keeper) OneCrashFromHold(print fingerprint.Print) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ledger.Crashes(print)) >= k.config.Settings.MinCrashes-1
}

// RecordCrash records the requests that this entry had in flight at an upstream that crashed.
func (k *Keeper) RecordCrash(upstream dispatch.Upstream, affected []Suspect) {
	now := time.Now()
	tag := uint32(dispatch.TagOf(upstream.Incarnation()))
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range affected {
		if !k.ledger.RecordCrash(now, corequarantine.Crash{Upstream: tag, At: now, Repeated: s.AfterCrash}, s.Print) {
			continue
		}
		k.suspects[s.Print] = s
		kind := corequarantine.CrashReport
		if s.AfterCrash {
			kind = corequarantine.RepeatedCrashReport
		}
		k.queueReport(corequarantine.Report{Kind: kind, Print: s.Print, Upstream: tag})
		k.queueRecord(now, s.Print)
	}
	// An entry without a link may have seen the same requests make other upstreams crash, so the
	// store is read again.
	k.rows.reread = true
	k.wake()
	k.decide(now)
}

// RecordAnswer records that an upstream has answered a request in full, which ends the suspicion
// and any hold.
func (k *Keeper) RecordAnswer(print func() fingerprint.Print) {
	if !k.active.Load() {
		return
	}
	now, p := time.Now(), print()
	k.mu.Lock()
	defer k.mu.Unlock()
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
	if _, own := k.rows.own[print]; own {
		names = append(names[:len(names):len(names)], rowName(print, k.config.VM))
	}
	if k.rows.drop(print, names...) {
		k.wake()
	}
	k.publish()
}

// decide holds back the requests that are due and schedules the next decision. It is called
// with mu held.
func (k *Keeper) decide(now time.Time) {
	verdicts, next := k.ledger.Decide(now)
	for _, v := range verdicts {
		k.holdBack(now, v)
	}
	k.publish()
	if next.IsZero() {
		return
	}
	if k.timer != nil {
		k.timer.Stop()
	}
	k.timer = time.AfterFunc(next.Sub(now), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.decide(time.Now())
	})
}

// holdBack logs a request that is held back from now on. If this entry itself saw an upstream crash
// that was serving the request, it also reports the hold to the other entries and writes it to the
// store. An entry that saw no such crash leaves that to those that did: all entries decide alike.
// It is called with mu held.
func (k *Keeper) holdBack(now time.Time, v corequarantine.Verdict) {
	s, seen := k.suspects[v.Print]
	k.config.Log.Warn().Stringer("fingerprint", v.Print).Int("crashes", v.Crashes).Bool("shared", v.Shared).
		Int64("for_ms", v.Hold.Until.Sub(now).Milliseconds()).Int("times", v.Hold.Times).
		Str("request", s.Request).Str("route", s.Route).Str("organisation", s.Organisation).
		Msg("request is held back: upstreams crash under it")
	if seen {
		k.queueReport(holdReport(now, v.Print, v.Hold))
		k.queueRecord(now, v.Print)
	}
}

func holdReport(now time.Time, print fingerprint.Print, h corequarantine.Hold) corequarantine.Report {
	return corequarantine.Report{
		Kind: corequarantine.HoldReport, Print: print, LeftMs: h.Until.Sub(now).Milliseconds(), Times: h.Times,
	}
}

// publish makes the current holds visible to requests. It is called with mu held.
func (k *Keeper) publish() {
	all := make(map[fingerprint.Print]time.Time)
	for print, h := range k.ledger.ActiveHolds(time.Now()) {
		all[print] = h.Until
	}
	if old := k.heldUntil.Load(); old == nil || !maps.Equal(*old, all) {
		k.heldUntil.Store(&all)
	}
	k.active.Store(len(all) > 0 || k.ledger.Suspects() > 0)
}

// StoreCalls returns the number of calls to the store.
func (k *Keeper) StoreCalls() uint64 { return k.storeCalls.Load() }

// Counts returns the number of requests that are held back and of those that are suspected.
func (k *Keeper) Counts() (heldBack, suspected int) {
	if all := k.heldUntil.Load(); all != nil {
		heldBack = len(*all)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return heldBack, k.ledger.Suspects()
}
