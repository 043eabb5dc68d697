package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"acaciacleat.example/core/call"
	"github.com/pkg/errors"
)

// errSilent is the cause of a stream that brought no byte for the idle time-out.
var errSilent = errors.New("engine: connection silent")

// errClosed is the cause of a stream that its reader closed.
var errClosed = errors.New("engine: stream closed")

// streamBuffer is the read buffer of a stream in bytes; a longer event grows past it.
const streamBuffer = 4 << 10

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

var dataPrefix = []byte("data:")

// stream is the answer to one Generate.
type stream struct {
	engine       *HTTP
	id           call.ID
	run          string
	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopDeadline context.CancelFunc
	// silence fires when no byte came for the idle time-out. Without it a connection
	// that something between the ends has forgotten would hold the request until its
	// deadline: TCP reports nothing while there is nothing to send.
	silence *time.Timer
	idle    time.Duration

	body   io.ReadCloser
	lines  *bufio.Reader
	ended  bool
	err    error
	final  Final
	reason bool

	closeOnce sync.Once
	closeErr  error
	mu        sync.Mutex
	complete  bool
}

func (s *stream) watch(idle time.Duration) {
	s.idle = idle
	s.silence = time.AfterFunc(idle, func() { s.cancel(errSilent) })
}

// release frees timers and the connection.
func (s *stream) release() {
	s.silence.Stop()
	s.cancel(errClosed)
	s.stopDeadline()
}

func (s *stream) open(request Generate, body *body) error {
	ctx, had := withConnMark(s.ctx)
	r, err := s.engine.newGenerate(ctx, request, body)
	if err != nil {
		return failure(ErrRejected, err)
	}
	response, err := s.engine.fresh.RoundTrip(r)
	if err != nil {
		err = transportFailure(had.Load(), s.cause(err))
		return s.cancelAfterDoubt(had.Load(), err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return refusal(response)
	}
	s.run = response.Header.Get(HeaderRun)
	s.body = response.Body
	s.lines = bufio.NewReaderSize(&touching{stream: s}, streamBuffer)
	return nil
}

// cancelAfterDoubt ends a request that the engine may have taken although its answer
// never began: on a silent connection the engine sees no close and would hold the
// memory until the deadline.
func (s *stream) cancelAfterDoubt(connected bool, err error) error {
	if !connected {
		return err
	}
	ctx := context.WithoutCancel(s.ctx)
	if cancelErr := s.engine.cancelRun(ctx, s.id, "", s.engine.options.CancelTimeout); cancelErr != nil {
		return errors.WithMessage(err, "cancel failed too: "+cancelErr.Error())
	}
	return err
}

// touching notes that bytes came.
type touching struct{ stream *stream }

// Read implements io.Reader.
func (t *touching) Read(p []byte) (int, error) {
	n, err := t.stream.body.Read(p)
	if n > 0 {
		t.stream.silence.Reset(t.stream.idle)
	}
	return n, err
}

// cause prefers the reason for which the stream's context ended to the error that the
// transport made of it.
func (s *stream) cause(err error) error {
	if s.ctx.Err() == nil {
		return err
	}
	return context.Cause(s.ctx)
}

// Next implements Stream.
func (s *stream) Next() (Delta, bool, error) {
	for !s.ended {
		data, err := s.nextEvent()
		if err != nil {
			return Delta{}, false, s.fail(err)
		}
		if string(data) == Done {
			return Delta{}, false, s.finish()
		}
		delta, err := s.take(data)
		if err != nil {
			return Delta{}, false, s.fail(err)
		}
		if delta.Tokens > 0 || delta.Text != "" {
			return delta, true, nil
		}
	}
	return Delta{}, false, s.err
}

// nextEvent returns the data of the next event. Comments, which engines send as
// keep-alives, and other fields are passed over.
func (s *stream) nextEvent() ([]byte, error) {
	for {
		line, err := s.nextLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (s *stream) nextLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if err != bufio.ErrBufferFull {
		return nil, unexpectedEnd(err)
	}
	whole := append([]byte(nil), line...)
	for err == bufio.ErrBufferFull && len(whole) < maxEvent {
		line, err = s.lines.ReadSlice('\n')
		whole = append(whole, line...)
	}
	if err != nil {
		return nil, unexpectedEnd(err)
	}
	return whole, nil
}

// unexpectedEnd tells that a stream may end only with Done.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *stream) take(data []byte) (Delta, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Delta{}, errors.Wrap(err, "event")
	}
	if chunk.Error != nil {
		return Delta{}, eventFailure(*chunk.Error)
	}
	if chunk.Usage != nil {
		s.final.Usage = *chunk.Usage
	}
	if len(chunk.Choices) == 0 {
		return Delta{}, nil
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != nil {
		s.final.FinishReason = *choice.FinishReason
		s.reason = true
	}
	return deltaOf(choice, chunk.Tokens), nil
}

func eventFailure(detail ErrorDetail) error {
	cause := errors.Errorf("%s: %s", detail.Type, detail.Message)
	if detail.Type == TypeDeadline {
		return failure(context.DeadlineExceeded, cause)
	}
	return cause
}

func deltaOf(choice Choice, tokens *int) Delta {
	delta := Delta{Text: choice.Text}
	if choice.Delta != nil {
		delta.Text = choice.Delta.Content
	}
	switch {
	case tokens != nil:
		delta.Tokens = *tokens
	case delta.Text != "":
		delta.Tokens = 1
	}
	return delta
}

func (s *stream) fail(err error) error {
	s.ended = true
	s.err = failure(ErrBroken, s.cause(err))
	return s.err
}

func (s *stream) finish() error {
	if !s.reason {
		return s.fail(errors.New("stream ended without finish_reason"))
	}
	s.ended = true
	s.mu.Lock()
	s.complete = true
	s.mu.Unlock()
	return nil
}

// Final implements Stream.
func (s *stream) Final() Final { return s.final }

// Close implements Stream. It returns once the engine has confirmed the cancel, or the
// failure to get this confirmation.
func (s *stream) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.close() })
	return s.closeErr
}

// close cancels by a call of its own as well as by closing the connection: where the
// connection is silent, the engine never learns that it was closed.
func (s *stream) close() error {
	s.mu.Lock()
	complete := s.complete
	s.mu.Unlock()
	s.release()
	s.body.Close()
	if complete {
		return nil
	}
	return s.engine.cancelRun(context.WithoutCancel(s.ctx), s.id, s.run, s.engine.options.CancelTimeout)
}
