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

// both matches an engine's refusal for lack of memory with its own word not-run, as
// package engine makes it.
type both struct{}

func (both) Error() string   { return "memory" }
func (both) Unwrap() []error { return []error{engine.ErrOutOfMemory, engine.ErrNotStarted} }

// Symptom: an answer says not-run of a call that ran, or ran of one that nobody saw run.
// Sequence: the engine's call fails in each way that its adapter tells apart, before the
// stream or in it.
// Cause: taking a failure's kind as proof of what only the engine's own word, or a stream
// that has begun, proves.
func TestEngineFailuresSayWhatIsProved(t *testing.T) {
	refuse := func(err error) func(context.Context, engine.Generate) (engine.Stream, error) {
		return func(context.Context, engine.Generate) (engine.Stream, error) { return nil, err }
	}
	breakOff := func(deltas ...engine.Delta) func(context.Context, engine.Generate) (engine.Stream, error) {
		return func(context.Context, engine.Generate) (engine.Stream, error) {
			return &tokens{deltas: deltas, err: engine.ErrBroken}, nil
		}
	}
	cases := []struct {
		name      string
		generate  func(context.Context, engine.Generate) (engine.Stream, error)
		code      result.Code
		execution result.Execution
	}{
		{"memory with the engine's word", refuse(both{}), result.MemoryFull, result.NotRun},
		{"memory without a word", refuse(errors.Wrap(engine.ErrOutOfMemory, "503")), result.MemoryFull, result.Unknown},
		{"no connection", refuse(engine.ErrNotStarted), result.UpstreamFailed, result.NotRun},
		{"rejected", refuse(engine.ErrRejected), result.UpstreamRejected, result.NotRun},
		{"broken before any answer", refuse(engine.ErrBroken), result.UpstreamFailed, result.Unknown},
		{"broken after the stream's begin", breakOff(), result.UpstreamFailed, result.Ran},
		{"broken after a delta", breakOff(engine.Delta{Tokens: 1, Text: "a"}), result.UpstreamFailed, result.Ran},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startServer(t, func(c *Config) { c.Engine = &script{generate: tc.generate} })
			e := dialEntry(t, "entry", s)
			id := call.ID{1}
			require.NoError(t, e.conn.Send(offerOf(id, s, true)))
			e.await(t, "the end", func() bool { return e.answered(id) })
			require.Equal(t, tc.code, e.end(id).Code)
			require.Equal(t, tc.execution, e.end(id).Execution)
		})
	}
}
