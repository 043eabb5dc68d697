// Package result defines the numbered result codes that all processes use, and the error
// type that combines a code with what is known about the execution of the call.
//
// The codes are part of the public interface: a number is never reused. A test checks the
// table in docs/ERRORS.md against All.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Execution says what is known about whether a call ran at its upstream.
type Execution string

// The three values of the X-Execution header.
const (
	// Ran means that the upstream began to execute the call.
	Ran Execution = "ran"
	// NotRun means that it is proved that the upstream never began the call.
	NotRun Execution = "not-run"
	// Unknown means that neither could be proved.
	Unknown Execution = "unknown"
)

// Code is a numbered result code. Zero is success.
type Code int

// The codes, by range: 1xxx the caller's request, 2xxx admission and limits,
// 3xxx upstreams and links, 4xxx the platform, 5xxx the system itself.
const (
	OK Code = 0

	BadJSON           Code = 1001
	UnknownModel      Code = 1002
	BadKey            Code = 1003
	MissingPrompt     Code = 1004
	PromptTooLong     Code = 1005
	BadDeadline       Code = 1006
	BodyTooLarge      Code = 1007
	HeadersTooLarge   Code = 1008
	UnknownService    Code = 1009
	NotAllowed        Code = 1010
	BadIdempotencyKey Code = 1011
	KeyReused         Code = 1012
	UnsupportedField  Code = 1013
	NotFound          Code = 1014
	CallerGone        Code = 1015
	BadParameter      Code = 1016
	RequestTimeout    Code = 1017

	OrganisationLimit Code = 2001
	CannotStartInTime Code = 2002
	QueueFull         Code = 2003
	MemoryFull        Code = 2004
	NoReplica         Code = 2005
	Draining          Code = 2006
	RetryBudgetSpent  Code = 2007
	StaleOffer        Code = 2008
	WrongIncarnation  Code = 2009
	Tombstoned        Code = 2010
	GroupUnavailable  Code = 2011
	RequestHeldBack   Code = 2012
	EntryFull         Code = 2013

	DeadlinePassed   Code = 3001
	UpstreamFailed   Code = 3002
	UpstreamTimeout  Code = 3003
	AgentLost        Code = 3004
	LinkSilent       Code = 3005
	StreamBroken     Code = 3006
	UpstreamRejected Code = 3007
	FirstRunLost     Code = 3008
	Cancelled        Code = 3009
	AnswerTooLarge   Code = 3010
	UpstreamCrashed  Code = 3011

	TableUnavailable   Code = 4001
	TableOutcome       Code = 4002
	ObjectsUnavailable Code = 4003
	RevisionConflict   Code = 4004
	DocumentInvalid    Code = 4005
	DocumentStale      Code = 4006

	Internal Code = 5001
	NotReady Code = 5002
)

// Info describes a code for the public table.
type Info struct {
	Code       Code
	Name       string
	HTTPStatus int
	// Meaning is one sentence that describes the failure.
	Meaning string
	// Remedy is one sentence that tells the caller how to react.
	Remedy string
}

// Error is a failure with its code and what is known about whether the call ran.
type Error struct {
	Code      Code
	Execution Execution
	// Detail names the field, value or peer concerned; it may be empty.
	Detail string
	// RetryAfter is the time after which the caller may try again; zero if unknown.
	RetryAfter time.Duration
	// Better names a replica that the refusing agent considers less loaded; it may be empty.
	Better string
}

// New returns an Error. Pass NotRun only where the code proves that the call did not run.
func New(code Code, execution Execution, format string, args ...any) *Error {
	return &Error{Code: code, Execution: execution, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	info := Lookup(e.Code)
	if e.Detail == "" {
		return fmt.Sprintf("%d %s (%s)", e.Code, info.Name, e.Execution)
	}
	return fmt.Sprintf("%d %s (%s): %s", e.Code, info.Name, e.Execution, e.Detail)
}

// DefaultRetryAfter is the time after which callers may retry if no better estimate is
// known. A shorter time would cause retries in vain; within a second a queue or a restart
// makes progress.
const DefaultRetryAfter = time.Second

// RetryAfterOrDefault returns the time after which the caller may try again: RetryAfter if
// it is set, otherwise DefaultRetryAfter for the HTTP statuses that come with a Retry-After
// header, and zero for all others.
//
// Without the default, the header would be missing although the remedy names it, and client
// libraries would all retry immediately during an overload.
func (e *Error) RetryAfterOrDefault() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	switch Lookup(e.Code).HTTPStatus {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return DefaultRetryAfter
	default:
		return 0
	}
}

// Lookup returns the description of code, and that of Internal for a code that is not in
// All.
func Lookup(code Code) Info {
	if info, ok := byCode[code]; ok {
		return info
	}
	return byCode[Internal]
}
