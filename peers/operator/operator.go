// Package operator is the HTTP interface towards operators, as both of its ends see it:
// the paths, the answers, and a client for the command line.
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
	// ParamLimit bounds the changes that a history has.
	ParamLimit = "limit"
)

// Headers that name the document on which a put is based. A put with neither makes a new
// document and changes no old one.
const (
	HeaderETag        = "ETag"
	HeaderIfMatch     = "If-Match"
	HeaderIfNoneMatch = "If-None-Match"
	// AnyTag matches every document.
	AnyTag = "*"
)

// MaxDocumentBytes bounds a document's text: 35,000 organisations have about 10 MB.
const MaxDocumentBytes = 64 << 20

// Outcome says what became of a put.
type Outcome string

// The outcomes.
const (
	// Accepted means that every live node goes by the document: HTTP status 200.
	Accepted Outcome = "accepted"
	// Recorded means that the document is stored for good but not yet known to be in
	// force everywhere: HTTP status 202.
	Recorded Outcome = "recorded"
)

// PutAnswer is the answer to a put.
type PutAnswer struct {
	Outcome  Outcome           `json:"outcome"`
	Revision document.Revision `json:"revision"`
	ETag     string            `json:"etag"`
	// Missing names what holds the document back.
	Missing []string `json:"missing,omitempty"`
}

// Status tells where a document is in force.
type Status struct {
	Service string `json:"service"`
	ETag    string `json:"etag"`
	// InForce is the revision that the entry asked goes by.
	InForce document.Revision `json:"revision_in_force"`
	// Missing names what holds the document back; empty when it is in force everywhere.
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

// Problem is a failure. Faults are set for an invalid document, Conflict for one that
// changed since it was read.
type Problem struct {
	caller.Problem
	Faults   []document.Fault    `json:"faults,omitempty"`
	Conflict *documents.Conflict `json:"conflict,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return p.Detail }
