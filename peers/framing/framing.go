// Package framing says what a well-formed HTTP/1 answer is and what marks the end of its body. Clients open their
// connections with Dial, so that whatever reads an answer reads a well-formed one, or an error.
package framing

import "net/http"

// MaxHeadBytes bounds the head of an upstream's answer. An upstream in trouble may send bytes without end.
const MaxHeadBytes = 64 << 10

// Framing is what marks the end of an answer's body.
type Framing string

// The values of Framing.
const (
	Length Framing = "length"
	Chunks Framing = "chunks"
	// Close is a body that ends when the server closes the connection. It ends in the same way if the server
	// ends in the middle of the answer.
	Close Framing = "close"
)

// Of returns the framing of a response.
func Of(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return Chunks
	case response.ContentLength >= 0, response.Body == http.NoBody:
		return Length
	default:
		return Close
	}
}
