package engine

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// BytesPerToken is the stand-in tokenizer's ratio: a prompt of n bytes has
// ceil(n/BytesPerToken) tokens.
const BytesPerToken = 4

// TokensOf returns the number of prompt tokens in n bytes of text.
func TokensOf(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Prompt holds the fields that an engine reads from a body in OpenAI's format.
type Prompt struct {
	Model string
	// Text is the prompt, or the concatenated contents of all messages.
	Text string
	// MaxTokens is 0 when the body sets no limit.
	MaxTokens int
	Stream    bool
	Continue  Continuation
}

// Tokens returns the prompt's length in tokens.
func (p Prompt) Tokens() int { return TokensOf(len(p.Text)) }

type promptBody struct {
	Model               string       `json:"model"`
	Prompt              textField    `json:"prompt"`
	Messages            []message    `json:"messages"`
	MaxTokens           int          `json:"max_tokens"`
	MaxCompletionTokens int          `json:"max_completion_tokens"`
	Stream              bool         `json:"stream"`
	Continue            Continuation `json:"continue_from"`
}

type message struct {
	Role    string    `json:"role"`
	Content textField `json:"content"`
}

// textField is a string, a list of strings, a list of {"text": …} parts or null.
type textField string

// UnmarshalJSON implements json.Unmarshaler.
func (f *textField) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '[' {
		return f.unmarshalList(data)
	}
	if isVerbatim(data) {
		*f = textField(data[1 : len(data)-1])
		return nil
	}
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	*f = textField(s)
	return nil
}

// isVerbatim reports whether data is a JSON string without escapes and with valid UTF-8,
// whose bytes are its text. Many long prompts are, and a second decoding of one would take
// tens of milliseconds.
func isVerbatim(data []byte) bool {
	return len(data) > 1 && data[0] == '"' && bytes.IndexByte(data, '\\') < 0 && utf8.Valid(data)
}

func (f *textField) unmarshalList(data []byte) error {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		return err
	}
	var all strings.Builder
	for _, item := range items {
		text, err := textOfItem(item)
		if err != nil {
			return err
		}
		all.WriteString(text)
	}
	*f = textField(all.String())
	return nil
}

func textOfItem(item json.RawMessage) (string, error) {
	if item[0] == '"' {
		var s string
		err := json.Unmarshal(item, &s)
		return s, err
	}
	var part struct {
		Text string `json:"text"`
	}
	err := json.Unmarshal(item, &part)
	return part.Text, err
}

// ParsePrompt decodes the body of a chat completion, or of a completion if chat is false.
func ParsePrompt(body []byte, chat bool) (Prompt, error) {
	var b promptBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Prompt{}, errors.Wrap(err, "request body")
	}
	p := Prompt{Model: b.Model, Text: string(b.Prompt), Stream: b.Stream, Continue: b.Continue}
	if chat {
		p.Text = textOfMessages(b.Messages)
	}
	p.MaxTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	if p.Text == "" {
		return Prompt{}, errors.New("request body: no prompt")
	}
	return p, nil
}

func textOfMessages(messages []message) string {
	if len(messages) == 1 {
		return string(messages[0].Content)
	}
	var all strings.Builder
	for _, m := range messages {
		all.WriteString(string(m.Content))
	}
	return all.String()
}
