package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/documents"
	api "acaciacleat.example/peers/operator"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// spread is a Documents whose answers a test sets.
type spread struct {
	state   *documents.State
	err     error
	follows bool
	missing []string
}

func (s *spread) State() *documents.State                          { return s.state }
func (s *spread) Follows(document.Revision) bool                   { return s.follows }
func (s *spread) Wait(context.Context, document.Revision) []string { return s.missing }
func (s *spread) Put(context.Context, *document.Service, string) (document.Revision, *documents.Conflict, error) {
	return 7, nil, s.err
}

func put(t *testing.T, s *spread, header ...string) (int, api.PutAnswer, api.Problem) {
	t.Helper()
	text := `{"name":"parts","kind":"plain","upstreamsCheckFencing":false,"organisations":[]}`
	request := httptest.NewRequest(http.MethodPut, api.PathDocuments+"/parts", strings.NewReader(text))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Add(header[i], header[i+1])
	}
	recorder := httptest.NewRecorder()
	New(Config{Documents: s, Log: zerolog.Nop()}).ServeHTTP(recorder, request)
	var answer api.PutAnswer
	var problem api.Problem
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
	return recorder.Code, answer, problem
}

// Symptom: an operator is told "accepted" while an entry serves the old document.
// Sequence: the put is stored; an entry doesn't acknowledge it, or none is followed.
// Cause: the absence of names was taken for the presence of acknowledgements.
func TestAcceptedOnlyWhenInForceEverywhere(t *testing.T) {
	for name, c := range map[string]struct {
		spread  spread
		status  int
		outcome api.Outcome
		missing []string
	}{
		"everywhere":   {spread{follows: true}, http.StatusOK, api.Accepted, nil},
		"one lacks it": {spread{follows: true, missing: []string{"entry-2"}}, http.StatusAccepted, api.Recorded, []string{"entry-2"}},
		"not followed": {spread{}, http.StatusAccepted, api.Recorded, []string{notFollowed}},
	} {
		t.Run(name, func(t *testing.T) {
			c.spread.state = documents.Empty()
			status, answer, _ := put(t, &c.spread)
			require.Equal(t, c.status, status)
			require.Equal(t, api.PutAnswer{Outcome: c.outcome, Revision: 7, ETag: `"7"`, Missing: c.missing}, answer)
		})
	}
}

func TestFailedPutSaysWhetherAnythingWasWritten(t *testing.T) {
	for name, c := range map[string]struct {
		spread    spread
		header    []string
		code      result.Code
		execution result.Execution
	}{
		"no state yet":    {spread{}, nil, result.NotReady, result.NotRun},
		"table down":      {spread{err: errors.WithStack(table.ErrUnavailable)}, nil, result.TableUnavailable, result.NotRun},
		"answer lost":     {spread{err: errors.WithStack(table.ErrUnknownOutcome)}, nil, result.TableOutcome, result.Unknown},
		"damaged rows":    {spread{err: documents.ErrDamaged}, nil, result.Internal, result.Unknown},
		"two bases":       {spread{}, []string{"If-Match", `"1"`, "If-None-Match", "*"}, result.BadParameter, result.NotRun},
		"two tags":        {spread{}, []string{"If-Match", `"1"`, "If-Match", `"2"`}, result.BadParameter, result.NotRun},
		"tag of no match": {spread{}, []string{"If-None-Match", `"1"`}, result.BadParameter, result.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			if c.spread.err != nil {
				c.spread.state = documents.Empty()
			}
			status, _, problem := put(t, &c.spread, c.header...)
			require.Equal(t, result.Lookup(c.code).HTTPStatus, status)
			require.Equal(t, c.code, problem.ResultCode)
			require.Equal(t, c.execution, problem.Execution)
		})
	}
}
