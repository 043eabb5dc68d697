// Package mix reads the JSON file that says which requests a load run sends: lengths of
// prompts and answers, organisations, documents that several requests share, deadlines,
// and calls of plain services.
package mix

import (
	"time"

	"acaciacleat.example/core/document"
)

// Mix describes the requests of a load run. Shares and weights are relative to the sum
// of their list.
type Mix struct {
	// Model is sent in every generation request.
	Model string `json:"model" validate:"label"`
	// Load is the offered load as a share of what the engines can compute with no help
	// from their prefix caches; 1 is the whole of it.
	Load float64 `json:"load" validate:"gte=0.001,lte=100"`
	// DurationSeconds is the time in which requests arrive, WarmupSeconds the part of it
	// at the beginning that the report leaves out.
	DurationSeconds float64 `json:"durationSeconds" validate:"gte=0.1,lte=86400"`
	WarmupSeconds   float64 `json:"warmupSeconds" validate:"gte=0"`
	// Classes are the kinds of generation request.
	Classes []Class `json:"classes" validate:"min=1,max=100,dive"`
	// Organisations are the callers.
	Organisations []Organisation `json:"organisations" validate:"min=1,max=1000,dive"`
	// Plain says which calls of plain services there are.
	Plain Plain `json:"plain"`
}

// Class is one kind of generation request.
type Class struct {
	Name string `json:"name" validate:"label"`
	// Share is the class's part of all generation requests.
	Share float64 `json:"share" validate:"gt=0"`
	// PromptTokens and AnswerTokens are the lengths. A request asks for its answer's
	// length as max_tokens.
	PromptTokens Range `json:"promptTokens"`
	AnswerTokens Range `json:"answerTokens"`
	// TimeoutMs is the deadline that a request asks for; 0 leaves it to the service.
	TimeoutMs int `json:"timeoutMs" validate:"gte=0,lte=86400000"`
	// CommonTokens is the length of a beginning that all prompts of the class share.
	CommonTokens int `json:"commonTokens" validate:"gte=0,lte=10000000"`
	// Documents are the texts that several requests are about.
	Documents Documents `json:"documents"`
}

// Documents says which part of the prompts begins with a text that other prompts begin
// with too, as in sessions and in questions about one record. Each organisation has
// documents of its own.
type Documents struct {
	// Share is the part of the requests that are about a document; 0 for none.
	Share float64 `json:"share" validate:"gte=0,lte=1"`
	// Count is the number of documents of each organisation.
	Count int `json:"count" validate:"gte=0,lte=1000000"`
	// Zipf is the exponent of their popularity: the document of rank r is asked for in
	// proportion to 1/r^Zipf.
	Zipf float64 `json:"zipf" validate:"gte=0,lte=5"`
	// Part is the part of the prompt that comes from the document; the rest is unlike
	// any other prompt.
	Part float64 `json:"part" validate:"gte=0,lte=1"`
}

// Organisation is one caller.
type Organisation struct {
	Name string `json:"name" validate:"label"`
	// Key is its bearer key.
	Key string `json:"key" validate:"bearerkey"`
	// Weight is its part of all requests.
	Weight float64 `json:"weight" validate:"gt=0"`
}

// Plain says which part of all requests are calls of plain services.
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
	// Body is sent as it is; the calls of one run have equal bodies.
	Body string `json:"body" validate:"max=1000000"`
	// IdempotencyKey gives each call a key of its own.
	IdempotencyKey bool `json:"idempotencyKey"`
	TimeoutMs      int  `json:"timeoutMs" validate:"gte=0,lte=86400000"`
}

// Duration returns the time in which requests arrive.
func (m *Mix) Duration() time.Duration { return seconds(m.DurationSeconds) }

// Warmup returns the time at the beginning that the report leaves out.
func (m *Mix) Warmup() time.Duration { return seconds(m.WarmupSeconds) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Callers returns the organisations as a service's document lists them.
func (m *Mix) Callers() []document.Organisation {
	callers := make([]document.Organisation, 0, len(m.Organisations))
	for _, o := range m.Organisations {
		hash := document.HashKey(o.Key).String()
		callers = append(callers, document.Organisation{Name: o.Name, KeyHashes: []string{hash}})
	}
	return callers
}

// MeanTokens returns the mean prompt and answer lengths of a generation request.
func (m *Mix) MeanTokens() (prompt, answer float64) {
	shares := 0.0
	for _, c := range m.Classes {
		prompt += c.Share * c.PromptTokens.Mean()
		answer += c.Share * c.AnswerTokens.Mean()
		shares += c.Share
	}
	return prompt / shares, answer / shares
}

// UseKey makes all requests those of one caller, for entries that know one key only.
func (m *Mix) UseKey(key string) {
	m.Organisations = []Organisation{{Name: "one", Key: key, Weight: 1}}
}
