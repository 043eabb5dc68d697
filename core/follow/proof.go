package follow

import (
	"slices"
	"time"
)

// The store names the newest version in each answer, whatever rows the answer has. An answer may lack a change up to that
// version: a read may end while the store keeps changes back, before it drops its history; a read that waits isn't told that the history
// was dropped, and is answered by the next change; the version may be newer than the moment of the rows. So an entry reads on
// from a position that answers prove:
//
//   - Rows of a read that was answered at once prove all changes up to the last of them: the store would have refused a position that is
//     older than its history. So rows that came after a wait are asked for once more. An answer holds a page at most, so that
//     this may take several reads. Of large rows one page may hold few versions: the whole table, which has only the newest, is read
//     in place of them, once nothing changes, a page is full, or changes have come for a while.
//   - No rows prove nothing yet. The position moves to a version only once a read that began settleTime after that version
//     was named, from the older position, had no rows either.
//   - The rows of a whole table prove the changes up to the newest of them, and up to every version that was named before the read
//     began.

const (
	// settleTime is how long after a version was named reads still begin before it. It is longer than the store keeps changes
	// back, and with the wait of a read well below the time for which it keeps its history.
	settleTime = 5 * time.Second
	// maxAhead is how long reads go on from large rows that are not confirmed while changes come one after the other.
	maxAhead = 500 * time.Millisecond
	// maxContradictions is the number of answers without rows that an earlier answer had, after which everything is read.
	maxContradictions = 5
	// versionSpacing is the least time between two named versions that are remembered, maxVersions bounds their number.
	versionSpacing = settleTime / 20
	maxVersions    = 64
)

// Answer is what the store has answered to a read.
type Answer struct {
	// Named is the newest version that the answer names; its rows need not reach that far.
	Named Position
	// Rows is the version up to which the rows themselves show that they reach: that of the newest one. It is zero if there are none.
	Rows Position
	// Large says that the rows are so large that the changes after them are more urgent than to have them once more.
	Large bool
	// Full says that the answer may hold no more rows, so that there may be others after them.
	Full bool
}

// namedVersion is a version that the store has named, and when that became known.
type namedVersion struct {
	version Position
	at      time.Time
}

// proof tracks the position up to which answers prove that no change is missing.
type proof struct {
	position Position
	// before is the position before the last answer, update or state.
	before Position
	// unconfirmed is the last row of an answer that is asked for once more; zero for none.
	unconfirmed    Position
	contradictions int
	// ahead is the last row of large ones, from which reads go on until nothing changes; zero for none. aheadSince is when the
	// first of them came.
	ahead      Position
	aheadSince time.Time
	// whole says that the whole table is read in place of the rows that were to be asked for once more.
	whole bool
	named []namedVersion
}

// recordWhole records the answer to a read of the whole table.
func (p *proof) recordWhole(began, now time.Time, a Answer) {
	p.before = 0
	if p.whole {
		if a.Named < p.unconfirmed {
			p.contradict()
			return
		}
		p.before = p.position
	}
	p.forgetRows()
	if n := len(p.named); n > 0 && p.named[n-1].version > a.Named {
		p.named = nil // The store's versions have gone back.
	}
	p.position = max(min(a.Rows, a.Named), p.namedBefore(began), p.before)
	p.name(now, a.Named)
}

// recordChanges records the answer to a read from the position, or from ahead.
func (p *proof) recordChanges(from Position, began, now time.Time, a Answer) {
	p.before = p.position
	switch {
	case from > p.position:
		p.unconfirmed, p.ahead = max(p.unconfirmed, a.Rows), a.Rows
		p.whole = a.Rows == 0 || a.Full || now.Sub(p.aheadSince) >= maxAhead
	case p.unconfirmed > 0 && a.Rows > 0:
		p.contradictions = 0
		p.moveTo(a.Rows)
	case p.unconfirmed > 0:
		p.contradict()
	case a.Rows > 0:
		p.unconfirmed = a.Rows
		if a.Large {
			p.ahead, p.aheadSince, p.whole = a.Rows, now, a.Full
		}
	default:
		p.moveTo(p.namedBefore(began.Add(-settleTime)))
	}
	p.name(now, a.Named)
}

// contradict records an answer without rows that an earlier answer had.
func (p *proof) contradict() {
	p.contradictions++
	if p.contradictions >= maxContradictions {
		p.reset()
	}
}

// recordUpdate records that another entry has read up to a version.
func (p *proof) recordUpdate(now time.Time, to Position) {
	p.before = p.position
	p.moveTo(p.namedBefore(now.Add(-settleTime)))
	p.name(now, to)
}

// recordState records the whole state as of a position, which another entry has sent. It is all that an entry can know
// that has not read the store yet.
func (p *proof) recordState(position Position) {
	p.before = p.position
	if p.position == 0 {
		p.moveTo(position)
	}
}

// moveTo moves the position forward.
func (p *proof) moveTo(to Position) {
	p.position = max(p.position, to)
	if p.position >= p.unconfirmed {
		p.forgetRows()
	}
	p.named = slices.DeleteFunc(p.named, func(n namedVersion) bool { return n.version <= p.position })
}

// namedBefore returns the newest version that had been named at a time; zero for none.
func (p *proof) namedBefore(at time.Time) Position {
	var newest Position
	for _, n := range p.named {
		if !n.at.After(at) {
			newest = max(newest, n.version)
		}
	}
	return newest
}

// name records that a version was named.
func (p *proof) name(now time.Time, version Position) {
	if n := len(p.named); version <= p.position || n >= maxVersions ||
		n > 0 && (p.named[n-1].version >= version || now.Sub(p.named[n-1].at) < versionSpacing) {
		return
	}
	p.named = append(p.named, namedVersion{version, now})
}

// forgetRows forgets the rows that were to be asked for once more.
func (p *proof) forgetRows() { p.unconfirmed, p.contradictions, p.ahead, p.whole = 0, 0, 0, false }

// reset makes the whole table be read.
func (p *proof) reset() {
	p.position = 0
	p.forgetRows()
}

// revert takes back what the last answer has proved, and the versions named since a position: content was lost.
func (p *proof) revert(since Position) {
	p.position = min(p.position, p.before)
	p.forgetRows()
	p.named = slices.DeleteFunc(p.named, func(n namedVersion) bool { return n.version > since })
}

// ReadFrom returns the position from which to read; zero for everything. It is older than Position: what followers send
// goes on from there.
func (f *Feed) ReadFrom() Position {
	if f.position == 0 || f.proof.whole {
		return 0
	}
	return min(max(f.proof.position, f.proof.ahead), f.Position())
}

// Confirms reports whether the next read is of everything although the entry has a state that others' updates go on from: it confirms
// rows that the entry has.
func (f *Feed) Confirms() bool { return f.position > 0 && f.proof.whole }

// namesLess records a version that an answer has named, and reports whether it is less than what is known. A store that has named
// less for settleTime has gone back.
func (f *Feed) namesLess(now time.Time, named Position) bool {
	if named >= f.named || !f.lessSince.IsZero() && now.Sub(f.lessSince) >= settleTime {
		f.named, f.lessSince = named, time.Time{}
		return false
	}
	if f.lessSince.IsZero() {
		f.lessSince = now
	}
	return true
}

// Named returns the newest version that the store is known to have named, also before everything was read anew.
func (f *Feed) Named() Position { return f.named }

// Current reports whether the last answer reached up to the present, as far as the entry knows: an older page doesn't.
func (f *Feed) Current() bool { return !f.behind }

// Proven returns the position up to which the store's answers prove that the entry lacks no change.
func (f *Feed) Proven() Position { return f.proof.position }

// Unconfirmed reports whether the next read asks once more for rows that the entry has: it is answered at once.
func (f *Feed) Unconfirmed() bool { return f.proof.unconfirmed > 0 && f.proof.ahead == 0 }

// RecordAnswer records the answer to a read from a position that ReadFrom has returned. It is called before Read.
func (f *Feed) RecordAnswer(from Position, began, now time.Time, a Answer) {
	f.behind = a.Full || f.namesLess(now, a.Named)
	if from == 0 {
		f.proof.recordWhole(began, now, a)
		return
	}
	f.proof.recordChanges(from, began, now, a)
}
