// Package mix parses the JSON file that describes the requests of a load run: lengths of prompts
// and answers, organisations, documents shared between requests, deadlines, and calls of plain
// services.
package mix

import (
	"time"

	"acaciacleat.example/core/document"
)

// Mix describes the requests of a load run. Class.Share and the weights are relative to the sum of
// their list; Documents.Share and Plain.Share are fractions of 1.
type Mix struct {
	// Model is sent in every generation request.
	Model string `json:"model" validate:"label"`
	// Load is the offered load as a fraction of the engines' compute capacity without prefix
	// cache hits; 1 is full capacity.
	Load float64 `json:"load" validate:"gte=0.001,lte=100"`
	// DurationSeconds is the time during which requests arrive. WarmupSeconds is the initial
	// part of it that the report excludes.
	DurationSeconds float64 `json:"durationSeconds" validate:"gte=0.1,lte=86400"`
	WarmupSeconds   float64 `json:"warmupSeconds" validate:"gte=0"`
	// Classes are the kinds of generation request.
	Classes []Class `json:"classes" validate:"min=1,max=100,dive"`
	// Organisations are the organisations that send the requests.
	Organisations []Organisation `json:"organisations" validate:"min=1,max=1000,dive"`
	// Plain describes the calls of plain services.
	Plain Plain `json:"plain"`
}

// Class is one kind of generation request.
type Class struct {
	Name string `json:"name" validate:"label"`
	// Share is the class's relative share of the generation requests.
	Share float64 `json:"share" validate:"gt=0"`
	// PromptTokens and AnswerTokens are the distributions of lengths. A request sends its answer
	// length as max_tokens.
	PromptTokens Range `json:"promptTokens"`
	AnswerTokens Range `json:"answerTokens"`
	// TimeoutMs is the requested deadline; 0 for the service's default.
	TimeoutMs int `json:"timeoutMs" validate:"gte=0,lte=86400000"`
	// CommonTokens is the length of the prefix that all prompts of the class share.
	CommonTokens int `json:"commonTokens" validate:"gte=0,lte=10000000"`
	// Documents describes prefixes that several requests share.
	Documents Documents `json:"documents"`
}

// Documents describes text that several prompts share as a prefix, as in sessions and in questions
// about the same record. Each organisation has its own documents in each class.
type Documents struct {
	// Share is the fraction of requests that contain a document; 0 for none.
	Share float64 `json:"share" validate:"gte=0,lte=1"`
	// Count is the number of documents of each organisation in the class.
	Count int `json:"count" validate:"gte=0,lte=1000000"`
	// Zipf is the exponent of the documents' popularity: the document of rank r occurs with a
	// frequency proportional to 1/r^Zipf.
	Zipf float64 `json:"zipf" validate:"gte=0,lte=5"`
	// Part is the fraction of a prompt's tokens, after the common prefix, that come from the
	// document; the rest is unique to the prompt. Share, in contrast, is a fraction of the requests.
	Part float64 `json:"part" validate:"gte=0,lte=1"`
}

// Organisation is an organisation that sends requests.
type Organisation struct {
	Name string `json:"name" validate:"label"`
	// Key is its bearer token.
	Key string `json:"key" validate:"bearerkey"`
	// Weight is its relative share of all requests.
	Weight float64 `json:"weight" validate:"gt=0"`
}

// Plain describes the calls of plain services. Share is their fraction of all requests.
type Plain struct {
	Share float64 `json:"share" validate:"gte=0,lt=1"`
	Calls []Call  `json:"calls" validate:"max=100,dive"`
}

// Call is one kind of call of a plain service.
type Call struct {
	Service string  `json:"service" validate:"label"`
	Method  string  `json:"method" validate:"oneof=GET POST PUT PATCH DELETE"`
	Path    string  `json:"path" validate:"callpath"`
	Weight  float64 `json:"weight" validate:"gt=0"`
	// Body is sent verbatim in every call.
	Body string `json:"body" validate:"max=1000000"`
	// IdempotencyKey sends a unique Idempotency-Key with each call.
	IdempotencyKey bool `json:"idempotencyKey"`
	TimeoutMs      int  `json:"timeoutMs" validate:"gte=0,lte=86400000"`
}

// Duration returns the time during which requests arrive.
func (m *Mix) Duration() time.Duration { return seconds(m.DurationSeconds) }

// Warmup returns the initial time that the report excludes.
func (m *Mix) Warmup() time.Duration { return seconds(m.WarmupSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// DocumentOrganisations returns the organisations in the form of a service's document.
func (m *Mix) DocumentOrganisations() []document.Organisation {
	organisations := make([]document.Organisation, 0, len(m.Organisations))
	for _, o := range m.Organisations {
		hash := document.HashKey(o.Key).String()
		organisations = append(organisations, document.Organisation{Name: o.Name, KeyHashes: []string{hash}})
	}
	return organisations
}

// MeanTokens returns the mean prompt and answer lengths of the generation requests.
func (m *Mix) MeanTokens() (prompt, answer float64) {
	shares := 0.0
	for _, c := range m.Classes {
		prompt += c.Share * c.PromptTokens.Mean()
		answer += c.Share * c.AnswerTokens.Mean()
		shares += c.Share
	}
	return prompt / shares, answer / shares
}

// UseSingleKey replaces the organisations by a single one with the given key, for entries that accept
// only one key.
func (m *Mix) UseSingleKey(key string) {
	m.Organisations = []Organisation{{Name: "one", Key: key, Weight: 1}}
}
