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

// errIdleTimeout is the cancel cause of a stream that received no byte for the idle timeout.
var errIdleTimeout = errors.New("engine: connection silent")

// errStreamClosed is the cancel cause of a stream that its reader closed.
var errStreamClosed = errors.New("engine: stream closed")

// streamBufferBytes is the size of a stream's read buffer. Longer lines are copied to a
// buffer of their own.
const streamBufferBytes = 4 << 10

// maxLineBytes limits the size of one line of the event stream. A line may exceed it by less
// than streamBufferBytes.
const maxLineBytes = 1 << 20

var dataPrefix = []byte("data:")

// stream is the answer to one Generate.
type stream struct {
	engine *HTTP
	id     call.ID
	// run is the engine's ID for this run of the request, from HeaderRun. It is empty until the
	// answer begins; a cancel without it cancels any run of the request.
	run          string
	ctx          context.Context
	cancel       context.CancelCauseFunc
	stopDeadline context.CancelFunc
	// idleTimer fires when no byte has arrived for the idle timeout. If an intermediary has
	// dropped the state of the connection, TCP reports no error while nothing is sent, and
	// the request would hang until its deadline.
	idleTimer   *time.Timer
	idleTimeout time.Duration

	body            io.ReadCloser
	reader          *bufio.Reader
	ended           bool
	err             error
	final           Final
	hasFinishReason bool

	closeOnce sync.Once
	closeErr  error
	mu        sync.Mutex
	complete  bool
}

func (s *stream) startIdleTimer(idle time.Duration) {
	s.idleTimeout = idle
	s.idleTimer = time.AfterFunc(idle, func() { s.cancel(errIdleTimeout) })
}

// release stops the timers and closes the connection.
func (s *stream) release() {
	s.idleTimer.Stop()
	s.cancel(errStreamClosed)
	s.stopDeadline()
}

func (s *stream) open(request Generate, body *body) error {
	ctx, connected := traceConnection(s.ctx, http.MethodPost)
	r, err := s.engine.newGenerate(ctx, request, body)
	if err != nil {
		return newFailure(ErrRejected, err)
	}
	response, err := s.engine.unpooled.RoundTrip(r)
	if err != nil {
		err = transportFailure(connected.Load(), s.cause(err))
		return s.cancelIfConnected(connected.Load(), err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return refusalError(response)
	}
	s.run = response.Header.Get(HeaderRun)
	s.body = response.Body
	s.reader = bufio.NewReaderSize(&idleResetReader{stream: s}, streamBufferBytes)
	return nil
}

// cancelIfConnected cancels a request that the engine may have accepted although no answer
// began. On a connection that drops packets the engine sees no close and would hold the
// memory until the deadline.
func (s *stream) cancelIfConnected(connected bool, err error) error {
	if !connected {
		return err
	}
	ctx := context.WithoutCancel(s.ctx)
	if cancelErr := s.engine.cancelRun(ctx, s.id, "", s.engine.options.CancelTimeout); cancelErr != nil {
		return errors.WithMessage(err, "cancel failed too: "+cancelErr.Error())
	}
	return err
}

// idleResetReader reads the body and resets the idle timer whenever bytes arrive.
type idleResetReader struct{ stream *stream }

// Read implements io.Reader.
func (r *idleResetReader) Read(p []byte) (int, error) {
	n, err := r.stream.body.Read(p)
	if n > 0 {
		r.stream.idleTimer.Reset(r.stream.idleTimeout)
	}
	return n, err
}

// cause returns the cancel cause of the stream's context if the context has ended, otherwise err,
// the error of the transport.
func (s *stream) cause(err error) error {
	if s.ctx.Err() == nil {
		return err
	}
	return context.Cause(s.ctx)
}

// Next implements Stream.
func (s *stream) Next() (Delta, bool, error) {
	for !s.ended {
		data, err := s.nextData()
		if err != nil {
			return Delta{}, false, s.fail(err)
		}
		if string(data) == DoneMarker {
			return Delta{}, false, s.finish()
		}
		delta, err := s.decodeChunk(data)
		if err != nil {
			return Delta{}, false, s.fail(err)
		}
		if delta.Tokens > 0 || delta.Text != "" {
			return delta, true, nil
		}
	}
	return Delta{}, false, s.err
}

// nextData returns the content of the next data line. It skips comments, which engines send as
// keep-alives, and other fields.
func (s *stream) nextData() ([]byte, error) {
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
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if err != bufio.ErrBufferFull {
		return nil, unexpectedEOF(err)
	}
	whole := append([]byte(nil), line...)
	for err == bufio.ErrBufferFull && len(whole) < maxLineBytes {
		line, err = s.reader.ReadSlice('\n')
		whole = append(whole, line...)
	}
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	return whole, nil
}

// unexpectedEOF replaces io.EOF, since a stream may end only with DoneMarker.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *stream) decodeChunk(data []byte) (Delta, error) {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Delta{}, errors.Wrap(err, "event")
	}
	if chunk.Error != nil {
		return Delta{}, eventError(*chunk.Error)
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
		s.hasFinishReason = true
	}
	return deltaOf(choice, chunk.Tokens), nil
}

func eventError(detail ErrorDetail) error {
	cause := errors.Errorf("%s: %s", detail.Type, detail.Message)
	if detail.Type == TypeDeadline {
		return newFailure(context.DeadlineExceeded, cause)
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
	s.err = newFailure(ErrBroken, s.cause(err))
	return s.err
}

func (s *stream) finish() error {
	if !s.hasFinishReason {
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

// Close implements Stream. If the answer is not complete, it waits until the engine has
// confirmed the cancel; an error means that no confirmation arrived.
func (s *stream) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.close() })
	return s.closeErr
}

// close closes the connection and also sends a cancel call: on a connection that drops
// packets the engine does not see the close.
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
