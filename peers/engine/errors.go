package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxErrorBodyBytes limits the bytes read from an error answer.
const maxErrorBodyBytes = 64 << 10

// kindError is an error that wraps one or more kinds, such as ErrBroken, and its cause.
type kindError struct {
	kinds []error
	cause error
}

// Error implements error.
func (e *kindError) Error() string { return e.kinds[0].Error() + ": " + e.cause.Error() }

// Unwrap lets errors.Is and errors.As find the kinds and the cause.
func (e *kindError) Unwrap() []error { return append([]error{e.cause}, e.kinds...) }

func newFailure(kind, cause error) error { return &kindError{kinds: []error{kind}, cause: cause} }

// transportFailure classifies an error of the transport. Without a connection no byte was
// sent; with one the engine may have accepted the request.
func transportFailure(connected bool, err error) error {
	if connected {
		return newFailure(ErrBroken, err)
	}
	return newFailure(ErrNotStarted, err)
}

// refusalError classifies an answer with an error status. It returns ErrNotStarted only if
// the engine states it: a 5xx without such a statement may come from an intermediary after
// the engine accepted the request.
func refusalError(response *http.Response) error {
	detail := readDetail(response)
	cause := errors.Errorf("status %d: %s", response.StatusCode, detail.Message)
	notRun := response.Header.Get(HeaderExecution) == ExecutionNotRun
	switch {
	case detail.Type == TypeFenced:
		return newFailure(ErrFenced, cause)
	case detail.Type == TypeMemory && notRun:
		return &kindError{kinds: []error{ErrOutOfMemory, ErrNotStarted}, cause: cause}
	case detail.Type == TypeMemory:
		return newFailure(ErrOutOfMemory, cause)
	case isPermanentRefusal(response.StatusCode):
		return newFailure(ErrRejected, cause)
	case notRun:
		return newFailure(ErrNotStarted, cause)
	default:
		return newFailure(ErrBroken, cause)
	}
}

// isPermanentRefusal reports whether the status means that a retry would fail as well.
func isPermanentRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	default:
		return status >= http.StatusBadRequest && status < http.StatusInternalServerError
	}
}

func readDetail(response *http.Response) ErrorDetail {
	var body ErrorBody
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil || json.Unmarshal(data, &body) != nil {
		return ErrorDetail{Message: http.StatusText(response.StatusCode)}
	}
	return body.Error
}
