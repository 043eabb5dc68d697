package engine

// Paths of the HTTP interface of an engine: OpenAI's completion calls and extensions.
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
	// HeaderPriority is a decimal number; the engine schedules lower numbers first.
	HeaderPriority = "X-Priority"
	// HeaderTimeLeft is the time to the deadline in milliseconds.
	HeaderTimeLeft = "X-Time-Left-Ms"
	// HeaderGroup lists the base URLs of further engines, separated by commas.
	HeaderGroup       = "X-Group"
	HeaderTraceParent = "Traceparent"
	// HeaderRun is in the answer. It identifies this run among the runs of the same
	// request id, so that a late cancel can't end another run.
	HeaderRun = "X-Run"
	// HeaderExecution is ExecutionNotRun in an error answer to a request that had no effect.
	HeaderExecution = "X-Execution"
	ExecutionNotRun = "not-run"
)

// The error types in an engine's error answers.
const (
	TypeInvalid  = "invalid_request_error"
	TypeMemory   = "out_of_memory"
	TypeFenced   = "fencing_number_too_old"
	TypeBusy     = "not_accepting"
	TypeDeadline = "deadline_exceeded"
	TypeFailed   = "engine_failure"
)

// ErrorBody is the JSON body of an error answer and of an error event in a stream.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error in OpenAI's format.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
}

// Continuation is the request field "continue_from": the part of the answer that was
// already delivered to the caller.
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
	// Tokens is the number of generated tokens in the event. An engine without this
	// extension sends one token per event.
	Tokens *int         `json:"tokens,omitempty"`
	Error  *ErrorDetail `json:"error,omitempty"`
}

// Choice is the part of one alternative answer in a chunk. The client reads only the first.
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

// DoneMarker is the data of the event that ends a complete stream.
const DoneMarker = "[DONE]"
