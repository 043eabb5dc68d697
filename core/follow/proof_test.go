package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newProvenFeed returns a feed that has been read up to 10.
func newProvenFeed(t *testing.T) *Feed {
	t.Helper()
	f := NewFeed()
	f.RecordAnswer(0, start, start, Answer{Named: 10, Rows: 10})
	require.True(t, f.Read(start, 10))
	require.Equal(t, Position(10), f.ReadFrom())
	return f
}

// Guards against a change that is passed over because an answer without rows names a newer version.
func TestAnswerWithoutRowsMovesThePositionOnlyLater(t *testing.T) {
	f := newProvenFeed(t)
	f.RecordAnswer(10, start, start, Answer{Named: 15})
	require.True(t, f.Read(start, 15))
	require.Equal(t, Position(10), f.ReadFrom())
	f.RecordAnswer(10, start.Add(settleTime-1), start.Add(settleTime), Answer{Named: 20})
	require.Equal(t, Position(10), f.ReadFrom(), "the read began too early")
	f.RecordAnswer(10, start.Add(settleTime), start.Add(settleTime), Answer{Named: 20})
	require.Equal(t, Position(15), f.ReadFrom(), "no position grows older than the store's history")
}

// Guards against a change that is passed over because a read that waited isn't told of a dropped history.
func TestRowsAreAskedForOnceMore(t *testing.T) {
	f := newProvenFeed(t)
	f.RecordAnswer(10, start, start, Answer{Named: 15, Rows: 13})
	require.True(t, f.Read(start, 15))
	require.True(t, f.Unconfirmed())
	require.Equal(t, Position(10), f.ReadFrom())
	f.RecordAnswer(10, start, start, Answer{Named: 16, Rows: 14})
	require.False(t, f.Unconfirmed())
	require.Equal(t, Position(14), f.ReadFrom(), "the rows may reach less far than the version")
}

// Guards against changes that wait until large rows have been transferred for a second time: the whole table, which has only the newest
// of them, is read in their place once nothing changes.
func TestWholeTableConfirmsLargeRowsWhenNothingChanges(t *testing.T) {
	f := newProvenFeed(t)
	f.RecordAnswer(10, start, start, Answer{Named: 15, Rows: 13, Large: true})
	require.True(t, f.Read(start, 15))
	require.False(t, f.Unconfirmed())
	require.Equal(t, Position(13), f.ReadFrom())
	f.RecordAnswer(13, start, start, Answer{Named: 16, Rows: 16})
	require.True(t, f.Read(start, 16))
	require.Equal(t, Position(16), f.ReadFrom())
	f.RecordAnswer(16, start, start, Answer{Named: 20})
	require.True(t, f.Read(start, 20))
	require.True(t, f.Unconfirmed())
	require.Zero(t, f.ReadFrom())
	require.True(t, f.Confirms(), "others' updates go on from the position")
	f.RecordAnswer(0, start, start, Answer{Named: 20, Rows: 16, Large: true})
	require.True(t, f.Read(start, 20))
	require.False(t, f.Unconfirmed())
	require.False(t, f.Confirms())
	require.Equal(t, Position(16), f.ReadFrom())
}

// Guards against a burst of large versions that is read page by page, the oldest first, while the newest is in none of them.
func TestFullPageOfLargeRowsMakesTheWholeTableBeRead(t *testing.T) {
	f := newProvenFeed(t)
	f.RecordAnswer(10, start, start, Answer{Named: 13, Rows: 13, Large: true, Full: true})
	require.True(t, f.Read(start, 13))
	require.Zero(t, f.ReadFrom())
	f.RecordAnswer(0, start, start, Answer{Named: 30, Rows: 25, Large: true})
	require.True(t, f.Read(start, 30))
	require.Equal(t, Position(25), f.ReadFrom())
}

// Guards against a position that stays because a page ends before the rows that are asked for once more.
func TestPageThatEndsBeforeTheRowsMovesThePosition(t *testing.T) {
	f := newProvenFeed(t)
	f.RecordAnswer(10, start, start, Answer{Named: 30, Rows: 30})
	require.True(t, f.Read(start, 30))
	for _, last := range []Position{15, 20, 25, 28, 29} {
		f.RecordAnswer(f.ReadFrom(), start, start, Answer{Named: last, Rows: last, Full: true})
		require.Equal(t, last, f.ReadFrom())
		require.True(t, f.Unconfirmed())
	}
	f.RecordAnswer(29, start, start, Answer{Named: 31, Rows: 30})
	require.Equal(t, Position(30), f.ReadFrom())
	require.False(t, f.Unconfirmed())
}

// Guards against a whole read that is older than the rows which it is to confirm, and against a position that it moves back.
func TestWholeReadThatIsOlderConfirmsNothing(t *testing.T) {
	f := newProvenFeed(t)
	large := func() {
		f.RecordAnswer(f.ReadFrom(), start, start, Answer{Named: 20, Rows: 20, Large: true})
		require.True(t, f.Read(start, 20))
		f.RecordAnswer(f.ReadFrom(), start, start, Answer{Named: 20})
		require.True(t, f.Read(start, 20))
		require.True(t, f.Confirms())
	}
	large()
	for range maxContradictions {
		require.True(t, f.Confirms())
		f.RecordAnswer(0, start, start, Answer{Named: 19, Rows: 10})
		require.Zero(t, f.ReadFrom())
	}
	require.False(t, f.Confirms(), "everything is read as at a start")
	f.RecordAnswer(0, start, start, Answer{Named: 20, Rows: 20})
	require.Equal(t, Position(20), f.ReadFrom())
}

// Guards against a store that keeps back rows that it has reported before.
func TestContradictingAnswersMakeEverythingBeRead(t *testing.T) {
	f := newProvenFeed(t)
	f.RecordAnswer(10, start, start, Answer{Named: 15, Rows: 13})
	require.True(t, f.Read(start, 15))
	for range maxContradictions {
		require.Equal(t, Position(10), f.ReadFrom())
		f.RecordAnswer(10, start, start, Answer{Named: 15})
	}
	require.Zero(t, f.ReadFrom())
	require.False(t, f.Unconfirmed())
}

// Guards against a change that is passed over because a read of everything names a version that is newer than its rows, and
// against a position that the store has dropped for good.
func TestWholeReadProvesItsRowsAndWhatWasNamedBefore(t *testing.T) {
	f := NewFeed()
	f.RecordAnswer(0, start, start.Add(time.Second), Answer{Named: 30, Rows: 10})
	require.True(t, f.Read(start, 30))
	require.Equal(t, Position(10), f.ReadFrom())
	f.Reset()
	f.RecordAnswer(0, start.Add(time.Second/2), start.Add(time.Second), Answer{Named: 31, Rows: 10})
	require.Equal(t, Position(10), f.Proven(), "30 was not named when the read began")
	f.RecordAnswer(0, start.Add(time.Second), start.Add(time.Second), Answer{Named: 31, Rows: 10})
	require.Equal(t, Position(30), f.Proven())
	f.RecordAnswer(0, start.Add(time.Minute), start.Add(time.Minute), Answer{Named: 5, Rows: 4})
	require.Equal(t, Position(4), f.Proven(), "the store has gone back")

	empty := NewFeed()
	empty.RecordAnswer(0, start, start, Answer{Named: 30})
	require.True(t, empty.Read(start, 30))
	require.Zero(t, empty.ReadFrom(), "nothing shows when the table was empty")
	empty.RecordAnswer(0, start, start, Answer{Named: 31})
	require.Equal(t, Position(30), empty.ReadFrom())
}

// Guards against content that could not be applied and is never read again.
func TestRevertedAnswersProveNothing(t *testing.T) {
	f := newProvenFeed(t)
	for range 2 {
		f.RecordAnswer(10, start, start, Answer{Named: 15, Rows: 15})
		require.True(t, f.Read(start, 15))
		f.Revert()
		require.Equal(t, Position(10), f.ReadFrom())
		require.False(t, f.Unconfirmed())
	}
	require.True(t, f.HandleUpdate(start, "a", 10, 20))
	f.Revert()
	later := start.Add(2 * settleTime)
	f.RecordAnswer(10, later, later, Answer{Named: 21})
	require.Equal(t, Position(10), f.ReadFrom(), "20 doesn't count as named")
}

// Guards against a whole fleet that reads everything because its followers stop: listeners' positions keep up.
func TestListenersReadFromAPositionThatKeepsUp(t *testing.T) {
	f := newProvenFeed(t)
	now, position := start, Position(10)
	for range 300 {
		now, position = now.Add(200*time.Millisecond), position+1
		require.True(t, f.HandleUpdate(now, "a", position-1, position))
		require.LessOrEqual(t, len(f.proof.named), maxVersions)
	}
	behind := Position((settleTime + 2*versionSpacing) / (200 * time.Millisecond))
	require.GreaterOrEqual(t, f.ReadFrom(), position-behind)
	require.Less(t, f.ReadFrom(), position)
}

// unkindStore is a store that keeps what is promised of it and nothing more.
type unkindStore struct {
	version, historyStart Position
	// rows are the versions at which rows of the table were written, and history those that are not dropped.
	rows, history []Position
	// silentUntil is until when no changes are reported; then the history is dropped. namesNewest says which version
	// answers name meanwhile, unnoticed that reads which wait go on.
	silentUntil            time.Time
	namesNewest, unnoticed bool
	// pageRows bounds the rows of an answer about changes. large says that rows are large.
	pageRows int
	large    bool
}

func (s *unkindStore) write(table bool) {
	s.version++
	if table {
		s.rows, s.history = append(s.rows, s.version), append(s.history, s.version)
	}
}

// after returns the versions after a position.
func after(versions []Position, from Position) (found []Position) {
	for _, v := range versions {
		if v > from {
			found = append(found, v)
		}
	}
	return found
}

// pendingRead is a read that waits for a change.
type pendingRead struct {
	from        Position
	began, ends time.Time
}

// unkindReader reads an unkind store.
type unkindReader struct {
	t     *rapid.T
	store *unkindStore
	feed  *Feed
	now   time.Time
	read  *pendingRead
	// pausedUntil is until when nothing is read.
	pausedUntil time.Time
	known       map[Position]bool
}

const (
	unkindStep = 50 * time.Millisecond
	unkindWait = time.Second
)

// take takes up an answer. Another write may have moved the version meanwhile.
func (r *unkindReader) take(rows []Position, named, last Position) {
	for _, row := range rows {
		r.known[row] = true
	}
	if named == r.store.version && rapid.IntRange(0, 9).Draw(r.t, "a write before the version is chosen") == 0 {
		r.store.write(true)
		named = r.store.version
	}
	full := r.read.from > 0 && len(rows) == r.store.pageRows
	r.feed.RecordAnswer(r.read.from, r.read.began, r.now, Answer{Named: named, Rows: last, Large: r.store.large && len(rows) > 0, Full: full})
	r.feed.Read(r.now, max(named, r.feed.Position()))
	r.read = nil
	if !full && (len(rows) > 0 || r.feed.Unconfirmed()) {
		r.pausedUntil = r.now.Add(2 * unkindStep)
	}
}

// step begins a read or continues the one in progress.
func (r *unkindReader) step() {
	s, waited := r.store, r.read != nil
	if !waited {
		if r.now.Before(r.pausedUntil) {
			return
		}
		wait := unkindWait
		if r.feed.Unconfirmed() {
			wait = 0
		}
		r.read = &pendingRead{from: r.feed.ReadFrom(), began: r.now, ends: r.now.Add(wait)}
	}
	silent := r.now.Before(s.silentUntil)
	switch rows := after(s.history, r.read.from); {
	case r.read.from == 0:
		var last Position
		if len(s.rows) > 0 {
			last = s.rows[len(s.rows)-1]
		}
		r.take(s.rows, s.version, last)
	case silent && r.now.Before(r.read.ends):
	case silent && s.namesNewest:
		r.take(nil, s.version, 0)
	case silent:
		r.take(nil, r.read.from, 0)
	case r.read.from < s.historyStart && !(waited && s.unnoticed):
		r.feed.Reset()
		r.read = nil
	case len(rows) > s.pageRows:
		last := rows[s.pageRows-1]
		r.take(rows[:s.pageRows], last, last)
	case len(rows) > 0:
		r.take(rows, s.version, rows[len(rows)-1])
	case !r.now.Before(r.read.ends):
		r.take(nil, s.version, 0)
	}
}

// Guards against changes that are passed over for good: whatever the store leaves out of its answers, each change is known
// soon after it reports changes again.
func TestNoChangeOfAnUnkindStoreIsPassedOver(t *testing.T) {
	const maxSilence, limit = 2500 * time.Millisecond, 1500 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		s := &unkindStore{pageRows: rapid.IntRange(4, 12).Draw(t, "rows of a page"), large: rapid.Bool().Draw(t, "large rows")}
		s.write(true)
		r := &unkindReader{t: t, store: s, feed: NewFeed(), now: start, known: map[Position]bool{}}
		limit := limit
		if s.large { // They are confirmed once a read has waited for a change in vain.
			limit += unkindWait
		}
		written := map[Position]time.Time{}
		silentAtLast := start
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			wasSilent := r.now.Before(s.silentUntil)
			r.now = r.now.Add(unkindStep)
			switch what := rapid.IntRange(0, 60).Draw(t, "what"); {
			case what < 2:
				s.write(true)
			case what < 6:
				s.write(false)
			case what == 6 && !wasSilent && r.now.Sub(silentAtLast) > 2*limit:
				s.silentUntil = r.now.Add(time.Duration(rapid.IntRange(0, int(maxSilence/unkindStep)).Draw(t, "silence")) * unkindStep)
				s.namesNewest, s.unnoticed = rapid.Bool().Draw(t, "names the newest"), rapid.Bool().Draw(t, "unnoticed")
				wasSilent = true
			}
			if silent := r.now.Before(s.silentUntil); silent {
				silentAtLast = r.now
			} else if wasSilent {
				s.history, s.historyStart = nil, s.version
				silentAtLast = r.now
			}
			r.step()
			for _, row := range s.rows {
				if _, ok := written[row]; !ok {
					written[row] = r.now
				}
				since := written[row]
				if silentAtLast.After(since) {
					since = silentAtLast
				}
				if r.now.Sub(since) > limit {
					require.True(t, r.known[row], "the change at %d is not known %s after it could be reported", row, r.now.Sub(since))
				}
			}
		}
	})
}
