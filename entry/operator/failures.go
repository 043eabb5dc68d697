package operator

import (
	"encoding/json"
	"net/http"

	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/caller"
	"acaciacleat.example/peers/documents"
	api "acaciacleat.example/peers/operator"
	"acaciacleat.example/peers/table"
	"github.com/pkg/errors"
)

// putFailure returns the result of a failed put, which says whether it is certain that nothing
// was written.
func putFailure(err error) *result.Error {
	var invalid *documents.InvalidError
	var notWritten *documents.NotWrittenError
	switch {
	case errors.As(err, &invalid):
		return result.New(result.DocumentInvalid, result.NotRun, "%v", err)
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, documents.ErrBusy), errors.Is(err, documents.ErrReverted):
		return result.New(result.TableUnavailable, result.NotRun, "%v", err)
	case errors.Is(err, table.ErrUnknownOutcome):
		return result.New(result.TableOutcome, result.Unknown, "%v", err)
	case errors.As(err, &notWritten):
		return result.New(result.Internal, result.NotRun, "%v", err)
	default:
		return result.New(result.Internal, result.Unknown, "%v", err)
	}
}

func (h *Handler) fail(w http.ResponseWriter, err *result.Error) { h.failWith(w, err, &api.Problem{}) }

// failWith writes an error response; problem carries the additional fields, if any.
func (h *Handler) failWith(w http.ResponseWriter, err *result.Error, problem *api.Problem) {
	problem.Problem = caller.NewProblem(err, "")
	w.Header().Set("Content-Type", "application/problem+json")
	caller.SetRetryAfter(w.Header(), err)
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}
