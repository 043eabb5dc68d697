package quarantine

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"acaciacleat.example/core/fingerprint"
	corequarantine "acaciacleat.example/core/quarantine"
	"acaciacleat.example/peers/pause"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

const (
	// minRecordedCrashes is the number of crashes from which on a request is written to the store.
	// A single crash affects every request in flight, and a failing rack affects thousands. Each
	// of these requests is known to one entry only, and writing all of them would flood the store.
	minRecordedCrashes = 2
	// batchDelay is how long a wakeup waits for further changes.
	batchDelay = 5 * time.Millisecond
	// minPassInterval is the minimum interval between two passes over the store.
	minPassInterval = 100 * time.Millisecond
	// retryInterval is the pause after a failed pass.
	retryInterval = 500 * time.Millisecond
	// defaultRereadInterval is the interval at which the store is read while links deliver the
	// same reports. unlinkedRereadInterval applies while some entries share reports with this
	// one only through the store.
	defaultRereadInterval  = 30 * time.Second
	unlinkedRereadInterval = 2 * time.Second
	// maxRows bounds the number of rows that are applied.
	maxRows = 10_000
)

// rows tracks the pending reads and writes of the store. The Keeper's lock guards it.
type rows struct {
	// own are this entry's rows as they should be in the store; dirty are those still to be
	// written.
	own   map[fingerprint.Print]Record
	dirty map[fingerprint.Print]bool
	// listed are the names of each request's rows as last read; remove are the names of rows to
	// remove.
	listed map[fingerprint.Print][]string
	remove map[string]bool
	// reread is set when other entries may have written rows.
	reread bool
}

func newRows() rows {
	return rows{
		own:    make(map[fingerprint.Print]Record),
		dirty:  make(map[fingerprint.Print]bool),
		listed: make(map[fingerprint.Print][]string),
		remove: make(map[string]bool),
	}
}

// drop discards this entry's row of a request and queues the removal of the named rows. It
// reports whether any are named.
func (r *rows) drop(print fingerprint.Print, names ...string) bool {
	delete(r.own, print)
	delete(r.dirty, print)
	for _, name := range names {
		r.remove[name] = true
	}
	return len(names) > 0
}

// wake schedules a pass over the store.
func (k *Keeper) wake() {
	select {
	case k.wakeup <- struct{}{}:
	default: // A pass is already scheduled.
	}
}

// queueRecord queues this entry's row of a request or a segment for writing, if the entry has seen an upstream
// crash that was serving it. The row of a request is written from minRecordedCrashes crashes on, that of a
// segment while it is held back. It is called with mu held.
func (k *Keeper) queueRecord(now time.Time, print fingerprint.Print) {
	if k.config.Store == nil {
		return
	}
	hold, held := k.ledger.ActiveHolds(now)[print]
	record, ok := k.requestRecord(print)
	if segment, known := k.segments[print]; known && held {
		record, ok = k.segmentRecord(print, segment), true
	}
	if !ok {
		return
	}
	record.WrittenMs = now.UnixMilli()
	if held {
		record.HeldUntilMs, record.Times = hold.Until.UnixMilli(), hold.Times
	}
	k.rows.own[print] = record
	k.rows.dirty[print] = true
	k.wake()
}

// requestRecord returns the record of a request. It is called with mu held.
func (k *Keeper) requestRecord(print fingerprint.Print) (Record, bool) {
	s, seen := k.suspects[print]
	crashes := k.ledger.Crashes(print)
	if !seen || len(crashes) < minRecordedCrashes {
		return Record{}, false
	}
	return Record{
		Crashes: recordedCrashes(crashes), Request: s.Request, Route: s.Route, Organisation: s.Organisation,
		Service: s.Service, Segments: s.Segments,
	}, true
}

// segmentRecord returns the record of a segment. It is called with mu held.
func (k *Keeper) segmentRecord(print fingerprint.Print, s suspectSegment) Record {
	return Record{
		Crashes: recordedCrashes(k.ledger.SegmentCrashes(print)), Request: s.last.Request, Route: s.last.Route,
		Organisation: s.last.Organisation, Service: s.service, Segment: s.id,
	}
}

func recordedCrashes(crashes []corequarantine.Crash) []RecordedCrash {
	var all []RecordedCrash
	for _, c := range crashes {
		all = append(all, RecordedCrash{Upstream: c.Upstream, AtMs: c.At.UnixMilli(), AfterCrash: c.Repeated, Begun: c.Begun})
	}
	return all
}

// Run synchronises with the store until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.config.Store == nil {
		return
	}
	k.waitForOthers(ctx)
	for ctx.Err() == nil {
		wait := k.config.RereadInterval
		switch err := k.syncStore(ctx); {
		case err != nil:
			k.config.Log.Info().Err(err).Msg("the quarantine could not be written or read; trying again")
			wait = retryInterval
		case k.config.MayHaveUnlinkedEntries():
			wait = unlinkedRereadInterval
		}
		pause.For(ctx, minPassInterval)
		k.waitForPass(ctx, wait)
	}
}

// waitForPass waits until a pass over the store is requested, or until wait has passed and a
// reread is due.
func (k *Keeper) waitForPass(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.wakeup:
		pause.For(ctx, batchDelay)
	case now := <-timer.C:
		heard := k.config.HeardFromOthers()
		k.mu.Lock()
		k.expire(now)
		k.rows.reread = !heard
		k.mu.Unlock()
	}
}

// startPoll is the interval at which an entry that has just started looks whether others tell it of what
// is in the store.
const startPoll = 50 * time.Millisecond

// waitForOthers waits until it is known whether the store must be read.
func (k *Keeper) waitForOthers(ctx context.Context) {
	for ctx.Err() == nil && k.config.Starting() {
		pause.For(ctx, startPoll)
	}
	heard := k.config.HeardFromOthers()
	if heard {
		k.loaded.Store(true) // An entry tells of the current holds as soon as its link opens.
	}
	k.mu.Lock()
	k.rows.reread = !heard
	k.mu.Unlock()
}

// expire drops crashes and holds that are too old to count, and the requests that are neither
// suspected nor held back any more. It is called with mu held.
func (k *Keeper) expire(now time.Time) {
	k.ledger.Expire(now)
	k.answered.decay(now)
	over := func(print fingerprint.Print) bool {
		return !k.ledger.Suspected(print) && k.ledger.HeldUntil(now, print).IsZero()
	}
	for print := range k.suspects {
		if over(print) {
			delete(k.suspects, print)
			k.rows.drop(print)
		}
	}
	for print := range k.segments {
		if over(print) {
			delete(k.segments, print)
			k.rows.drop(print)
		}
	}
	k.publish()
}

// syncStore writes the pending changes to the store and reads its rows if needed.
func (k *Keeper) syncStore(ctx context.Context) error {
	if err := k.write(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	reread := k.rows.reread
	k.mu.Unlock()
	if !reread {
		return nil
	}
	return k.read(ctx)
}

// write writes the dirty rows and removes the rows queued for removal.
func (k *Keeper) write(ctx context.Context) error {
	k.mu.Lock()
	writes := make(map[fingerprint.Print]Record, len(k.rows.dirty))
	for print := range k.rows.dirty {
		writes[print] = k.rows.own[print]
	}
	removes := k.rows.remove
	k.rows.dirty, k.rows.remove = make(map[fingerprint.Print]bool), make(map[string]bool)
	k.mu.Unlock()
	var failed error
	for print, record := range writes {
		if err := k.put(ctx, print, record); err != nil {
			failed = err
			k.mu.Lock()
			if _, still := k.rows.own[print]; still {
				k.rows.dirty[print] = true
			}
			k.mu.Unlock()
		}
	}
	for name := range removes {
		k.storeCalls.Add(1)
		if err := k.config.Store.Remove(ctx, k.key(name)); err != nil {
			failed = err
			k.mu.Lock()
			k.rows.remove[name] = true
			k.mu.Unlock()
		}
	}
	return failed
}

func (k *Keeper) key(name string) table.Key { return table.Key{Table: k.config.Table, Row: name} }

func (k *Keeper) put(ctx context.Context, print fingerprint.Print, record Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode a record of the quarantine")
	}
	k.storeCalls.Add(1)
	return k.config.Store.Put(ctx, k.key(rowName(print, k.config.VM)), value)
}

// read reads all rows and applies what other entries, and earlier incarnations of this one,
// have written.
func (k *Keeper) read(ctx context.Context) error {
	k.storeCalls.Add(1)
	stored, _, err := k.config.Store.All(ctx, k.config.Table)
	if err != nil {
		return err
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows.reread = false
	all := k.decode(stored)
	released := activeReleases(now, all)
	clear(k.rows.listed)
	for _, r := range all {
		k.rows.listed[r.Print] = append(k.rows.listed[r.Print], r.name)
	}
	for print, at := range released {
		k.applyRelease(now, print, at)
	}
	for _, r := range all {
		k.applyRow(now, r, released[r.Print])
	}
	k.rewriteMissing()
	k.decide(now)
	k.loaded.Store(true)
	return nil
}

// decode returns the rows that can be decoded, up to maxRows, and logs the number of the others in
// one line.
func (k *Keeper) decode(stored []table.Row) []Row {
	var all []Row
	var first error
	faults := 0
	for i, s := range stored {
		r, err := Decode(s)
		if err == nil && i >= maxRows {
			err = errors.Errorf("row %.80q: more than %d rows", s.Key.Row, maxRows)
		}
		if err == nil {
			all = append(all, r)
			continue
		}
		faults++
		if first == nil {
			first = err
		}
	}
	if faults > 0 {
		k.config.Log.Error().Err(first).Int("rows", faults).Msg("rows of the quarantine that could not be decoded; they are left out")
	}
	return all
}

// applyRelease ends a hold that an operator released at the given time, in Unix milliseconds,
// unless the request has crashed an upstream after that. It is called with mu held.
func (k *Keeper) applyRelease(now time.Time, print fingerprint.Print, at int64) {
	for _, c := range k.ledger.Crashes(print) {
		if c.At.UnixMilli() > at {
			return
		}
	}
	if !k.ledger.Clear(now, print) {
		return
	}
	delete(k.suspects, print)
	delete(k.segments, print)
	k.rows.drop(print)
	k.config.Log.Warn().Stringer("fingerprint", print).Msg("request is no longer held back: an operator has released it")
}

// applyRow applies one row, or queues its removal if it no longer counts. A row older than a
// release is removed because it would count again once the release's own row is gone. applyRow is
// called with mu held.
func (k *Keeper) applyRow(now time.Time, r Row, released int64) {
	if r.expired(now, k.config.Settings) || r.ReleasedMs == 0 && r.WrittenMs <= released {
		k.rows.remove[r.name] = true
		k.wake()
		return
	}
	for _, c := range r.countingCrashes(now) {
		// The crashes of a segment are restored from the rows of the requests that had it.
		if c.AtMs > released && r.Segment == "" {
			k.ledger.RestoreCrash(now, corequarantine.Crash{
				Upstream: c.Upstream, At: time.UnixMilli(c.AtMs), Repeated: c.AfterCrash, Begun: c.Begun,
			}, r.Print, k.segmentsOf(r.Service, r.Segments)...)
		}
	}
	hold := r.hold()
	if k.ledger.ApplyHold(now, r.Print, hold) {
		k.logHeld(r.Writer, r.Print, hold.Until.Sub(now).Milliseconds())
	}
}

// rewriteMissing queues this entry's rows that are missing from the store for writing. It is called
// with mu held.
func (k *Keeper) rewriteMissing() {
	for print := range k.rows.own {
		found := slices.Contains(k.rows.listed[print], rowName(print, k.config.VM))
		if !found && !k.rows.dirty[print] {
			k.rows.dirty[print] = true
			k.wake()
		}
	}
}
