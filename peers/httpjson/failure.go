package httpjson

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Code is the reason that a service gives for a refusal.
type Code string

// The codes.
const (
	// CodeNotApplied states that the service executed nothing of the call.
	CodeNotApplied  Code = "not-applied"
	CodeConflict    Code = "conflict"
	CodeNotFound    Code = "not-found"
	CodeInvalid     Code = "invalid"
	CodeRateLimited Code = "rate-limited"
)

var codeStatus = map[Code]int{
	CodeNotApplied:  http.StatusServiceUnavailable,
	CodeConflict:    http.StatusConflict,
	CodeNotFound:    http.StatusNotFound,
	CodeInvalid:     http.StatusBadRequest,
	CodeRateLimited: http.StatusTooManyRequests,
}

// Status returns the HTTP status that goes with the code.
func (c Code) Status() int {
	if status, ok := codeStatus[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// Failure says why a call gave no answer of use.
type Failure struct {
	// Sent is false only if it is proved that no byte of the call left this process:
	// the call never had a connection.
	Sent bool
	// Status is the HTTP status; 0 if none arrived.
	Status int
	// Code is the service's reason; empty if it gave none that fits the status.
	Code Code
	Err  error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("status %d, code %q, sent %t: %v", f.Status, f.Code, f.Sent, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// NotApplied reports whether it is proved that the call had no effect.
func (f *Failure) NotApplied() bool { return !f.Sent || f.Code == CodeNotApplied }

// AsFailure returns the Failure in err's chain, or one that claims nothing.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Sent: true, Err: err}
}

// statusFailure takes a code from the body only if it agrees with the status: a box
// between the two ends can answer 404 or 503 by itself, and its answer proves nothing
// about the service.
func statusFailure(status int, body []byte) *Failure {
	failure := &Failure{Sent: true, Status: status, Err: errors.Errorf("service answered %d", status)}
	var refusal ErrorBody
	if json.Unmarshal(body, &refusal) != nil {
		return failure
	}
	if want, ok := codeStatus[refusal.Code]; !ok || want != status {
		return failure
	}
	failure.Code = refusal.Code
	failure.Err = errors.Errorf("service refused: %s", refusal.Detail)
	return failure
}
