// Package framing tells what marks the end of an HTTP/1 answer's body.
package framing

import "net/http"

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
