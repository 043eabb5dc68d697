package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxErrorBody bounds what is read of a refusal, in bytes.
const maxErrorBody = 64 << 10

// joined is a failure that matches several errors: its kinds and its cause.
type joined struct {
	kinds []error
	cause error
}

// Error implements error.
func (j *joined) Error() string { return j.kinds[0].Error() + ": " + j.cause.Error() }

// Unwrap lets errors.Is and errors.As find the kinds and the cause.
func (j *joined) Unwrap() []error { return append([]error{j.cause}, j.kinds...) }

func failure(kind, cause error) error { return &joined{kinds: []error{kind}, cause: cause} }

// transportFailure maps an error of the transport. Without a connection no byte was
// sent; with one the engine may have taken the request.
func transportFailure(connected bool, err error) error {
	if connected {
		return failure(ErrBroken, err)
	}
	return failure(ErrNotStarted, err)
}

// refusal maps an answer with an error status. ErrNotStarted needs the engine's explicit
// word: a bare 5xx may come from something between, after the engine took the request.
func refusal(response *http.Response) error {
	detail := readDetail(response)
	cause := errors.Errorf("status %d: %s", response.StatusCode, detail.Message)
	notRun := response.Header.Get(HeaderExecution) == ExecutionNotRun
	switch {
	case detail.Type == TypeFenced:
		return failure(ErrFenced, cause)
	case detail.Type == TypeMemory && notRun:
		return &joined{kinds: []error{ErrMemory, ErrNotStarted}, cause: cause}
	case detail.Type == TypeMemory:
		return failure(ErrMemory, cause)
	case isInvalid(response.StatusCode):
		return failure(ErrRejected, cause)
	case notRun:
		return failure(ErrNotStarted, cause)
	default:
		return failure(ErrBroken, cause)
	}
}

// isInvalid reports a status by which an engine says that asking again is no use.
func isInvalid(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	default:
		return status >= http.StatusBadRequest && status < http.StatusInternalServerError
	}
}

func readDetail(response *http.Response) ErrorDetail {
	var body ErrorBody
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	if err != nil || json.Unmarshal(data, &body) != nil {
		return ErrorDetail{Message: http.StatusText(response.StatusCode)}
	}
	return body.Error
}
