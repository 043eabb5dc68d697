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

// spread is an InForce, with a table behind it, whose answers a test sets.
type spread struct {
	missing []string
	written document.Revision
}

func (s *spread) State() *documents.State                               { return documents.Empty() }
func (s *spread) Refresh(context.Context) error                         { return nil }
func (s *spread) Written(_ context.Context, revision document.Revision) { s.written = revision }
func (s *spread) Missing(context.Context, document.Revision) []string   { return s.missing }

// failing is a table whose reads or commits fail.
type failing struct {
	table.Store
	reads, commits error
}

func (f *failing) Get(ctx context.Context, key table.Key, c table.Consistency) (table.Row, error) {
	if f.reads != nil {
		return table.Row{}, f.reads
	}
	return f.Store.Get(ctx, key, c)
}

func (f *failing) Commit(ctx context.Context, tx table.Tx) ([]uint64, error) {
	if f.commits != nil {
		return nil, f.commits
	}
	return f.Store.Commit(ctx, tx)
}

func put(t *testing.T, s *spread, f *failing, header ...string) (int, api.PutAnswer, api.Problem) {
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
	New(Config{InForce: s, Store: store, Log: zerolog.Nop()}).ServeHTTP(recorder, request)
	var answer api.PutAnswer
	var problem api.Problem
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
	return recorder.Code, answer, problem
}

// Symptom: an operator is told "accepted" while an entry serves the old document.
// Sequence: the put is stored, and an entry doesn't acknowledge it.
// Cause: an answer that goes by the table alone.
func TestAcceptedOnlyWhenInForceEverywhere(t *testing.T) {
	everywhere := &spread{}
	status, answer, _ := put(t, everywhere, &failing{})
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, api.PutAnswer{Outcome: api.Accepted, Revision: 1, ETag: `"1"`}, answer)
	require.EqualValues(t, 1, everywhere.written)

	status, answer, _ = put(t, &spread{missing: []string{"entry-2"}}, &failing{})
	require.Equal(t, http.StatusAccepted, status)
	require.Equal(t, api.PutAnswer{Outcome: api.Recorded, Revision: 1, ETag: `"1"`, Missing: []string{"entry-2"}}, answer)
}

// Symptom: an operator's script that counts the missing entries fails on null.
// Sequence: the document is in force everywhere, and its status is read.
// Cause: a list without elements encoded as null.
func TestStatusHasAListWhenNothingIsMissing(t *testing.T) {
	store := documents.New(documents.Config{Table: platform.New(1).Table, Token: documents.NewToken, Now: time.Now})
	service := &document.Service{Name: "parts", Kind: document.KindPlain}
	document.SetDefaults(service)
	_, _, err := store.Put(t.Context(), service, documents.IfAbsent)
	require.NoError(t, err)
	state, err := store.Load(t.Context())
	require.NoError(t, err)
	handler := New(Config{InForce: &stated{state: state}, Store: store, Log: zerolog.Nop()})
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, api.PathDocuments+"/parts/status", nil))
	require.Contains(t, recorder.Body.String(), `"missing": []`)
}

// stated is a spread with a state of its own.
type stated struct {
	spread
	state *documents.State
}

func (s *stated) State() *documents.State { return s.state }

func TestFailedPutSaysWhetherAnythingWasWritten(t *testing.T) {
	for name, c := range map[string]struct {
		table     failing
		header    []string
		code      result.Code
		execution result.Execution
	}{
		"reads fail":      {failing{reads: table.ErrUnavailable}, nil, result.TableUnavailable, result.NotRun},
		"commits refused": {failing{commits: table.ErrUnavailable}, nil, result.TableUnavailable, result.NotRun},
		"answer lost":     {failing{commits: table.ErrUnknownOutcome}, nil, result.TableOutcome, result.Unknown},
		"two bases":       {failing{}, []string{"If-Match", `"1"`, "If-None-Match", "*"}, result.BadParameter, result.NotRun},
		"two tags":        {failing{}, []string{"If-Match", `"1"`, "If-Match", `"2"`}, result.BadParameter, result.NotRun},
		"tag of no match": {failing{}, []string{"If-None-Match", `"1"`}, result.BadParameter, result.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			s := &spread{}
			status, _, problem := put(t, s, &c.table, c.header...)
			require.Equal(t, result.Lookup(c.code).HTTPStatus, status)
			require.Equal(t, c.code, problem.ResultCode)
			require.Equal(t, c.execution, problem.Execution)
			require.Zero(t, s.written)
		})
	}
}
