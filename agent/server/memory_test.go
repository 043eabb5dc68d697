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

// emptyEngine reports that it holds no memory. Its calls run until they are cancelled.
type emptyEngine struct {
	engine.Engine
	started chan call.ID
}

func (e *emptyEngine) Generate(ctx context.Context, request engine.Generate) (engine.Stream, error) {
	e.started <- request.ID
	<-ctx.Done()
	return nil, engine.ErrBroken
}

func (e *emptyEngine) Cancel(context.Context, call.ID) error { return nil }

func (e *emptyEngine) Report(context.Context) (engine.Report, error) {
	return engine.Report{Model: testModel, CapacityTokens: testCapacity}, nil
}

const testCapacity = 1000

// A group's memory is reserved and confirmed, then the engine restarts and loses it while the
// leader's heartbeats continue. If the memory stayed reserved, the agent would refuse calls
// for lack of memory beside an empty engine. The reservation of a call with an open stream
// stays, because the end of the stream frees it.
func TestMemoryLostByEngineIsReleased(t *testing.T) {
	upstream := &emptyEngine{started: make(chan call.ID, 1)}
	s := startServer(t, func(c *Config) { c.Engine = upstream })
	s.pollReport(t.Context(), time.Minute)
	running, lost := call.ID{1}, call.ID{2}
	e := dialEntry(t, "entry", s)
	require.NoError(t, e.conn.Send(offerOf(running, s, true)))
	require.Equal(t, running, <-upstream.started)
	const leader call.Incarnation = 77
	before := time.Now().Add(-time.Minute)
	s.mu.Lock()
	// Both reservations were confirmed long before the report.
	s.memory.Release(running, 1, before)
	for id, owner := range map[call.ID]call.Incarnation{running: s.config.Incarnation, lost: leader} {
		require.NoError(t, s.memory.Reserve(reservation.Reservation{
			ID: id, Attempt: 2, Owner: owner, Tokens: 400, Deadline: time.Now().Add(time.Hour),
		}, before))
		require.NoError(t, s.memory.Confirm(id, 2, owner, before))
	}
	s.mu.Unlock()
	s.pollReport(t.Context(), time.Minute)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, stillReserved := s.memory.Get(lost)
	require.False(t, stillReserved, "the engine does not hold it and it has no open stream")
	_, stillReserved = s.memory.Get(running)
	require.True(t, stillReserved, "its stream is open")
	require.Equal(t, int64(testCapacity-400), s.memory.Free())
}
