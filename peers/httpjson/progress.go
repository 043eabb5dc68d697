package httpjson

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// ErrStalled means that a call made no progress for as long as it may. It is a
// context.DeadlineExceeded.
var ErrStalled = fmt.Errorf("nothing has passed in time: %w", context.DeadlineExceeded)

// progress ends a call in which nothing passes. A bound on the whole call would cut off each try
// of an answer that takes longer to transfer, however often it is made again.
type progress struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// bound is the time in which something must pass.
	bound time.Duration
}

// watch returns a context that ends with ErrStalled once nothing has passed for a bound.
func watch(ctx context.Context, bound time.Duration) (context.Context, *progress) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &progress{cancel: cancel, bound: bound}
	p.timer = time.AfterFunc(bound, func() { cancel(ErrStalled) })
	return ctx, p
}

// passed notes that something has passed.
func (p *progress) passed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.Reset(p.bound)
}

// within changes the bound for what follows.
func (p *progress) within(bound time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bound = bound
	p.timer.Reset(bound)
}

func (p *progress) end() {
	p.timer.Stop()
	p.cancel(nil)
}

// progressReader notes each read of a body.
type progressReader struct {
	io.Reader
	passed func()
}

// readBytes bounds one read. Reads of a body in chunks return once the buffer is full: with one of
// a megabyte nothing would be noted for as long as a megabyte takes.
const readBytes = 16 << 10

func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), readBytes)])
	if n > 0 {
		r.passed()
	}
	return n, err
}
