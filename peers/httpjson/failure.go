package httpjson

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"
)

// Code is the reason that a service states in an error answer.
type Code string

// The codes.
const (
	// CodeNotApplied states that the service executed no part of the call.
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

// Status returns the HTTP status that belongs to the code.
func (c Code) Status() int {
	if status, ok := codeStatus[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Code   Code   `json:"code"`
	Detail string `json:"detail,omitempty"`
}

// Failure describes a failed call.
type Failure struct {
	// Sent is false only if certainly no byte of the call was sent, because the call never
	// had a connection.
	Sent bool
	// Status is the HTTP status, or 0 if no answer arrived.
	Status int
	// Code is the service's reason; empty if it stated none that matches the status.
	Code Code
	Err  error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("status %d, code %q, sent %t: %v", f.Status, f.Code, f.Sent, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// NotApplied reports whether the call certainly had no effect.
func (f *Failure) NotApplied() bool { return !f.Sent || f.Code == CodeNotApplied }

// AsFailure returns the Failure in err's chain. If there is none, it returns one for a call
// that may have been sent and applied.
func AsFailure(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{Sent: true, Err: err}
}

// statusFailure accepts a code from the body only if it matches the status. An intermediary
// can answer 404 or 503 by itself, and such an answer says nothing about the effect of the
// call on the service.
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
