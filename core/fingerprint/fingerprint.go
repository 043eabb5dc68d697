// Package fingerprint tells requests of the same content from others, whatever id, headers and
// deadline they come with.
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Size is the length of a Print in bytes.
const Size = 16

// Print stands for the content of a request. It is part of a cryptographic hash: nobody can make
// a request that has the print of another caller's.
type Print [Size]byte

// Request is what a Print is made of.
type Request struct {
	Host   string
	Method string
	// Path is the path with the query, as the caller wrote it.
	Path string
	// Caller is the organisation; empty where the route needs no key.
	Caller string
	Body   []byte
}

// Of returns the print of a request.
func Of(r Request) Print {
	h := sha256.New()
	for _, field := range []string{r.Host, r.Method, r.Path, r.Caller} {
		// The length goes first, so that no two lists of fields write the same bytes.
		h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	h.Write(r.Body)
	return Print(h.Sum(nil)[:Size])
}

// String returns the print in hexadecimal digits.
func (p Print) String() string { return hex.EncodeToString(p[:]) }

// Parse reads what String returns.
func Parse(s string) (Print, error) {
	var p Print
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != Size {
		return p, errors.Errorf("%.50q is not a fingerprint of %d hexadecimal digits", s, 2*Size)
	}
	return Print(data), nil
}
