// Package fingerprint computes fingerprints that identify requests of the same content,
// independent of their id, headers and deadline.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Size is the length of a Print in bytes.
const Size = 16

// Print is the fingerprint of a request's content. It is a prefix of a cryptographic hash, so
// that no caller can construct a request with the same print as another caller's.
type Print [Size]byte

// Request holds the fields of a request that determine its Print.
type Request struct {
	Host   string
	Method string
	// Path is the path with the query, as sent by the caller.
	Path string
	// Caller is the organisation; empty if the route requires no key.
	Caller string
	Body   []byte
}

// Of returns the print of a request.
func Of(r Request) Print {
	h := sha256.New()
	for _, field := range []string{r.Host, r.Method, r.Path, r.Caller} {
		// The length prefix keeps different lists of fields from producing the same bytes.
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(r.Body)
	return Print(h.Sum(nil)[:Size])
}

// OfSegment returns the print of a segment of prompts to a service. The ID is what callers name the segment by.
func OfSegment(service, id string) Print {
	// The method can't be that of a request, so that no request has the print of a segment.
	return Of(Request{Method: "segment of a prompt", Host: service, Path: id})
}

// String returns the print in hexadecimal digits.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// Parse parses the output of String.
func Parse(s string) (Print, error) {
	var p Print
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != Size {
		return p, errors.Errorf("%.50q is not a fingerprint of %d hexadecimal digits", s, 2*Size)
	}
	return Print(data), nil
}
