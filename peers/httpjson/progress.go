package httpjson

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// ErrStalled means that a call transferred no bytes within its timeout. It wraps
// context.DeadlineExceeded.
var ErrStalled = fmt.Errorf("nothing has passed in time: %w", context.DeadlineExceeded)

// progressTimer cancels a call that transfers no bytes for a time. A limit on the whole call
// would cut off every retry of a transfer that takes longer than the limit.
type progressTimer struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// timeout is the maximum time without progress.
	timeout time.Duration
}

// withProgressTimer returns a context that ends with ErrStalled after timeout without
// progress.
func withProgressTimer(ctx context.Context, timeout time.Duration) (context.Context, *progressTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progressTimer{cancel: cancel, timeout: timeout}
	p.timer = time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return ctx, p
}

// reset restarts the timer after bytes were transferred.
func (p *progressTimer) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.Reset(p.timeout)
}

// setTimeout changes the timeout and restarts the timer.
func (p *progressTimer) setTimeout(timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeout = timeout
	p.timer.Reset(timeout)
}

func (p *progressTimer) stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// progressReader calls onRead for each read that returns bytes.
type progressReader struct {
	io.Reader
	onRead func()
}

// maxReadBytes limits one read. A read of a chunked body returns when the buffer is full, so
// with a buffer of a megabyte no progress would be recorded while a megabyte is transferred.
const maxReadBytes = 16 << 10

func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), maxReadBytes)])
	if n > 0 {
		r.onRead()
	}
	return n, err
}
