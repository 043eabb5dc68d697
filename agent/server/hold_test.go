package server

import (
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/scheduling"
	"github.com/stretchr/testify/require"
)

// fullQueue is a queue that takes the given number of items, whatever is removed from it.
type fullQueue struct {
	scheduling.Queue
	left int
}

func (q *fullQueue) Push(item scheduling.Item) bool {
	q.left--
	return q.left >= 0 && q.Queue.Push(item)
}

// Guards against a group reservation that stays pending after it has left the queue: it would never be
// granted, and the agent would never be idle.
func TestReplacedReservationThatFindsNoRoomIsForgotten(t *testing.T) {
	s := startServer(t, func(c *Config) { c.Queue = &fullQueue{Queue: scheduling.NewFIFO(8), left: 1} })
	var answers []bool
	reserve := func(attempt call.Attempt) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.enqueueReservation(&pendingReservation{
			id: call.ID{1}, attempt: attempt, tokens: 1, deadline: time.Now().Add(time.Minute),
			answer: func(ok bool) { answers = append(answers, ok) },
		}, "depot", 1, time.Now())
	}
	reserve(1)
	require.Empty(t, answers, "it waits in the queue")
	reserve(2)
	require.Equal(t, []bool{false}, answers)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Empty(t, s.pendingReservations)
	require.Zero(t, s.queue.Len())
}
