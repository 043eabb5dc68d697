package server

import (
	"context"
	"testing"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/engine"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// memoryNotStartedError matches the error by which package engine represents an engine's
// refusal for lack of memory that explicitly states not-run.
type memoryNotStartedError struct{}

func (memoryNotStartedError) Error() string { return "memory" }
func (memoryNotStartedError) Unwrap() []error {
	return []error{engine.ErrOutOfMemory, engine.ErrNotStarted}
}

// An answer must not report not-run for a call that ran, nor ran for a call that is not known
// to have run. Only an explicit statement of the engine, or a stream that has begun, proves
// either; the kind of failure alone does not. The cases are the failures that the engine's
// adapter distinguishes, before and during the stream.
func TestEngineFailuresReportProvenExecution(t *testing.T) {
	refuse := func(err error) func(context.Context, engine.Generate) (engine.Stream, error) {
		return func(context.Context, engine.Generate) (engine.Stream, error) { return nil, err }
	}
	breakOff := func(deltas ...engine.Delta) func(context.Context, engine.Generate) (engine.Stream, error) {
		return func(context.Context, engine.Generate) (engine.Stream, error) {
			return &tokenStream{deltas: deltas, err: engine.ErrBroken}, nil
		}
	}
	cases := []struct {
		name      string
		generate  func(context.Context, engine.Generate) (engine.Stream, error)
		code      result.Code
		execution result.Execution
	}{
		{"out of memory, engine states not-run", refuse(memoryNotStartedError{}), result.MemoryFull, result.NotRun},
		{"out of memory, execution not stated", refuse(errors.Wrap(engine.ErrOutOfMemory, "503")), result.MemoryFull, result.Unknown},
		{"no connection", refuse(engine.ErrNotStarted), result.UpstreamFailed, result.NotRun},
		{"rejected", refuse(engine.ErrRejected), result.UpstreamRejected, result.NotRun},
		{"broken before any answer", refuse(engine.ErrBroken), result.UpstreamFailed, result.Unknown},
		{"broken after the stream has begun", breakOff(), result.UpstreamFailed, result.Ran},
		{"broken after a delta", breakOff(engine.Delta{Tokens: 1, Text: "a"}), result.UpstreamFailed, result.Ran},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startServer(t, func(c *Config) { c.Engine = &scriptedEngine{generate: tc.generate} })
			e := dialEntry(t, "entry", s)
			id := call.ID{1}
			require.NoError(t, e.conn.Send(offerOf(id, s, true)))
			e.await(t, "the end", func() bool { return e.answered(id) })
			require.Equal(t, tc.code, e.end(id).Code)
			require.Equal(t, tc.execution, e.end(id).Execution)
		})
	}
}
