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

// The ends of a request's context that are no caller's.
var (
	errInterrupted = errors.New("the run was interrupted")
	errUnanswered  = errors.New("no end in time")
)

const (
	// eventBytes is the buffer for events of a stream.
	eventBytes = 16 << 10
	// failureBytes bounds what is read of a failure's body.
	failureBytes = 64 << 10
)

// exchange sends one request and reads its answer to the end.
func (r *runner) exchange(request *schedule.Request, result *Result) {
	ctx, cancel := context.WithDeadlineCause(r.calls, r.due(request).Add(r.timeout(request)+r.config.Grace), errUnanswered)
	defer cancel()
	result.Lag = r.since(request)
	err := r.roundTrip(ctx, request, result)
	result.Whole = r.since(request)
	result.Late = err == nil && result.Whole > r.timeout(request)
	result.Code = codeOf(ctx, err)
}

func (r *runner) roundTrip(ctx context.Context, request *schedule.Request, result *Result) error {
	message, err := r.message(ctx, request)
	if err != nil {
		return err
	}
	answer, err := r.client.Do(message)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		return readFailure(answer)
	}
	if request.Call != nil {
		_, err := io.Copy(io.Discard, answer.Body)
		return err
	}
	return r.readStream(answer.Body, request, result)
}

// failure is an error that an entry answered with.
type failure struct{ code string }

// Error implements error.
func (f *failure) Error() string { return f.code }

// codeOf tells how a request ended; empty for a whole answer.
func codeOf(ctx context.Context, err error) string {
	var answered *failure
	switch {
	case err == nil:
		return ""
	case errors.As(err, &answered):
		return answered.code
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

func (r *runner) message(ctx context.Context, request *schedule.Request) (*http.Request, error) {
	if request.Call != nil {
		return r.callMessage(ctx, request)
	}
	m := r.config.Mix
	head := fmt.Sprintf(`{"model":%s,"stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":"`,
		strconv.Quote(m.Model), request.AnswerTokens)
	const tail = `"}]}`
	body := io.MultiReader(bytes.NewReader([]byte(head)), request.Text.Reader(), bytes.NewReader([]byte(tail)))
	message, err := r.newMessage(ctx, request, http.MethodPost, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	message.ContentLength = int64(len(head) + request.Text.Bytes() + len(tail))
	message.Header.Set("Content-Type", "application/json")
	return message, nil
}

func (r *runner) callMessage(ctx context.Context, request *schedule.Request) (*http.Request, error) {
	c := request.Call
	message, err := r.newMessage(ctx, request, c.Method, "/v1/services/"+c.Service+c.Path, bytes.NewReader([]byte(c.Body)))
	if err != nil {
		return nil, err
	}
	if c.IdempotencyKey {
		message.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", r.config.KeyPrefix, request.Index))
	}
	return message, nil
}

func (r *runner) newMessage(ctx context.Context, request *schedule.Request, method, path string, body io.Reader) (*http.Request, error) {
	message, err := http.NewRequestWithContext(ctx, method, r.target(request)+path, body)
	if err != nil {
		return nil, err
	}
	message.Header.Set("Authorization", "Bearer "+r.organisation(request).Key)
	if request.Timeout > 0 {
		message.Header.Set(deadline.Header, strconv.FormatInt(max(1, request.Timeout.Milliseconds()), 10))
	}
	return message, nil
}

func (r *runner) organisation(request *schedule.Request) *mix.Organisation {
	return &r.config.Mix.Organisations[request.Organisation]
}

// chunk is what is read of an event or of a failure's body.
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

// failureDetail is an entry's account of a failure, in both shapes that it has.
type failureDetail struct {
	Code       string `json:"code"`
	Title      string `json:"title"`
	ResultCode int    `json:"result_code"`
	Execution  string `json:"execution"`
}

func (f *failureDetail) failure() *failure {
	return &failure{code: fmt.Sprintf("%d %s%s (%s)", f.ResultCode, f.Code, f.Title, f.Execution)}
}

func readFailure(answer *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(answer.Body, failureBytes))
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
	return &failure{code: "HTTP " + strconv.Itoa(answer.StatusCode)}
}

// errBroken is a stream that ended before its regular end.
var errBroken = errors.New("the stream ended before [DONE]")

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// readStream reads server-sent events up to the one that closes the stream.
func (r *runner) readStream(body io.Reader, request *schedule.Request, result *Result) error {
	reader := bufio.NewReaderSize(body, eventBytes)
	latest := result.FirstToken
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return errors.WithMessage(errBroken, err.Error())
		}
		payload, found := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(payload, doneMark) {
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
			now := r.since(request)
			result.token(latest, now)
			latest = now
		}
	}
}

// token notes an event with text at the time now; latest is the one before.
func (r *Result) token(latest, now time.Duration) {
	if r.FirstToken == 0 {
		r.FirstToken = now
		return
	}
	r.Gaps = append(r.Gaps, now-latest)
}
