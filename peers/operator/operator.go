// Package operator defines the HTTP interface for operators, shared by server and client:
// its paths and answers, and a client for the command line.
package operator

import (
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/caller"
	"acaciacleat.example/peers/documents"
)

// Paths of the operators' interface.
const (
	PathDocuments = "/v1/admin/documents"
	PathRequests  = "/v1/admin/requests"
	PathServices  = "/v1/admin/services"
	SuffixStatus  = "/status"
	SuffixHistory = "/history"
	// ParamLimit is the query parameter for the maximum number of changes in a history.
	ParamLimit = "limit"
)

// Headers with the ETag of the document on which a put is based. A put with neither If-Match
// nor If-None-Match creates a document and never replaces one.
const (
	HeaderETag        = "ETag"
	HeaderIfMatch     = "If-Match"
	HeaderIfNoneMatch = "If-None-Match"
	// AnyTag matches every document.
	AnyTag = "*"
)

// MaxDocumentBytes limits a document's text. A document with 35,000 organisations has about
// 10 MB.
const MaxDocumentBytes = 64 << 20

// Outcome is the outcome of a put.
type Outcome string

// The outcomes.
const (
	// Accepted means that every live node applies the document; HTTP status 200.
	Accepted Outcome = "accepted"
	// Recorded means that the document is stored durably, but not yet known to be applied
	// by every live node; HTTP status 202.
	Recorded Outcome = "recorded"
)

// PutAnswer is the answer to a put.
type PutAnswer struct {
	Outcome  Outcome           `json:"outcome"`
	Revision document.Revision `json:"revision"`
	ETag     string            `json:"etag"`
	// Missing lists what the rollout of the document still waits for.
	Missing []string `json:"missing,omitempty"`
}

// Status is the rollout status of a document.
type Status struct {
	Service string `json:"service"`
	ETag    string `json:"etag"`
	// ActiveRevision is the revision that the queried entry applies.
	ActiveRevision document.Revision `json:"revision_in_force"`
	// Missing lists what the rollout still waits for; empty if every live node applies the
	// document.
	Missing []string `json:"missing"`
}

// Summary is one element of the list of documents.
type Summary struct {
	Service       string        `json:"service"`
	Kind          document.Kind `json:"kind"`
	ETag          string        `json:"etag"`
	Models        []string      `json:"models,omitempty"`
	Organisations int           `json:"organisations"`
}

// Change is one element of a document's history.
type Change struct {
	Revision document.Revision `json:"revision"`
	At       time.Time         `json:"at"`
	Diff     []document.Change `json:"diff"`
}

// Problem is an error answer. Faults are set for an invalid document, Conflict for a document
// that has changed since it was read.
type Problem struct {
	caller.Problem
	Faults   []document.Fault    `json:"faults,omitempty"`
	Conflict *documents.Conflict `json:"conflict,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Detail }
