// Package record keeps the decisions about recent requests and their reasons in a ring buffer of
// fixed size, which operators can query.
package record

import (
	"sync"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
)

// maxSteps is the maximum number of steps recorded for one request.
const maxSteps = 64

// Step is one event in the processing of a request.
type Step struct {
	// AfterMs is the time since admission, in milliseconds.
	AfterMs float64 `json:"after_ms"`
	Name    string  `json:"name"`
	Agent   string  `json:"agent,omitempty"`
	Detail  string  `json:"detail,omitempty"`
}

// Request is the record of one request.
type Request struct {
	ID           string           `json:"id"`
	Received     time.Time        `json:"received"`
	Organisation string           `json:"organisation,omitempty"`
	Service      string           `json:"service,omitempty"`
	Model        string           `json:"model,omitempty"`
	Revision     uint64           `json:"document_revision"`
	PromptTokens int              `json:"prompt_tokens,omitempty"`
	Class        string           `json:"class,omitempty"`
	Deadline     string           `json:"deadline,omitempty"`
	Steps        []Step           `json:"steps"`
	Done         bool             `json:"done"`
	Code         result.Code      `json:"code"`
	CodeName     string           `json:"code_name,omitempty"`
	Execution    result.Execution `json:"execution,omitempty"`
	Detail       string           `json:"detail,omitempty"`
	TookMs       float64          `json:"took_ms,omitempty"`
	FirstMs      float64          `json:"first_token_ms,omitempty"`
	QueueMs      float64          `json:"queue_ms,omitempty"`
	CachedTokens int              `json:"cached_tokens,omitempty"`

	mu sync.Mutex
}

// Add records a step; steps beyond maxSteps are dropped. It is safe for concurrent use.
func (r *Request) Add(name, agent, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Steps) >= maxSteps {
		return
	}
	r.Steps = append(r.Steps, Step{AfterMs: sinceMs(r.Received), Name: name, Agent: agent, Detail: detail})
}

// Update calls change with the request's lock held, to set fields other than the steps.
func (r *Request) Update(change func(*Request)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// Finish records the outcome; err is nil on success.
func (r *Request) Finish(err *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Done = true
	r.TookMs = sinceMs(r.Received)
	r.Execution = result.Ran
	if err != nil {
		r.Code = err.Code
		r.Execution = err.Execution
		r.Detail = err.Detail
	}
	r.CodeName = result.Lookup(r.Code).Name
}

func sinceMs(t time.Time) float64 {
	return float64(time.Since(t).Microseconds()) / 1000
}

// Ring is a ring buffer of the most recent requests. It is safe for concurrent use.
type Ring struct {
	mu   sync.Mutex
	ring []*Request
	next int
	byID map[call.ID]*Request
	ids  []call.ID
}

// NewRing returns a Ring for size requests.
func NewRing(size int) *Ring {
	return &Ring{ring: make([]*Request, size), ids: make([]call.ID, size), byID: make(map[call.ID]*Request, size)}
}

// Begin adds a request, which replaces the oldest one once the ring is full.
func (r *Ring) Begin(id call.ID) *Request {
	request := &Request{ID: id.String(), Received: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ring[r.next] != nil {
		delete(r.byID, r.ids[r.next])
	}
	r.ring[r.next] = request
	r.ids[r.next] = id
	r.byID[id] = request
	r.next = (r.next + 1) % len(r.ring)
	return request
}

// Find returns a copy of a request, or nil if it is not in the ring.
func (r *Ring) Find(id call.ID) *Request {
	r.mu.Lock()
	request := r.byID[id]
	r.mu.Unlock()
	if request == nil {
		return nil
	}
	return request.copy()
}

func (r *Request) copy() *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Request{
		ID: r.ID, Received: r.Received, Organisation: r.Organisation, Service: r.Service, Model: r.Model,
		Revision: r.Revision, PromptTokens: r.PromptTokens, Class: r.Class, Deadline: r.Deadline, Done: r.Done,
		Code: r.Code, CodeName: r.CodeName, Execution: r.Execution, Detail: r.Detail, TookMs: r.TookMs,
		FirstMs: r.FirstMs, QueueMs: r.QueueMs, CachedTokens: r.CachedTokens,
	}
	c.Steps = append([]Step(nil), r.Steps...)
	return c
}
