package server

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/scheduling"
	"acaciacleat.example/peers/engine"
	"acaciacleat.example/peers/link"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	testService = "assistant"
	testModel   = "assistant-1"
	// testTimeout bounds the waits of a test. Only a failing test reaches it.
	testTimeout = 20 * time.Second
)

// scriptedEngine is an engine whose Generate is defined by the test.
type scriptedEngine struct {
	engine.Engine
	generate func(ctx context.Context, request engine.Generate) (engine.Stream, error)
}

func (s *scriptedEngine) Generate(ctx context.Context, request engine.Generate) (engine.Stream, error) {
	return s.generate(ctx, request)
}

func (s *scriptedEngine) Cancel(context.Context, call.ID) error { return nil }

// tokenStream is a stream whose deltas are available at once. After them it ends or fails
// with err.
type tokenStream struct {
	deltas []engine.Delta
	err    error
}

func (s *tokenStream) Next() (engine.Delta, bool, error) {
	if len(s.deltas) == 0 {
		return engine.Delta{}, false, s.err
	}
	delta := s.deltas[0]
	s.deltas = s.deltas[1:]
	return delta, true, nil
}

func (s *tokenStream) Final() engine.Final { return engine.Final{FinishReason: "stop"} }
func (s *tokenStream) Close() error        { return nil }

func immediateAnswer(context.Context, engine.Generate) (engine.Stream, error) {
	return &tokenStream{deltas: []engine.Delta{{Tokens: 1, Text: "a"}, {Tokens: 1, Text: "b"}}}, nil
}

func startServer(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	config := Config{
		VM:          "agent",
		Zone:        "zone-a",
		Service:     testService,
		Model:       testModel,
		Listen:      "127.0.0.1:0",
		Keys:        testKeys(),
		Engine:      &scriptedEngine{generate: immediateAnswer},
		Queue:       scheduling.NewFIFO(DefaultLimits.Queue),
		Incarnation: 9,
		Log:         zerolog.Nop(),
	}
	if change != nil {
		change(&config)
	}
	s, err := Start(config)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func testKeys() *link.Keys { return link.NewKeys([]byte("k"), nil) }

// entry is an entry's end of a link. It records the received messages by call.
type entry struct {
	node *link.Node
	conn *link.Conn

	mu              sync.Mutex
	received        map[call.ID][]link.Type
	frames          map[call.ID][]uint64
	refused         map[call.ID]link.Refused
	ends            map[call.ID]link.End
	leavingReceived bool
	changed         chan struct{}
}

func dialEntry(t *testing.T, vm string, s *Server) *entry {
	t.Helper()
	e := &entry{
		received: make(map[call.ID][]link.Type),
		frames:   make(map[call.ID][]uint64),
		refused:  make(map[call.ID]link.Refused),
		ends:     make(map[call.ID]link.End),
		changed:  make(chan struct{}, 1),
	}
	node, err := link.Start(link.Config{
		Listen:  "127.0.0.1:0",
		Self:    link.Identity{VM: vm, Role: "entry", Incarnation: 5},
		Keys:    testKeys(),
		Handler: e,
	})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	e.node = node
	e.conn, err = node.Dial(t.Context(), s.config.VM, s.Addr())
	require.NoError(t, err)
	return e
}

func (e *entry) OnOpen(*link.Conn)         {}
func (e *entry) OnClose(*link.Conn, error) {}

func (e *entry) OnMessage(c *link.Conn, message link.Message) {
	e.mu.Lock()
	switch m := message.(type) {
	case *link.Accepted:
		e.received[m.ID] = append(e.received[m.ID], m.Type())
	case *link.Head:
		e.received[m.ID] = append(e.received[m.ID], m.Type())
	case *link.Chunk:
		e.received[m.ID] = append(e.received[m.ID], m.Type())
		e.frames[m.ID] = append(e.frames[m.ID], m.Seq)
	case *link.End:
		e.received[m.ID] = append(e.received[m.ID], m.Type())
		e.ends[m.ID] = *m
	case *link.Refused:
		e.received[m.ID] = append(e.received[m.ID], m.Type())
		e.refused[m.ID] = *m
	case *link.Leaving:
		e.leavingReceived = true
		_ = c.Send(&link.Left{})
	}
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// await waits until the condition holds. It evaluates the condition with mu held.
func (e *entry) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.After(testTimeout)
	for {
		e.mu.Lock()
		ok := condition()
		e.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-e.changed:
		case <-limit:
			require.FailNow(t, "timed out waiting for "+what)
		}
	}
}

// receivedTypes returns the types of the messages received for a call, in order.
func (e *entry) receivedTypes(id call.ID) []link.Type {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.received[id])
}

// end returns the End message received for a call.
func (e *entry) end(id call.ID) link.End {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ends[id]
}

// refusal returns the refusal received for a call, and whether there was one.
func (e *entry) refusal(id call.ID) (link.Refused, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused, found := e.refused[id]
	return refused, found
}

// forget drops what was received for a call.
func (e *entry) forget(id call.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.received, id)
	delete(e.frames, id)
	delete(e.refused, id)
	delete(e.ends, id)
}

// answered reports whether a call has ended or was refused. It is called with mu held, in
// conditions for await.
func (e *entry) answered(id call.ID) bool {
	_, refused := e.refused[id]
	_, ended := e.ends[id]
	return refused || ended
}

func offerOf(id call.ID, s *Server, repeatable bool) *link.Offer {
	return &link.Offer{
		ID:           id,
		Attempt:      1,
		BoundTo:      s.config.Incarnation,
		Stamp:        s.Stamp(),
		Repeatable:   repeatable,
		Service:      testService,
		PromptTokens: 10,
		MaxTokens:    10,
		TimeLeftMs:   time.Minute.Milliseconds(),
	}
}

// requireDrains makes the agent leave and waits until no call is in flight.
func requireDrains(t *testing.T, s *Server) {
	t.Helper()
	s.Leave()
	select {
	case <-s.Drained():
	case <-time.After(testTimeout):
		require.FailNow(t, "calls are still in flight", "%d", len(s.calls()))
	}
}
