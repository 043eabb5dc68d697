package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/documents"
	api "acaciacleat.example/peers/operator"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/platform"
	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// stubDocuments is an ActiveDocuments whose answers a test sets.
type stubDocuments struct {
	missing     []string
	distributed document.Revision
}

func (s *stubDocuments) State() *documents.State       { return documents.Empty() }
func (s *stubDocuments) Refresh(context.Context) error { return nil }
func (s *stubDocuments) Distribute(_ context.Context, revision document.Revision) {
	s.distributed = revision
}
func (s *stubDocuments) WaitApplied(context.Context, document.Revision) []string { return s.missing }

// failingTable is a table whose reads or commits fail with the given errors.
type failingTable struct {
	table.Store
	reads, commits error
}

func (f *failingTable) Get(ctx context.Context, key table.Key, c table.Consistency) (table.Row, error) {
	if f.reads != nil {
		return table.Row{}, f.reads
	}
	return f.Store.Get(ctx, key, c)
}

func (f *failingTable) Commit(ctx context.Context, tx table.Tx) ([]uint64, error) {
	if f.commits != nil {
		return nil, f.commits
	}
	return f.Store.Commit(ctx, tx)
}

func put(t *testing.T, s *stubDocuments, f *failingTable, header ...string) (int, api.PutAnswer, api.Problem) {
	t.Helper()
	text := `{"name":"parts","kind":"plain","upstreamsCheckFencing":false,"organisations":[]}`
	request := httptest.NewRequest(http.MethodPut, api.PathDocuments+"/parts", strings.NewReader(text))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	f.Store = platform.New(1).Table
	store := documents.New(documents.Config{
		Table:   f,
		Token:   documents.NewToken,
		Now:     time.Now,
		Backoff: func() backoff.BackOff { return &backoff.StopBackOff{} },
	})
	New(Config{Documents: s, Store: store, Log: zerolog.Nop()}).ServeHTTP(recorder, request)
	var answer api.PutAnswer
	var problem api.Problem
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
	return recorder.Code, answer, problem
}

// An operator must not be told "accepted" while an entry still serves the old document: a put that
// is stored but that an entry does not acknowledge is answered with "recorded".
func TestAcceptedOnlyWhenAllEntriesApplied(t *testing.T) {
	applied := &stubDocuments{}
	status, answer, _ := put(t, applied, &failingTable{})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, api.PutAnswer{Outcome: api.Accepted, Revision: 1, ETag: `"1"`}, answer)
	require.EqualValues(t, 1, applied.distributed)

	status, answer, _ = put(t, &stubDocuments{missing: []string{"entry-2"}}, &failingTable{})
	require.Equal(t, http.StatusAccepted, status)
	require.Equal(t, api.PutAnswer{Outcome: api.Recorded, Revision: 1, ETag: `"1"`, Missing: []string{"entry-2"}}, answer)
}

// The list of missing entries must be encoded as an empty list, not as null, when every entry has
// applied the document: an operator's script that counts its elements would fail on null.
func TestStatusHasEmptyListWhenNoEntryIsMissing(t *testing.T) {
	store := documents.New(documents.Config{Table: platform.New(1).Table, Token: documents.NewToken, Now: time.Now})
	service := &document.Service{Name: "parts", Kind: document.KindPlain}
	document.SetDefaults(service)
	_, _, err := store.Put(t.Context(), service, documents.IfAbsent)
	require.NoError(t, err)
	state, err := store.Load(t.Context())
	require.NoError(t, err)
	handler := New(Config{Documents: &stubDocumentsWithState{state: state}, Store: store, Log: zerolog.Nop()})
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, api.PathDocuments+"/parts/status", nil))
	require.Contains(t, recorder.Body.String(), `"missing": []`)
}

// stubDocumentsWithState is a stubDocuments with a given state.
type stubDocumentsWithState struct {
	stubDocuments
	state *documents.State
}

func (s *stubDocumentsWithState) State() *documents.State { return s.state }

// Operators decide by the answer whether to repeat a failed put: NotRun says that nothing was written,
// Unknown that the document may have been stored. A failed put is not distributed.
func TestFailedPutReportsWhetherAnythingWasWritten(t *testing.T) {
	for name, c := range map[string]struct {
		table     failingTable
		header    []string
		code      result.Code
		execution result.Execution
	}{
		"reads fail":      {failingTable{reads: table.ErrUnavailable}, nil, result.TableUnavailable, result.NotRun},
		"commits refused": {failingTable{commits: table.ErrUnavailable}, nil, result.TableUnavailable, result.NotRun},
		"answer lost":     {failingTable{commits: table.ErrUnknownOutcome}, nil, result.TableOutcome, result.Unknown},
		"two bases":       {failingTable{}, []string{"If-Match", `"1"`, "If-None-Match", "*"}, result.BadParameter, result.NotRun},
		"two tags":        {failingTable{}, []string{"If-Match", `"1"`, "If-Match", `"2"`}, result.BadParameter, result.NotRun},
		"tag of no match": {failingTable{}, []string{"If-None-Match", `"1"`}, result.BadParameter, result.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			s := &stubDocuments{}
			status, _, problem := put(t, s, &c.table, c.header...)
			require.Equal(t, result.Lookup(c.code).HTTPStatus, status)
			require.Equal(t, c.code, problem.ResultCode)
			require.Equal(t, c.execution, problem.Execution)
			require.Zero(t, s.distributed)
		})
	}
}
