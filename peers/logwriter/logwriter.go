// Package logwriter writes log lines in the background, so that a process never waits for the
// reader of its log.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Writer is an io.Writer for log lines. Lines beyond its queue are dropped and counted. It is safe
// for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan *[]byte
	// buffers are those of written lines.
	buffers sync.Pool
	dropped atomic.Int64
	// closing is closed by Close, and written is closed once the queued lines have been written.
	closing chan struct{}
	written chan struct{}
	close   sync.Once
}

// New returns a Writer that queues at most the given number of lines for out.
func New(out io.Writer, queued int) *Writer {
	w := &Writer{out: out, lines: make(chan *[]byte, queued), closing: make(chan struct{}), written: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	buffer, reused := w.buffers.Get().(*[]byte)
	if !reused {
		buffer = new([]byte)
	}
	*buffer = append((*buffer)[:0], line...)
	select {
	case w.lines <- buffer:
	default:
		w.dropped.Add(1)
		w.recycle(buffer)
	}
	return len(line), nil
}

// maxRecycledBytes bounds the buffers that are kept, so that a few long lines don't hold memory.
const maxRecycledBytes = 4 << 10

func (w *Writer) recycle(buffer *[]byte) {
	if cap(*buffer) <= maxRecycledBytes {
		w.buffers.Put(buffer)
	}
}

// closeTimeout bounds the time for the queued lines if nobody reads them.
const closeTimeout = 500 * time.Millisecond

// Close writes the queued lines and ends the Writer.
func (w *Writer) Close() error {
	w.close.Do(func() { close(w.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.written:
	case <-timer.C:
	}
	return nil
}

func (w *Writer) run() {
	defer close(w.written)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

// drain writes what is queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes a line, after one that reports how many were dropped before it. A failure of the log
// has nowhere to be reported.
func (w *Writer) write(line *[]byte) {
	if dropped := w.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(w.out, `{"level":"warn","lines":%d,"message":"log lines lost: nobody read them"}`+"\n", dropped)
	}
	_, _ = w.out.Write(*line)
	w.recycle(line)
}
