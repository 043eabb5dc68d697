package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/service"
	"github.com/stretchr/testify/require"
)

// Symptom: a call is refused as first_run_lost, or its answer comes before the word that
// it was accepted, although it runs.
// Sequence: several entries offer calls at once to an engine that answers at once.
// Cause: the pump of one request starts another's call before that one's entry is
// attached to it, and the first frame finds nobody.
func TestCallsOfManyEntriesAreAcceptedBeforeTheirAnswer(t *testing.T) {
	const entries, each = 8, 64
	s := startServer(t, nil)
	var all []*entry
	for i := range entries {
		all = append(all, dialEntry(t, fmt.Sprint("entry-", i), s))
	}
	for n := range each {
		for i, e := range all {
			require.NoError(t, e.conn.Send(offerOf(call.ID{byte(i + 1), byte(n + 1)}, s, true)))
		}
	}
	for i, e := range all {
		for n := range each {
			id := call.ID{byte(i + 1), byte(n + 1)}
			e.await(t, "the end", func() bool { return e.answered(id) })
			want := []link.Type{(&link.Accepted{}).Type(), (&link.Chunk{}).Type(), (&link.Chunk{}).Type(), (&link.End{}).Type()}
			refused, _ := e.refusal(id)
			require.Equal(t, want, e.kinds(id), "%v", refused)
		}
	}
}

// plainAnswer is a plain service that answers each call with the same body.
type plainAnswer struct {
	service.Service
	body string
}

func (p *plainAnswer) Do(context.Context, service.Call) (*service.Answer, error) {
	return &service.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(p.body))}, nil
}

// startPlain starts an agent that waits no longer than a moment for lost entries.
func startPlain(t *testing.T, body string, keptBytes int) *Server {
	t.Helper()
	return startServer(t, func(c *Config) {
		c.Engine = nil
		c.Plain = &plainAnswer{body: body}
		c.Limits = DefaultLimits
		c.Limits.KeptBytes = keptBytes
		c.Limits.Detached = 10 * time.Millisecond
	})
}

// runToEnd has a non-repeatable call run and acknowledges its whole answer.
func (e *entry) runToEnd(t *testing.T, s *Server, id call.ID) {
	t.Helper()
	require.NoError(t, e.conn.Send(offerOf(id, s, false)))
	e.await(t, "the end", func() bool { return e.answered(id) })
	require.NoError(t, e.conn.Send(&link.Ack{ID: id, Attempt: 1, Seq: e.end(id).Seq}))
	awaitNoCalls(t, s)
}

func awaitNoCalls(t *testing.T, s *Server) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for len(s.calls()) > 0 {
		require.True(t, time.Now().Before(deadline), "the call was not forgotten")
		time.Sleep(time.Millisecond)
	}
}

// Symptom: an agent that is told to stop waits for its whole drain limit with nothing in
// hand.
// Sequence: a call ends; a repeat of its key gets the answer again, and the repeat's entry
// dies before it acknowledges it.
// Cause: a replayed call is live again and nothing takes it out.
func TestDrainDoesNotWaitForAReplayWhoseEntryDied(t *testing.T) {
	s := startPlain(t, "answer", 1<<20)
	id, later := call.ID{1}, call.ID{2}
	first := dialEntry(t, "entry-1", s)
	first.runToEnd(t, s, id)
	// A later call that is retired shows that the first one's own timer is over.
	require.NoError(t, first.conn.Send(offerOf(later, s, false)))
	first.await(t, "the end", func() bool { return first.answered(later) })
	first.node.Close()
	awaitNoCalls(t, s)
	second := dialEntry(t, "entry-2", s)
	require.NoError(t, second.conn.Send(offerOf(id, s, false)))
	second.await(t, "the replay", func() bool { return second.answered(id) })
	_, refused := second.refusal(id)
	require.False(t, refused)
	second.node.Close()
	awaitDrained(t, s)
}

// Symptom: as above; and answers of other calls are dropped although there is room.
// Sequence: an answer outgrows what is kept of one; a repeat of its key is refused.
// Cause: the refused replay is live again, and the bytes that were not kept are booked.
func TestAnswerThatWasNotKeptCostsNothing(t *testing.T) {
	s := startPlain(t, strings.Repeat("x", 100), 10)
	id := call.ID{1}
	dialEntry(t, "entry-1", s).runToEnd(t, s, id)
	second := dialEntry(t, "entry-2", s)
	require.NoError(t, second.conn.Send(offerOf(id, s, false)))
	second.await(t, "the refusal", func() bool { return second.answered(id) })
	refused, _ := second.refusal(id)
	require.Equal(t, result.FirstRunLost, refused.Code)
	require.Equal(t, result.Ran, refused.Execution)
	s.mu.Lock()
	booked := s.ledger.ResultBytes()
	s.mu.Unlock()
	require.Zero(t, booked)
	awaitDrained(t, s)
}
