// Package caller decodes callers' requests in OpenAI's published format and encodes answers
// and errors in the formats that its client libraries expect.
package caller

import (
	"bytes"
	"encoding/json"
	"math"

	"acaciacleat.example/core/result"
)

// Generation is a parsed completion or chat completion request.
type Generation struct {
	Chat   bool
	Model  string
	Stream bool
	// IncludeUsage requests a last chunk with token counts in a streamed answer.
	IncludeUsage bool
	// MaxTokens is 0 when the caller sets no limit.
	MaxTokens int
	// Prompt is the raw JSON of the prompt or the messages. The token estimate is made from
	// its length, and the prefix for cache-aware routing from its beginning.
	Prompt []byte
	// Body is the whole request as received.
	Body []byte
}

// generationBody holds the request fields that the system reads; engines read the others.
type generationBody struct {
	Model               *string         `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *float64        `json:"max_tokens"`
	MaxCompletionTokens *float64        `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Logprobs            json.RawMessage `json:"logprobs"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Parse decodes a request body. Its errors have the execution NotRun and, unless the JSON is
// malformed, name the field.
func Parse(body []byte, chat bool) (*Generation, *result.Error) {
	var b generationBody
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, result.New(result.BadJSON, result.NotRun, "%v", err)
	}
	g := &Generation{Chat: chat, Body: body, Stream: b.Stream, Prompt: b.Prompt}
	if chat {
		g.Prompt = b.Messages
	}
	if b.StreamOptions != nil {
		g.IncludeUsage = b.StreamOptions.IncludeUsage
	}
	if err := checkFields(&b); err != nil {
		return nil, err
	}
	if isEmpty(g.Prompt) {
		return nil, result.New(result.MissingPrompt, result.NotRun, "%q", promptField(chat))
	}
	if err := checkPromptType(g.Prompt, chat); err != nil {
		return nil, err
	}
	g.Model = *b.Model
	limit, err := maxTokens(&b)
	if err != nil {
		return nil, err
	}
	g.MaxTokens = limit
	return g, nil
}

func promptField(chat bool) string {
	if chat {
		return "messages"
	}
	return "prompt"
}

// checkPromptType checks the JSON type of the prompt, so that a caller gets the error at once
// and not from the upstream after the request has waited in the queue.
func checkPromptType(prompt json.RawMessage, chat bool) *result.Error {
	first := bytes.TrimLeft(prompt, " \t\r\n")[0]
	switch {
	case chat && first != '[':
		return result.New(result.BadParameter, result.NotRun, "field \"messages\" must be a list of messages")
	case !chat && first != '[' && first != '"':
		return result.New(result.BadParameter, result.NotRun, "field \"prompt\" must be a string or a list")
	default:
		return nil
	}
}

func checkFields(b *generationBody) *result.Error {
	if b.Model == nil || *b.Model == "" {
		return result.New(result.UnknownModel, result.NotRun, "field \"model\" is missing")
	}
	if b.N != nil && *b.N != 1 {
		return result.New(result.UnsupportedField, result.NotRun, "field \"n\" is %d; only 1 is supported", *b.N)
	}
	for _, field := range []struct {
		name  string
		value json.RawMessage
	}{{"tools", b.Tools}, {"functions", b.Functions}} {
		if !isEmpty(field.value) {
			return result.New(result.UnsupportedField, result.NotRun, "field %q", field.name)
		}
	}
	if len(b.Logprobs) > 0 && !bytes.Equal(b.Logprobs, []byte("null")) && !bytes.Equal(b.Logprobs, []byte("false")) {
		return result.New(result.UnsupportedField, result.NotRun, "field \"logprobs\"")
	}
	return nil
}

// isEmpty reports whether a field is absent, null, an empty string, an empty list or a list
// with one empty string. A value of more than 16 bytes counts as not empty, so that a long
// prompt is not scanned.
func isEmpty(raw json.RawMessage) bool {
	var compact bytes.Buffer
	if len(raw) > 16 {
		return false
	}
	if json.Compact(&compact, raw) != nil {
		return true
	}
	switch compact.String() {
	case "", "null", `""`, "[]", `[""]`:
		return true
	}
	return false
}

func maxTokens(b *generationBody) (int, *result.Error) {
	name, value := "max_tokens", b.MaxTokens
	if b.MaxCompletionTokens != nil {
		name, value = "max_completion_tokens", b.MaxCompletionTokens
	}
	if value == nil {
		return 0, nil
	}
	if *value < 1 || *value > math.MaxInt32 || *value != math.Trunc(*value) {
		return 0, result.New(result.BadParameter, result.NotRun, "field %q is %v; want a whole number from 1", name, *value)
	}
	return int(*value), nil
}
