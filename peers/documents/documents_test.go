package documents

import (
	"context"
	"fmt"
	"testing"

	"acaciacleat.example/core/document"
	_ "acaciacleat.example/core/seeded"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The state must be the same whether it is loaded from the rows or built from the change log, and a
// change must write only the rows that it changes.
func TestPutLoadChangesHistory(t *testing.T) {
	ctx := context.Background()
	f := newFakeTable()
	s := newStore(f, fakeObjects{})
	require.EqualValues(t, 1, mustPut(t, s, service("a", 1, "x", "y"), IfAbsent))
	require.EqualValues(t, 2, mustPut(t, s, service("b", 1, "x"), IfAbsent))
	require.EqualValues(t, 3, mustPut(t, s, service("a", 1, "y", "z"), `"1"`))
	require.EqualValues(t, 3, mustPut(t, s, service("a", 1, "y", "z"), `"1"`), "a put of the stored document creates no revision")

	loaded, err := newStore(f, nil).Load(ctx)
	require.NoError(t, err)
	require.Equal(t, `"3"`, loaded.ETag("a"))
	require.Equal(t, `"2"`, loaded.ETag("b"))
	require.Nil(t, loaded.Snapshot.Principal(document.HashKey("x")).OrganisationIn("a"))
	changes, err := s.Changes(ctx, 1)
	require.NoError(t, err)
	require.Equal(t, []string{"x"}, changes[1].Update.Drop, "only the changed rows are written")
	require.Len(t, changes[1].Update.Put, 1)
	advanced, err := s.Advance(ctx, Empty())
	require.NoError(t, err)
	requireSameState(t, loaded, advanced)
	history, err := s.History(ctx, "a", 1)
	require.NoError(t, err)
	require.EqualValues(t, 3, history[0].Revision)
}

// An invalid document, or one with a key of another organisation, must not be stored: entries could not
// apply it or could not tell the two organisations apart.
func TestRefusedDocuments(t *testing.T) {
	s := newStore(newFakeTable(), nil)
	mustPut(t, s, service("a", 1, "x"), IfAbsent)
	invalidModel := service("b", -1)
	duplicateKey := service("b", 1)
	duplicateKey.Organisations = []document.Organisation{{Name: "y", KeyHashes: []string{document.HashKey("x").String()}}}
	for _, d := range []*document.Service{invalidModel, duplicateKey} {
		var invalid *InvalidError
		_, _, err := s.Put(context.Background(), d, IfAny)
		require.ErrorAs(t, err, &invalid)
	}
}

// If two operators read the same version and both put, the second must get a conflict. Otherwise it
// would overwrite a change that it has not seen.
func TestConcurrentOperatorsConflict(t *testing.T) {
	f := newFakeTable()
	one, two := newStore(f, nil), newStore(f, nil)
	mustPut(t, one, service("a", 1), IfAbsent)
	mustPut(t, one, service("a", 2), `"1"`)
	_, conflict, err := two.Put(context.Background(), service("a", 3), `"1"`)
	require.NoError(t, err)
	require.Equal(t, &Conflict{Current: `"2"`, Diff: []document.Change{{Path: `$.models["a-1"].replicas`, Old: "2", New: "3"}}}, conflict)
	require.EqualValues(t, 3, mustPut(t, two, service("b", 1), IfAbsent), "another service's change is no conflict")
}

// The response to a commit may be lost before or after the commit is applied, and another operator's
// put may come in between. If the retry were sent as a new put, an operator would get a conflict with
// their own change, or one put would create two revisions.
func TestLostAnswers(t *testing.T) {
	lost, down, bad := table.ErrUnknownOutcome, table.ErrUnavailable, table.ErrInvalid
	rival := func(f *fakeTable) { mustPut(nil, newStore(f, nil), service("rival", 1), IfAbsent) }
	for name, c := range map[string]struct {
		before, after []error // results of the first commits
		failedReads   int     // number of failing reads after the first one
		rival         bool    // another operator's put creates the revision first
		want          document.Revision
		err           error
		commits       int
	}{
		"after effect":                  {after: []error{lost}, want: 1, commits: 1},
		"before effect":                 {before: []error{lost}, want: 1, commits: 1},
		"both, twice":                   {before: []error{lost, lost}, after: []error{lost}, want: 1, commits: 1},
		"after effect, reads down":      {after: []error{lost}, failedReads: 2, want: 1, commits: 1},
		"after effect, reads down long": {after: []error{lost, lost, lost, lost, lost}, failedReads: 9, err: lost, commits: 1},
		"before effect, rival":          {before: []error{lost}, rival: true, want: 2, commits: 2},
		"refused":                       {before: []error{down}, err: down},
		"refused after lost":            {before: []error{lost, down, down, down, down}, err: lost},
		"invalid":                       {before: []error{bad}, err: bad},
		"invalid after lost":            {before: []error{lost, bad, bad, bad, bad}, err: lost},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTable()
			s := newStore(f, nil)
			commits, gets, inRival := 0, 0, false
			f.before = func(operation string) error {
				if inRival {
					return nil
				}
				if operation == "get" {
					if gets++; gets > 1 && gets <= 1+c.failedReads {
						return down
					}
					return nil
				}
				if operation != "commit" {
					return nil
				}
				commits++
				if c.rival && commits == 1 {
					inRival = true
					rival(f)
					inRival = false
				}
				if commits <= len(c.before) {
					return c.before[commits-1]
				}
				return nil
			}
			f.after = func(operation string) error {
				if n := commits - len(c.before); operation == "commit" && !inRival && n >= 1 && n <= len(c.after) {
					return c.after[n-1]
				}
				return nil
			}
			revision, conflict, err := s.Put(context.Background(), service("a", 1), IfAbsent)
			require.Nil(t, conflict)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.want, revision)
			require.Equal(t, c.commits, f.commits)
		})
	}
}

// Two operators put at random while responses to commits are lost. The log must contain each accepted
// put exactly once, under the revision that Put returned, and no rejected put.
func TestPutsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeTable()
		f.before = func(operation string) error {
			return rapid.SampledFrom([]error{nil, nil, nil, table.ErrUnavailable, table.ErrUnknownOutcome}).Draw(t, operation)
		}
		f.after = func(operation string) error {
			if operation != "commit" {
				return nil
			}
			return rapid.SampledFrom([]error{nil, table.ErrUnknownOutcome}).Draw(t, "answer")
		}
		stores := []*Store{newStore(f, nil), newStore(f, nil)}
		accepted, open := map[int]document.Revision{}, map[int]bool{}
		for i := 1; i < 12; i++ {
			s := stores[rapid.IntRange(0, 1).Draw(t, "operator")]
			revision, conflict, err := s.Put(context.Background(), service("a", i), IfAny)
			switch {
			case err == nil && conflict == nil:
				accepted[i] = revision
			case errors.Is(err, table.ErrUnknownOutcome):
				open[i] = true
			}
		}
		f.before, f.after = newFakeTable().before, newFakeTable().after
		changes, err := stores[0].Changes(context.Background(), 0)
		require.NoError(t, err)
		require.Len(t, changes, f.commits)
		for _, change := range changes {
			i := change.Update.Header.Models[0].Replicas
			require.True(t, accepted[i] == change.Revision || open[i], "revision %d", change.Revision)
			delete(accepted, i)
			delete(open, i)
		}
		require.Empty(t, accepted)
	})
}

// A change may be written between the reads of two pages of one load. The loaded state must not mix
// the two revisions; otherwise a node would serve an organisation that the change removed together
// with other parts of the change.
func TestLoadDuringChanges(t *testing.T) {
	f := newFakeTable()
	writer := newStore(f, nil)
	mustPut(t, writer, service("a", 1, "x", "y"), IfAbsent)
	replicas := 1
	f.after = func(operation string) error {
		if operation == "scan" && replicas < 4 {
			replicas++
			mustPut(t, writer, service("a", replicas, fmt.Sprint("only", replicas)), IfAny)
		}
		return nil
	}
	got, err := newStore(f, nil).Load(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 4, got.Revision())
	require.Empty(t, document.Diff(service("a", 4, "only4"), got.Snapshot.Service("a")))
}

// The change log must not grow without bound. A reader of changes that the log no longer contains must
// get ErrCompacted, and not changes with a gap.
func TestChangeLogIsCompacted(t *testing.T) {
	ctx := context.Background()
	f := newFakeTable()
	s := newStore(f, nil)
	for i := range LogLength + 5 {
		mustPut(t, s, service("a", i), IfAny)
	}
	_, err := s.Changes(ctx, 4)
	require.ErrorIs(t, err, ErrCompacted)
	changes, err := s.Changes(ctx, 5)
	require.NoError(t, err)
	require.Len(t, changes, LogLength)
	require.Len(t, f.rows, LogLength+2)
	_, err = s.Changes(ctx, LogLength+6)
	require.ErrorIs(t, err, ErrReverted)
}

// Guards against a put that says its outcome is unknown although it failed before any commit: here a row can't be
// decoded, or the change log is compacted during each attempt.
func TestPutThatReadsNoStateWroteNothing(t *testing.T) {
	for name, damage := range map[string]func(*fakeTable){
		"head can't be decoded": func(f *fakeTable) {
			f.rows[rowKey(headRowName)] = table.Row{Key: rowKey(headRowName), Version: 1, Value: []byte("{")}
		},
		"service can't be decoded": func(f *fakeTable) {
			row := serviceRowName("a")
			f.rows[rowKey(row)] = table.Row{Key: rowKey(row), Version: 1, Value: []byte("{")}
			delete(f.rows, rowKey(changeRowName(1)))
		},
		"change log compacted during each attempt": func(f *fakeTable) {
			writer := newStore(f, nil)
			f.before = func(operation string) error {
				if operation != "scan" {
					return nil
				}
				hook := f.before
				f.before = func(string) error { return nil }
				mustPut(nil, writer, service("b", f.commits), IfAny)
				delete(f.rows, rowKey(changeRowName(document.Revision(f.commits))))
				f.before = hook
				return nil
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeTable()
			mustPut(t, newStore(f, nil), service("a", 1), IfAbsent)
			damage(f)
			_, conflict, err := newStore(f, nil).Put(context.Background(), service("a", 2), IfAny)
			require.Nil(t, conflict)
			require.Error(t, err)
			require.NotErrorIs(t, err, ErrCompacted, "Put loads the whole state instead")
			var notWritten *NotWrittenError
			require.True(t, errors.Is(err, ErrBusy) || errors.As(err, &notWritten), "%v", err)
		})
	}
}

// A change that is too large for the change log must not be lost: readers load the whole state instead.
func TestLargeChangeRequiresFullLoad(t *testing.T) {
	f := newFakeTable()
	names := make([]string, 3000)
	for i := range names {
		names[i] = fmt.Sprint("o", i)
	}
	s := newStore(f, nil)
	mustPut(t, s, service("a", 1, names...), IfAbsent)
	_, err := s.Changes(context.Background(), 0)
	require.ErrorIs(t, err, ErrCompacted)
	state, err := newStore(f, nil).Advance(context.Background(), Empty())
	require.NoError(t, err)
	require.Len(t, state.Snapshot.Service("a").Organisations, len(names))
}

// A process must be able to start while the table is unavailable, with the newest state of the object
// store and its peers, which is then unconfirmed. A damaged state must not be used.
func TestStart(t *testing.T) {
	ctx := context.Background()
	f, o := newFakeTable(), fakeObjects{}
	s := newStore(f, o)
	_, err := s.Start(ctx)
	require.NoError(t, err, "an empty table is a valid state")
	mustPut(t, s, service("a", 1, "x"), IfAbsent)
	old := s.cached
	require.NoError(t, s.Save(ctx, old))
	mustPut(t, s, service("a", 2, "x"), IfAny)
	peer := func(context.Context) ([]byte, error) { return s.cached.Encode(), nil }
	damaged := func(context.Context) ([]byte, error) { return append(s.cached.Encode(), ' '), nil }
	broken := func(context.Context) ([]byte, error) { return nil, errors.New("no route") }
	for name, c := range map[string]struct {
		down      bool
		peers     []Source
		want      *State
		confirmed bool
	}{
		"table up":                  {want: s.cached, confirmed: true},
		"table down, object only":   {down: true, peers: []Source{broken, damaged}, want: old},
		"table down, peer is newer": {down: true, peers: []Source{broken, peer}, want: s.cached},
	} {
		t.Run(name, func(t *testing.T) {
			f.before = func(string) error {
				if c.down {
					return table.ErrUnavailable
				}
				return nil
			}
			initial, err := newStore(f, o).Start(ctx, c.peers...)
			require.NoError(t, err)
			require.Equal(t, c.confirmed, initial.Confirmed)
			requireSameState(t, c.want, initial.State)
		})
	}
	f.before = func(string) error { return table.ErrUnavailable }
	_, err = newStore(f, fakeObjects{}).Start(ctx, broken)
	require.ErrorIs(t, err, ErrNoState)
}
