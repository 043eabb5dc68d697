package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"acaciacleat.example/core/result"
	"github.com/go-json-experiment/json/jsontext"
)

// Usage holds token counts in the format of OpenAI's answers.
type Usage struct {
	PromptTokens        int                  `json:"prompt_tokens"`
	CompletionTokens    int                  `json:"completion_tokens"`
	TotalTokens         int                  `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails details Usage.PromptTokens: CachedTokens of them came from the engine's
// prefix cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewUsage returns the token counts of an answer.
func NewUsage(prompt, cached, completion int) *Usage {
	return &Usage{
		PromptTokens:        prompt,
		CompletionTokens:    completion,
		TotalTokens:         prompt + completion,
		PromptTokensDetails: &PromptTokensDetails{CachedTokens: cached},
	}
}

// AnswerEncoder encodes one answer, streamed or whole. Its methods do not modify it.
type AnswerEncoder struct {
	chat    bool
	id      string
	created int64
	model   string
	// chunkPrefix and chunkSuffix enclose each chunk's text; they are encoded once per answer.
	chunkPrefix []byte
	chunkSuffix []byte
}

// NewAnswerEncoder returns the encoder of the answer to a request.
func NewAnswerEncoder(g *Generation, requestID string, created int64) *AnswerEncoder {
	e := &AnswerEncoder{chat: g.Chat, created: created, model: g.Model}
	object, before, after := "text_completion", `"choices":[{"index":0,"text":`, `,"logprobs":null,"finish_reason":null}]}`+"\n\n"
	e.id = "cmpl-" + requestID
	if g.Chat {
		e.id = "chatcmpl-" + requestID
		object = "chat.completion.chunk"
		before, after = `"choices":[{"index":0,"delta":{"content":`, `},"logprobs":null,"finish_reason":null}]}`+"\n\n"
	}
	e.chunkPrefix = append(e.objectPrefix("data: ", object), before...)
	e.chunkSuffix = []byte(after)
	return e
}

// objectPrefix returns prefix and an object's first fields, including the comma that follows them.
func (e *AnswerEncoder) objectPrefix(prefix, object string) []byte {
	b := []byte(prefix + `{"id":"` + e.id + `","object":"` + object + `","created":`)
	b = strconv.AppendInt(b, e.created, 10)
	b = append(b, `,"model":`...)
	b = quote(b, []byte(e.model))
	return append(b, ',')
}

func quote(dst, text []byte) []byte {
	// AppendQuote replaces invalid UTF-8 and returns an error for it; the quoted text is
	// still valid JSON.
	quoted, _ := jsontext.AppendQuote(dst, text)
	return quoted
}

// AppendFirst appends the first event of a streamed chat answer. Completions have no such
// event.
func (e *AnswerEncoder) AppendFirst(dst []byte) []byte {
	if !e.chat {
		return dst
	}
	dst = append(dst, e.objectPrefix("data: ", "chat.completion.chunk")...)
	return append(dst, `"choices":[{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]}`+"\n\n"...)
}

// AppendChunk appends one event of a streamed answer, with the given text.
func (e *AnswerEncoder) AppendChunk(dst, text []byte) []byte {
	dst = append(dst, e.chunkPrefix...)
	dst = quote(dst, text)
	return append(dst, e.chunkSuffix...)
}

// AppendLast appends the final events of a streamed answer. A nil usage is left out.
func (e *AnswerEncoder) AppendLast(dst []byte, finishReason string, usage *Usage) []byte {
	object := "text_completion"
	choice := `"choices":[{"index":0,"text":"","logprobs":null,"finish_reason":`
	if e.chat {
		object = "chat.completion.chunk"
		choice = `"choices":[{"index":0,"delta":{},"logprobs":null,"finish_reason":`
	}
	dst = append(dst, e.objectPrefix("data: ", object)...)
	dst = append(dst, choice...)
	dst = strconv.AppendQuote(dst, finishReason)
	dst = append(dst, "}]}\n\n"...)
	if usage != nil {
		dst = append(dst, e.objectPrefix("data: ", object)...)
		dst = append(dst, `"choices":[],"usage":`...)
		dst = append(dst, encode(usage)...)
		dst = append(dst, "}\n\n"...)
	}
	return append(dst, "data: [DONE]\n\n"...)
}

// EncodeWhole returns the body of an answer that is not streamed.
func (e *AnswerEncoder) EncodeWhole(text []byte, finishReason string, usage *Usage) []byte {
	object := "text_completion"
	if e.chat {
		object = "chat.completion"
	}
	b := e.objectPrefix("", object)
	b = append(b, `"choices":[{"index":0,`...)
	if e.chat {
		b = append(b, `"message":{"role":"assistant","content":`...)
		b = quote(b, text)
		b = append(b, `,"refusal":null}`...)
	} else {
		b = append(b, `"text":`...)
		b = quote(b, text)
	}
	b = append(b, `,"logprobs":null,"finish_reason":`...)
	b = strconv.AppendQuote(b, finishReason)
	b = append(b, `}],"usage":`...)
	b = append(b, encode(usage)...)
	return append(b, '}')
}

// ErrorBody is the JSON body of an error in OpenAI's format, extended by the result code.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one failure.
type ErrorDetail struct {
	Message    string           `json:"message"`
	Type       string           `json:"type"`
	Param      *string          `json:"param"`
	Code       string           `json:"code"`
	ResultCode result.Code      `json:"result_code"`
	Execution  result.Execution `json:"execution"`
	RequestID  string           `json:"request_id"`
}

// ErrorMessage describes the error and its remedy for the caller.
func ErrorMessage(err *result.Error) string {
	info := result.Lookup(err.Code)
	if err.Detail == "" {
		return info.Meaning + " " + info.Remedy
	}
	return info.Meaning + " (" + err.Detail + ") " + info.Remedy
}

// ErrorJSON returns an error in OpenAI's format.
func ErrorJSON(err *result.Error, requestID string) []byte {
	info := result.Lookup(err.Code)
	return encode(ErrorBody{Error: ErrorDetail{
		Message:    ErrorMessage(err),
		Type:       errorType(info.HTTPStatus),
		Code:       info.Name,
		ResultCode: err.Code,
		Execution:  err.Execution,
		RequestID:  requestID,
	}})
}

// AppendErrorEvent appends the error event that ends a stream which failed after its start.
func AppendErrorEvent(dst []byte, err *result.Error, requestID string) []byte {
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, ErrorJSON(err, requestID)...)
	return append(dst, "\n\n"...)
}

func errorType(status int) string {
	switch {
	case status == 401:
		return "authentication_error"
	case status == 403:
		return "permission_error"
	case status == 429:
		return "rate_limit_error"
	case status < 500:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// Problem is an error in the format of RFC 9457.
type Problem struct {
	Type       string           `json:"type"`
	Title      string           `json:"title"`
	Status     int              `json:"status"`
	Detail     string           `json:"detail"`
	ResultCode result.Code      `json:"result_code"`
	Execution  result.Execution `json:"execution"`
	RequestID  string           `json:"request_id,omitempty"`
}

// ProblemJSON returns an error in the format of RFC 9457.
func ProblemJSON(err *result.Error, requestID string) []byte {
	return encode(NewProblem(err, requestID))
}

// NewProblem converts an error to a Problem.
func NewProblem(err *result.Error, requestID string) Problem {
	info := result.Lookup(err.Code)
	return Problem{
		Type:       "about:blank",
		Title:      info.Name,
		Status:     info.HTTPStatus,
		Detail:     ErrorMessage(err),
		ResultCode: err.Code,
		Execution:  err.Execution,
		RequestID:  requestID,
	}
}

// Model is one entry of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// encode marshals a value of one of this package's types, which can't fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// HeaderRetryAfter is the header with the time, in whole seconds, after which the caller
// may retry.
const HeaderRetryAfter = "Retry-After"

// SetRetryAfter sets the Retry-After header, rounded up to a second, if the error has a
// retry time. The statuses 429 and 503 have a default one.
func SetRetryAfter(header http.Header, err *result.Error) {
	retryAfter := err.RetryAfterOrDefault()
	if retryAfter <= 0 {
		return
	}
	seconds := int((retryAfter + time.Second - 1) / time.Second)
	header.Set(HeaderRetryAfter, strconv.Itoa(seconds))
}
