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

// Several entries offer calls concurrently to an engine that answers at once. If the handler
// of one offer could start another offer's call before its entry is attached, the first frame
// would be lost: the running call would be refused as first_run_lost, or its answer would be
// sent before Accepted.
func TestCallsAreAcceptedBeforeTheirAnswerIsSent(t *testing.T) {
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
			require.Equal(t, want, e.receivedTypes(id), "%v", refused)
		}
	}
}

// fixedAnswerService is a plain service that answers every call with the same body.
type fixedAnswerService struct {
	service.Service
	body string
}

func (p *fixedAnswerService) Do(context.Context, service.Call) (*service.Answer, error) {
	return &service.Answer{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader(p.body))}, nil
}

// startPlain starts an agent of a plain service that waits only 10 ms for entries to resume.
func startPlain(t *testing.T, body string, keptBytes int) *Server {
	t.Helper()
	return startServer(t, func(c *Config) {
		c.Engine = nil
		c.Plain = &fixedAnswerService{body: body}
		c.Limits = DefaultLimits
		c.Limits.KeptBytes = keptBytes
		c.Limits.Detached = 10 * time.Millisecond
	})
}

// runToEnd runs a non-repeatable call and acknowledges its whole answer.
func (e *entry) runToEnd(t *testing.T, s *Server, id call.ID) {
	t.Helper()
	require.NoError(t, e.conn.Send(offerOf(id, s, false)))
	e.await(t, "the end", func() bool { return e.answered(id) })
	require.NoError(t, e.conn.Send(&link.Ack{ID: id, Attempt: 1, Seq: e.end(id).Seq}))
	awaitNoCalls(t, s)
}

func awaitNoCalls(t *testing.T, s *Server) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for len(s.calls()) > 0 {
		require.True(t, time.Now().Before(deadline), "calls are still live")
		time.Sleep(time.Millisecond)
	}
}

// A call ends, a repeat of its key gets the answer again, and the repeat's entry dies before
// it acknowledges the answer. If the replayed call were never removed, a drain would wait for
// its whole limit although no call is in flight.
func TestDrainDoesNotWaitForReplayOfDeadEntry(t *testing.T) {
	s := startPlain(t, "answer", 1<<20)
	id, later := call.ID{1}, call.ID{2}
	first := dialEntry(t, "entry-1", s)
	first.runToEnd(t, s, id)
	// Once a later call has been removed, the first call's own removal timer has fired.
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
	requireDrains(t, s)
}

// An answer exceeds the limit for kept answers, so a repeat of its key is refused. The refused
// replay must not become live again, which would delay a drain, and the bytes that were not
// kept must not count in the ledger, which would evict the answers of other calls.
func TestUnkeptAnswerIsNotCountedOrRetained(t *testing.T) {
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
	storedBytes := s.ledger.ResultBytes()
	s.mu.Unlock()
	require.Zero(t, storedBytes)
	requireDrains(t, s)
}

// Guards against a repetition that waits until its deadline for frames that its entry has acknowledged for
// an earlier request with the same key, whose caller has left.
func TestRepetitionGetsTheWholeAnswerWhateverWasAcknowledged(t *testing.T) {
	const frames = 3
	s := startPlain(t, strings.Repeat("x", frames*answerChunkBytes), 1<<20)
	e := dialEntry(t, "entry-1", s)
	for acknowledged := range uint64(frames + 2) {
		id := call.ID{byte(acknowledged + 1)}
		offer := offerOf(id, s, false)
		require.NoError(t, e.conn.Send(offer))
		e.await(t, "the end", func() bool { return e.answered(id) })
		require.NoError(t, e.conn.Send(&link.Ack{ID: id, Attempt: 1, Seq: acknowledged}))
		e.forget(id)
		require.NoError(t, e.conn.Send(offer))
		e.await(t, "the end of the repetition", func() bool { return e.answered(id) })
		_, refused := e.refusal(id)
		require.False(t, refused)
		require.Equal(t, []uint64{1, 2, 3}, e.frames[id], "%d acknowledged", acknowledged)
	}
}
