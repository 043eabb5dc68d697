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
	// recordFrom is the number of crashes from which a request is written down. One crash takes
	// many requests along, and a rack that fails thousands, each entry's own: the store would be
	// flooded.
	recordFrom = 2
	// batchFor is how long a wake waits for others.
	batchFor = 5 * time.Millisecond
	// restFor is the least time between two passes over the store.
	restFor = 100 * time.Millisecond
	// retryEvery is the pause after a failed pass.
	retryEvery = 500 * time.Millisecond
	// rereadEvery is how often the store is read anyway where links tell the same, and
	// unlinkedEvery while there are entries that only it connects with this one.
	rereadEvery   = 30 * time.Second
	unlinkedEvery = 2 * time.Second
	// mostRows bounds the rows that are taken up.
	mostRows = 10_000
)

// rows is what is to be done at the store. The Keeper's lock guards it.
type rows struct {
	// own are this entry's rows as they should stand, and dirty those that may not.
	own   map[fingerprint.Print]Record
	dirty map[fingerprint.Print]bool
	// listed are the names of the rows of each request as last read, and remove those to remove.
	listed map[fingerprint.Print][]string
	remove map[string]bool
	// reread says that others may have written.
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

// drop has a request's rows removed that are among the names. It reports whether there are any.
func (r *rows) drop(print fingerprint.Print, names ...string) bool {
	delete(r.own, print)
	delete(r.dirty, print)
	for _, name := range names {
		r.remove[name] = true
	}
	return len(names) > 0
}

// wake has the store written or read soon.
func (k *Keeper) wake() {
	select {
	case k.woken <- struct{}{}:
	default: // It will be.
	}
}

// record has this entry's row of a request written, where it has seen an upstream crash under it and
// there is enough against it. It is called with mu held.
func (k *Keeper) record(now time.Time, print fingerprint.Print) {
	s, seen := k.seen[print]
	crashes := k.ledger.Crashes(print)
	if !seen || len(crashes) < recordFrom || k.config.Store == nil {
		return
	}
	record := Record{WrittenMs: now.UnixMilli(), Request: s.Request, Route: s.Route, Organisation: s.Organisation}
	for _, c := range crashes {
		record.Crashes = append(record.Crashes, RecordedCrash{Upstream: c.Upstream, AtMs: c.At.UnixMilli(), Again: c.Repeated})
	}
	if h, ok := k.ledger.ActiveHolds(now)[print]; ok {
		record.HeldUntilMs, record.Times = h.Until.UnixMilli(), h.Times
	}
	k.rows.own[print] = record
	k.rows.dirty[print] = true
	k.wake()
}

// Run writes to the store and reads it until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.config.Store == nil {
		return
	}
	k.mu.Lock()
	k.rows.reread = true
	k.mu.Unlock()
	for ctx.Err() == nil {
		wait := k.config.Reread
		switch err := k.pass(ctx); {
		case err != nil:
			k.config.Log.Info().Err(err).Msg("the quarantine could not be written or read yet")
			wait = retryEvery
		case k.config.Unlinked():
			wait = unlinkedEvery
		}
		pause.For(ctx, restFor)
		k.rest(ctx, wait)
	}
}

// rest waits until there is something to do at the store, at the longest for wait.
func (k *Keeper) rest(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.woken:
		pause.For(ctx, batchFor)
	case now := <-timer.C:
		k.mu.Lock()
		k.forget(now)
		k.rows.reread = true
		k.mu.Unlock()
	}
}

// forget drops what is too old to count. It is called with mu held.
func (k *Keeper) forget(now time.Time) {
	k.ledger.Expire(now)
	for print := range k.seen {
		if !k.ledger.Suspected(print) && k.ledger.HeldUntil(now, print).IsZero() {
			delete(k.seen, print)
			k.rows.drop(print)
		}
	}
	k.publish()
}

// pass does what is to be done at the store.
func (k *Keeper) pass(ctx context.Context) error {
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

// write writes the rows that may not stand as they should, and removes those of requests against
// which nothing is held any more.
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
	return k.config.Store.Put(ctx, k.key(rowName(print, k.config.VM)), value)
}

// read reads all rows and takes up what other entries, and this one in an earlier life, have
// written.
func (k *Keeper) read(ctx context.Context) error {
	stored, _, err := k.config.Store.All(ctx, k.config.Table)
	if err != nil {
		return err
	}
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rows.reread = false
	all := k.decode(stored)
	released := releases(now, all)
	clear(k.rows.listed)
	for _, r := range all {
		k.rows.listed[r.Print] = append(k.rows.listed[r.Print], r.name)
	}
	for print, at := range released {
		k.release(now, print, at)
	}
	for _, r := range all {
		k.take(now, r, released[r.Print])
	}
	k.rewrite()
	k.decide(now)
	k.loaded.Store(true)
	return nil
}

func (k *Keeper) decode(stored []table.Row) []Row {
	var all []Row
	var first error
	faults := 0
	for i, s := range stored {
		r, err := Decode(s)
		if err == nil && i >= mostRows {
			err = errors.Errorf("row %.80q: more than %d rows", s.Key.Row, mostRows)
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

// release ends a hold that an operator has released at a time, in Unix milliseconds, unless there
// were crashes since.
func (k *Keeper) release(now time.Time, print fingerprint.Print, at int64) {
	for _, c := range k.ledger.Crashes(print) {
		if c.At.UnixMilli() > at {
			return
		}
	}
	if !k.ledger.Clear(now, print) {
		return
	}
	delete(k.seen, print)
	k.rows.drop(print)
	k.config.Log.Warn().Stringer("fingerprint", print).Msg("request is no longer held back: an operator has released it")
}

// take takes up one row, and has it removed where it no longer counts: one that is older than a
// release would count again once the release's own row is gone.
func (k *Keeper) take(now time.Time, r Row, released int64) {
	if r.over(now, k.config.Settings) || r.ReleasedMs == 0 && r.WrittenMs <= released {
		k.rows.remove[r.name] = true
		k.wake()
		return
	}
	for _, c := range r.Crashes {
		if c.AtMs > released {
			k.ledger.RestoreCrash(now, corequarantine.Crash{Upstream: c.Upstream, At: time.UnixMilli(c.AtMs), Repeated: c.Again}, r.Print)
		}
	}
	until := time.UnixMilli(r.HeldUntilMs)
	if k.ledger.ApplyHold(now, r.Print, corequarantine.Hold{Until: until, Times: r.Times}) {
		k.logHeld(r.Writer, r.Print, until.Sub(now).Milliseconds())
	}
}

// rewrite has this entry's rows written again that the store should have and doesn't.
func (k *Keeper) rewrite() {
	for print := range k.rows.own {
		found := slices.Contains(k.rows.listed[print], rowName(print, k.config.VM))
		if !found && !k.rows.dirty[print] {
			k.rows.dirty[print] = true
			k.wake()
		}
	}
}
