// Package httpfaults applies a table of faults to the handlers of an HTTP stand-in.
package httpfaults

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"acaciacleat.example/standin/ending"
	"acaciacleat.example/standin/faults"
)

// Wrap returns a handler that applies the table's faults to each call of operation. A fault that
// breaks the connection does so with http.ErrAbortHandler.
func Wrap(table *faults.Table, operation string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault, ok := table.Next(operation)
		if !ok {
			next(w, r)
			return
		}
		apply(fault, w, r, next)
	}
}

func apply(fault faults.Fault, w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	switch fault.Kind {
	case faults.Die:
		panic(http.ErrAbortHandler)
	case faults.Slow:
		if Sleep(r.Context(), fault.Delay) != nil {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	case faults.Silent:
		Hang(r)
	case faults.AnswerLost:
		next(&discardingWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	case faults.Outage:
		// Without further headers, the status does not prove to the caller that nothing ran.
		http.Error(w, "outage", http.StatusServiceUnavailable)
	case faults.End:
		ending.Apply(w, fault.Ending, func(w http.ResponseWriter) { next(w, r) })
	default:
		http.Error(w, "unknown fault "+string(fault.Kind), http.StatusInternalServerError)
	}
}

// Hang sends nothing until the caller disconnects. It reads the body first, since net/http detects
// a disconnect only after that.
func Hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// Sleep waits for d; it returns the context's error if the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// discardingWriter is a response writer that discards the response.
type discardingWriter struct{ header http.Header }

func (w *discardingWriter) Header() http.Header         { return w.header }
func (w *discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w *discardingWriter) WriteHeader(int)             {}

// Put returns the handler of PUT /faults: it reads a JSON list and passes it to set.
func Put[F any](set func(...F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var list []F
		if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(list...)
		w.WriteHeader(http.StatusNoContent)
	}
}
