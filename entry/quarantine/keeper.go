// Package quarantine keeps, for one entry, which requests are held back because upstreams crash
// under them: it tells the other entries what this one sees, hears what they see, and writes it to
// the store, where it outlasts all entries and reaches those that have no link.
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

// Suspect is a request that was in hand at an upstream that has crashed.
type Suspect struct {
	Print fingerprint.Print
	// Request, Route and Organisation say which one it was, for those who read about it.
	Request      string
	Route        string
	Organisation string
	// Again says that it had come there from another upstream that had crashed.
	Again bool
}

// Store is what a Keeper needs of the platform's store; table.Feed has it.
type Store interface {
	// All returns all rows of a table.
	All(ctx context.Context, table string) ([]table.Row, uint64, error)
	// Put writes a row, whatever stood there.
	Put(ctx context.Context, key table.Key, value []byte) error
	// Remove deletes a row; that it is not there is no failure.
	Remove(ctx context.Context, key table.Key) error
}

// Config configures a Keeper.
type Config struct {
	// VM names this entry.
	VM       string
	Settings corequarantine.Settings
	// Store and Table are where it is written down; a nil Store is for an entry that has none.
	Store Store
	Table string
	// Reread is how often the store is read anyway; zero means every 30 s.
	Reread time.Duration
	// Unlinked tells whether there may be entries that only the store connects with this one.
	Unlinked func() bool
	Log      zerolog.Logger
}

// Keeper keeps one entry's quarantine. It is safe for concurrent use.
type Keeper struct {
	config  Config
	started time.Time
	// held is replaced whole when it changes, and watched says that anything is suspected or
	// held back: requests look at them on their way.
	held    atomic.Pointer[map[fingerprint.Print]time.Time]
	watched atomic.Bool
	// loaded says that the store was read once.
	loaded atomic.Bool
	// told and woken have a value when there is something to tell, and to write or read.
	told  chan struct{}
	woken chan struct{}

	mu     sync.Mutex
	ledger *corequarantine.Ledger
	// seen are the requests under which this entry saw upstreams crash.
	seen    map[fingerprint.Print]Suspect
	reports []report
	dropped uint64
	timer   *time.Timer
	rows    rows
}

// New returns a Keeper; Run makes it use the store.
func New(config Config) *Keeper {
	if config.Reread == 0 {
		config.Reread = rereadEvery
	}
	return &Keeper{
		config:  config,
		started: time.Now(),
		told:    make(chan struct{}, 1),
		woken:   make(chan struct{}, 1),
		ledger:  corequarantine.NewLedger(config.Settings),
		seen:    make(map[fingerprint.Print]Suspect),
		rows:    newRows(),
	}
}

// loadWithin is how long an entry waits at its start to learn what is held back. Serving goes
// before that: a store that doesn't answer must not keep it from its callers.
const loadWithin = 2 * time.Second

// Ready reports whether it is known what is held back, or was waited for long enough.
func (k *Keeper) Ready() bool {
	return k.config.Store == nil || k.loaded.Load() || time.Since(k.started) > loadWithin
}

// Held returns for how much longer a request is held back; print computes its fingerprint where
// that is needed.
func (k *Keeper) Held(print func() fingerprint.Print) (left time.Duration, held bool) {
	all := k.held.Load()
	if all == nil || len(*all) == 0 {
		return 0, false
	}
	left = time.Until((*all)[print()])
	return left, left > 0
}

// Refusal is the answer to a request that is held back for so much longer.
func Refusal(left time.Duration) *result.Error {
	err := result.New(result.RequestHeldBack, result.NotRun, "upstreams have crashed under it")
	err.RetryAfter = left
	return err
}

// Doubtful reports whether one more crash would have a request held back.
func (k *Keeper) Doubtful(print fingerprint.Print) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ledger.Crashes(print)) >= k.config.Settings.MinCrashes-1
}

// Ended takes the requests that this entry had at an upstream that has crashed.
func (k *Keeper) Ended(upstream dispatch.Upstream, under []Suspect) {
	now := time.Now()
	tag := uint32(dispatch.TagOf(upstream.Incarnation()))
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range under {
		if !k.ledger.RecordCrash(now, corequarantine.Crash{Upstream: tag, At: now, Repeated: s.Again}, s.Print) {
			continue
		}
		k.seen[s.Print] = s
		kind := corequarantine.CrashReport
		if s.Again {
			kind = corequarantine.RepeatedCrashReport
		}
		k.report(corequarantine.Report{Kind: kind, Print: s.Print, Upstream: tag})
		k.record(now, s.Print)
	}
	// Entries without a link may have seen the same request crash others.
	k.rows.reread = true
	k.wake()
	k.decide(now)
}

// Answered notes that an upstream has answered a request whole.
func (k *Keeper) Answered(print func() fingerprint.Print) {
	if !k.watched.Load() {
		return
	}
	now, p := time.Now(), print()
	k.mu.Lock()
	defer k.mu.Unlock()
	wasHeld := !k.ledger.HeldUntil(now, p).IsZero()
	if !k.ledger.Clear(now, p) {
		return
	}
	k.report(corequarantine.Report{Kind: corequarantine.AnswerReport, Print: p})
	k.dismiss(p, k.rows.listed[p]...)
	if wasHeld {
		k.config.Log.Warn().Stringer("fingerprint", p).Msg("request is no longer held back: an upstream has answered it")
	}
}

// dismiss drops what was seen of a request and has its rows of the given names removed, and this
// entry's own. It is called with mu held.
func (k *Keeper) dismiss(print fingerprint.Print, names ...string) {
	delete(k.seen, print)
	if _, own := k.rows.own[print]; own {
		names = append(names[:len(names):len(names)], rowName(print, k.config.VM))
	}
	if k.rows.drop(print, names...) {
		k.wake()
	}
	k.publish()
}

// decide holds back what is due, and comes back when more may be. It is called with mu held.
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

// holdBack tells of a request that is held back from now on. Entries that saw no crash under it
// leave it to the others to tell: all decide alike. It is called with mu held.
func (k *Keeper) holdBack(now time.Time, v corequarantine.Verdict) {
	s, seen := k.seen[v.Print]
	k.config.Log.Warn().Stringer("fingerprint", v.Print).Int("crashes", v.Crashes).Bool("shared", v.Shared).
		Int64("for_ms", v.Hold.Until.Sub(now).Milliseconds()).Int("times", v.Hold.Times).
		Str("request", s.Request).Str("route", s.Route).Str("organisation", s.Organisation).
		Msg("request is held back: upstreams crash under it")
	if seen {
		k.report(held(now, v.Print, v.Hold))
		k.record(now, v.Print)
	}
}

func held(now time.Time, print fingerprint.Print, h corequarantine.Hold) corequarantine.Report {
	return corequarantine.Report{
		Kind: corequarantine.HoldReport, Print: print, LeftMs: h.Until.Sub(now).Milliseconds(), Times: h.Times,
	}
}

// publish lets requests see what is held back. It is called with mu held.
func (k *Keeper) publish() {
	all := make(map[fingerprint.Print]time.Time)
	for print, h := range k.ledger.ActiveHolds(time.Now()) {
		all[print] = h.Until
	}
	if old := k.held.Load(); old == nil || !maps.Equal(*old, all) {
		k.held.Store(&all)
	}
	k.watched.Store(len(all) > 0 || k.ledger.Suspects() > 0)
}

// Counts returns how many requests are held back and how many are suspected.
func (k *Keeper) Counts() (heldBack, suspected int) {
	if all := k.held.Load(); all != nil {
		heldBack = len(*all)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return heldBack, k.ledger.Suspects()
}
