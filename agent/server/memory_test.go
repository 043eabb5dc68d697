package server

import (
	"context"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/reservation"
	"acaciacleat.example/peers/engine"
	"github.com/stretchr/testify/require"
)

// emptyEngine holds nothing and reports so; its calls run until they are cancelled.
type emptyEngine struct {
	engine.Engine
	begun chan call.ID
}

func (e *emptyEngine) Generate(ctx context.Context, request engine.Generate) (engine.Stream, error) {
	e.begun <- request.ID
	<-ctx.Done()
	return nil, engine.ErrBroken
}

func (e *emptyEngine) Cancel(context.Context, call.ID) error { return nil }

func (e *emptyEngine) Report(context.Context) (engine.Report, error) {
	return engine.Report{Model: testModel, CapacityTokens: testCapacity}, nil
}

const testCapacity = 1000

// Symptom: an agent refuses calls for lack of memory beside an engine that is empty.
// Sequence: a group's share is reserved and confirmed; the engine restarts and loses it;
// the leader's sign of life goes on.
// Cause: the book is compared with the engine's report, and what the engine does not hold
// stays booked. A call with an open stream is another matter: its end frees its memory.
func TestMemoryThatTheEngineLostIsReleased(t *testing.T) {
	upstream := &emptyEngine{begun: make(chan call.ID, 1)}
	s := startServer(t, func(c *Config) { c.Engine = upstream })
	s.readReport(t.Context(), time.Minute)
	running, lost := call.ID{1}, call.ID{2}
	e := dialEntry(t, "entry", s)
	require.NoError(t, e.conn.Send(offerOf(running, s, true)))
	require.Equal(t, running, <-upstream.begun)
	const leader call.Incarnation = 77
	before := time.Now().Add(-time.Minute)
	s.mu.Lock()
	// Both were confirmed long before the report.
	s.memory.Release(running, 1, before)
	for id, owner := range map[call.ID]call.Incarnation{running: s.config.Incarnation, lost: leader} {
		require.NoError(t, s.memory.Reserve(reservation.Reservation{
			ID: id, Attempt: 2, Owner: owner, Tokens: 400, Deadline: time.Now().Add(time.Hour),
		}, before))
		require.NoError(t, s.memory.Confirm(id, 2, owner, before))
	}
	s.mu.Unlock()
	s.readReport(t.Context(), time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, stillBooked := s.memory.Get(lost)
	require.False(t, stillBooked, "the engine does not hold it and nobody reads its stream")
	_, stillBooked = s.memory.Get(running)
	require.True(t, stillBooked, "its stream is open")
	require.Equal(t, int64(testCapacity-400), s.memory.Free())
}
