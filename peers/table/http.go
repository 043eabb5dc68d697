package table

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/pkg/errors"

	"acaciacleat.example/peers/httpjson"
)

// The paths of the table service below its base URL, and the names of the query parameters.
const (
	PathRow    = "/row"
	PathRows   = "/rows"
	PathCommit = "/commit"

	ParamTable       = "table"
	ParamRow         = "row"
	ParamPrefix      = "prefix"
	ParamAfter       = "after"
	ParamLimit       = "limit"
	ParamConsistency = "consistency"
)

// CommitAnswer is the response body of a successful commit.
type CommitAnswer struct {
	Versions []uint64 `json:"versions"`
}

// HTTP is a client of the table service that uses HTTP with JSON bodies.
type HTTP struct {
	client *httpjson.Client
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the table service at baseURL.
func NewHTTP(baseURL string, options httpjson.Options) *HTTP {
	return &HTTP{client: httpjson.New(baseURL, options)}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key Key, consistency Consistency) (Row, error) {
	query := url.Values{}
	query.Set(ParamTable, key.Table)
	query.Set(ParamRow, key.Row)
	query.Set(ParamConsistency, string(consistency))
	var row Row
	err := h.client.DoJSON(ctx, httpjson.Request{Method: http.MethodGet, Path: PathRow, Query: query}, &row)
	if err != nil {
		return Row{}, readError(err)
	}
	return row, nil
}

// Scan implements Store.
func (h *HTTP) Scan(ctx context.Context, table, prefix, after string, limit int, consistency Consistency) ([]Row, error) {
	query := url.Values{}
	query.Set(ParamTable, table)
	query.Set(ParamPrefix, prefix)
	query.Set(ParamAfter, after)
	query.Set(ParamLimit, strconv.Itoa(limit))
	query.Set(ParamConsistency, string(consistency))
	var rows []Row
	err := h.client.DoJSON(ctx, httpjson.Request{Method: http.MethodGet, Path: PathRows, Query: query}, &rows)
	if err != nil {
		return nil, readError(err)
	}
	return rows, nil
}

// Commit implements Store. It sends the transaction once. The client token in the body makes a
// second Commit of the same Tx safe. The caller, which knows the remaining time, decides whether to
// retry; see ResolvingStore.
func (h *HTTP) Commit(ctx context.Context, tx Tx) ([]uint64, error) {
	var answer CommitAnswer
	err := h.client.DoJSON(ctx, httpjson.Request{Method: http.MethodPost, Path: PathCommit, JSON: tx}, &answer)
	if err != nil {
		return nil, commitError(err)
	}
	if len(answer.Versions) != len(tx.Writes) {
		return nil, errors.WithMessage(ErrUnknownOutcome, "answer has the wrong number of versions")
	}
	return answer.Versions, nil
}

func readError(err error) error {
	switch httpjson.AsFailure(err).Code {
	case httpjson.CodeNotFound:
		return errors.WithMessage(ErrNotFound, err.Error())
	case httpjson.CodeInvalid:
		return errors.WithMessage(ErrInvalid, err.Error())
	default:
		return errors.WithMessage(ErrUnavailable, err.Error())
	}
}

// commitError returns ErrUnavailable only if it is certain that nothing was written: there was no
// connection, or the service states that it applied nothing. After any other error, the commit may
// have been applied and its response lost.
func commitError(err error) error {
	failure := httpjson.AsFailure(err)
	switch {
	case failure.NotApplied():
		return errors.WithMessage(ErrUnavailable, err.Error())
	case failure.Code == httpjson.CodeConflict:
		return errors.WithMessage(ErrConflict, err.Error())
	case failure.Code == httpjson.CodeInvalid:
		return errors.WithMessage(ErrInvalid, err.Error())
	default:
		return errors.WithMessage(ErrUnknownOutcome, err.Error())
	}
}
