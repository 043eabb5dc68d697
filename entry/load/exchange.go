package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"acaciacleat.example/core/deadline"
	"acaciacleat.example/entry/load/mix"
	"acaciacleat.example/entry/load/schedule"
	"github.com/pkg/errors"
)

// Causes with which the run itself cancels a request's context.
var (
	errInterrupted = errors.New("the run was interrupted")
	errUnanswered  = errors.New("no complete response within the deadline and grace period")
)

const (
	// eventBufferBytes is the size of the read buffer, and so the maximum length of an event line.
	eventBufferBytes = 16 << 10
	// maxFailureBodyBytes bounds how much of an error response's body is read.
	maxFailureBodyBytes = 64 << 10
)

// exchange sends a request, reads its response to the end and fills in result.
func (r *runner) exchange(request *schedule.Request, result *Result) {
	ctx, cancel := context.WithDeadlineCause(r.requestContext, r.sendTime(request).Add(r.timeout(request)+r.config.GracePeriod), errUnanswered)
	defer cancel()
	result.Lag = r.sinceSendTime(request)
	err := r.roundTrip(ctx, request, result)
	result.Total = r.sinceSendTime(request)
	result.Late = err == nil && result.Total > r.timeout(request)
	result.Code = codeOf(ctx, err)
}

func (r *runner) roundTrip(ctx context.Context, request *schedule.Request, result *Result) error {
	httpRequest, err := r.newRequest(ctx, request)
	if err != nil {
		return err
	}
	response, err := r.client.Do(httpRequest)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return readFailure(response)
	}
	if request.Call != nil {
		_, err := io.Copy(io.Discard, response.Body)
		return err
	}
	return r.readStream(response.Body, request, result)
}

// failure is an error response of an entry. Its code has the result code with its name and execution
// state, or the HTTP status if the body contains no error in a known format.
type failure struct{ code string }

// Error implements error.
func (f *failure) Error() string { return f.code }

// codeOf returns the failure code for an exchange's error, or "" for a complete response.
func codeOf(ctx context.Context, err error) string {
	var reported *failure
	switch {
	case err == nil:
		return ""
	case errors.As(err, &reported):
		return reported.code
	case errors.Is(context.Cause(ctx), errInterrupted):
		return CodeInterrupted
	case errors.Is(context.Cause(ctx), errUnanswered):
		return CodeUnanswered
	case errors.Is(err, errBroken):
		return CodeBroken
	default:
		return CodeTransport
	}
}

// newRequest returns the HTTP request for a generation, or for a call of a plain service if Call is
// set.
func (r *runner) newRequest(ctx context.Context, request *schedule.Request) (*http.Request, error) {
	if request.Call != nil {
		return r.newPlainRequest(ctx, request)
	}
	m := r.config.Mix
	head := fmt.Sprintf(`{"model":%s,"stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":"`,
		strconv.Quote(m.Model), request.AnswerTokens)
	const tail = `"}]}`
	body := io.MultiReader(bytes.NewReader([]byte(head)), request.Text.Reader(), bytes.NewReader([]byte(tail)))
	httpRequest, err := r.newAuthorizedRequest(ctx, request, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	httpRequest.ContentLength = int64(len(head) + request.Text.Bytes() + len(tail))
	httpRequest.Header.Set("Content-Type", "application/json")
	return httpRequest, nil
}

func (r *runner) newPlainRequest(ctx context.Context, request *schedule.Request) (*http.Request, error) {
	c := request.Call
	httpRequest, err := r.newAuthorizedRequest(ctx, request, c.Method, "/v1/services/"+c.Service+c.Path, bytes.NewReader([]byte(c.Body)))
	if err != nil {
		return nil, err
	}
	if c.IdempotencyKey {
		httpRequest.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", r.config.KeyPrefix, request.Index))
	}
	return httpRequest, nil
}

// newAuthorizedRequest returns an HTTP request to an entry with the organisation's key and the
// requested deadline.
func (r *runner) newAuthorizedRequest(ctx context.Context, request *schedule.Request, method, path string, body io.Reader) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, method, r.target(request)+path, body)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Authorization", "Bearer "+r.organisation(request).Key)
	if request.Timeout > 0 {
		httpRequest.Header.Set(deadline.Header, strconv.FormatInt(max(1, request.Timeout.Milliseconds()), 10))
	}
	return httpRequest, nil
}

func (r *runner) organisation(request *schedule.Request) *mix.Organisation {
	return &r.config.Mix.Organisations[request.Organisation]
}

// chunk holds the fields that the run reads from a stream event or from the body of an error
// response.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *failureDetail `json:"error"`
}

// failureDetail holds the fields of an entry's error in both of its formats: the OpenAI error
// object (Code) and the problem document (Title).
type failureDetail struct {
	Code       string `json:"code"`
	Title      string `json:"title"`
	ResultCode int    `json:"result_code"`
	Execution  string `json:"execution"`
}

func (f *failureDetail) failure() *failure {
	return &failure{code: fmt.Sprintf("%d %s%s (%s)", f.ResultCode, f.Code, f.Title, f.Execution)}
}

func readFailure(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFailureBodyBytes))
	if err != nil {
		return err
	}
	var openAI chunk
	if json.Unmarshal(data, &openAI) == nil && openAI.Error != nil {
		return openAI.Error.failure()
	}
	var problem failureDetail
	if json.Unmarshal(data, &problem) == nil && problem.ResultCode != 0 {
		return problem.failure()
	}
	return &failure{code: "HTTP " + strconv.Itoa(response.StatusCode)}
}

// errBroken reports a stream that ended before [DONE], or that has an event too long for the read
// buffer or impossible to parse.
var errBroken = errors.New("the stream ended before [DONE]")

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// readStream reads server-sent events up to [DONE] and records the times of the tokens and the
// usage.
func (r *runner) readStream(body io.Reader, request *schedule.Request, result *Result) error {
	reader := bufio.NewReaderSize(body, eventBufferBytes)
	previous := result.FirstToken // 0: no event with text has been read yet
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return errors.WithMessage(errBroken, err.Error())
		}
		payload, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(payload, doneMarker) {
			return nil
		}
		var c chunk
		if err := json.Unmarshal(payload, &c); err != nil {
			return errors.WithMessage(errBroken, err.Error())
		}
		if c.Error != nil {
			return c.Error.failure()
		}
		if c.Usage != nil {
			result.Usage = Usage{c.Usage.PromptTokens, c.Usage.PromptTokensDetails.CachedTokens, c.Usage.CompletionTokens}
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			now := r.sinceSendTime(request)
			result.recordToken(previous, now)
			previous = now
		}
	}
}

// recordToken records an event with text that arrived at the time now; previous is the time of the
// preceding event with text. Both count from the intended send time.
func (r *Result) recordToken(previous, now time.Duration) {
	if r.FirstToken == 0 {
		r.FirstToken = now
		return
	}
	r.Gaps = append(r.Gaps, now-previous)
}
