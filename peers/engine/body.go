package engine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// body is the body of a generation: the caller's JSON object and the fields that the
// adapter adds. It references the caller's bytes without a copy, as a prompt may have
// megabytes.
type body struct {
	callerFields []byte
	addedFields  []byte
}

type addedFields struct {
	Stream        bool          `json:"stream"`
	StreamOptions StreamOptions `json:"stream_options"`
	Continue      *Continuation `json:"continue_from,omitempty"`
}

// newBody appends the added fields to the caller's object. JSON decoders of engines keep
// the last of duplicate fields, so the added fields override the caller's "stream": false.
func newBody(request Generate) (*body, error) {
	object := bytes.TrimSpace(request.Body)
	if len(object) < 2 || object[0] != '{' || object[len(object)-1] != '}' {
		return nil, errors.New("body is not a JSON object")
	}
	added := addedFields{Stream: true, StreamOptions: StreamOptions{IncludeUsage: true}}
	if request.DeliveredTokens > 0 || request.Delivered != "" {
		added.Continue = &Continuation{Text: request.Delivered, Tokens: request.DeliveredTokens}
	}
	tail, err := json.Marshal(added)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	head := bytes.TrimRight(object[:len(object)-1], " \t\r\n")
	tail[0] = ','
	if len(head) == 1 {
		tail[0] = ' '
	}
	return &body{callerFields: head, addedFields: tail}, nil
}

func (b *body) reader() io.Reader {
	return io.MultiReader(bytes.NewReader(b.callerFields), bytes.NewReader(b.addedFields))
}

func (b *body) length() int64 { return int64(len(b.callerFields) + len(b.addedFields)) }
