package engine

// The HTTP interface of an engine: OpenAI's completion calls with the extensions below.
const (
	PathCompletions  = "/v1/completions"
	PathChat         = "/v1/chat/completions"
	PathRequests     = "/v1/requests/"
	PathReservations = "/v1/reservations"
	PathReport       = "/v1/report"
	PathCacheEvents  = "/v1/cache/events"
	PathOrders       = "/v1/orders"
	PathExport       = "/v1/kv/export"
	PathImport       = "/v1/kv/import"
	PathHealth       = "/healthz"
)

// Headers of a generation and of its answer.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority is a decimal number; lower goes first.
	HeaderPriority = "X-Priority"
	// HeaderTimeLeft is in milliseconds.
	HeaderTimeLeft = "X-Time-Left-Ms"
	// HeaderGroup lists the base URLs of further engines, separated by commas.
	HeaderGroup       = "X-Group"
	HeaderTraceParent = "Traceparent"
	// HeaderRun is in the answer: it tells this run of the request from another run
	// of the same id, so that a late cancel can't end the wrong one.
	HeaderRun = "X-Run"
	// HeaderExecution is ExecutionNotRun in a refusal that had no effect.
	HeaderExecution = "X-Execution"
	ExecutionNotRun = "not-run"
)

// The error types that an engine's refusal carries.
const (
	TypeInvalid  = "invalid_request_error"
	TypeMemory   = "out_of_memory"
	TypeFenced   = "fencing_number_too_old"
	TypeBusy     = "not_accepting"
	TypeDeadline = "deadline_exceeded"
	TypeFailed   = "engine_failure"
)

// ErrorBody is the JSON body of a refusal and of an error event in a stream.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure in OpenAI's shape.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// Continuation is the request field "continue_from": the part of the answer that the
// caller already has.
type Continuation struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// StreamOptions is OpenAI's request field of this name.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Chunk is one event of a streamed answer. Text is set in completions and
// Delta in chat completions.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Tokens is how many generated tokens the event carries. An engine without this
	// extension sends one token an event.
	Tokens *int         `json:"tokens,omitempty"`
	Error  *ErrorDetail `json:"error,omitempty"`
}

// Choice is the one alternative that a chunk carries.
type Choice struct {
	Index        int        `json:"index"`
	Text         string     `json:"text,omitempty"`
	Delta        *ChatDelta `json:"delta,omitempty"`
	FinishReason *string    `json:"finish_reason"`
}

// ChatDelta is the new part of a chat answer.
type ChatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// ReserveBody is the body of POST PathReservations.
type ReserveBody struct {
	ID     string `json:"id"`
	Tokens int64  `json:"tokens"`
	TTLMs  int64  `json:"ttl_ms"`
}

// Done is the data of the event that ends a whole stream.
const Done = "[DONE]"
