package engine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// body is a generation's body: the caller's object and the fields that the adapter adds.
// The caller's bytes are not copied, as a prompt may have megabytes.
type body struct {
	head []byte
	tail []byte
}

type addedFields struct {
	Stream        bool          `json:"stream"`
	StreamOptions StreamOptions `json:"stream_options"`
	Continue      *Continuation `json:"continue_from,omitempty"`
}

// newBody puts the added fields last: where a field comes twice, JSON decoders in use by
// engines keep the last one, so a caller's "stream": false does not count.
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
	return &body{head: head, tail: tail}, nil
}

func (b *body) reader() io.Reader {
	return io.MultiReader(bytes.NewReader(b.head), bytes.NewReader(b.tail))
}

func (b *body) length() int64 { return int64(len(b.head) + len(b.tail)) }
