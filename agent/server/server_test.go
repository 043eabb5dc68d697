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
	// patience bounds what a test waits for; only a fault makes it pass.
	patience = 20 * time.Second
)

// script is an engine of which the test says what it does.
type script struct {
	engine.Engine
	generate func(ctx context.Context, request engine.Generate) (engine.Stream, error)
}

func (s *script) Generate(ctx context.Context, request engine.Generate) (engine.Stream, error) {
	return s.generate(ctx, request)
}

func (s *script) Cancel(context.Context, call.ID) error { return nil }

// tokens is a stream of deltas that are there at once.
type tokens struct {
	deltas []engine.Delta
	err    error
}

func (s *tokens) Next() (engine.Delta, bool, error) {
	if len(s.deltas) == 0 {
		return engine.Delta{}, false, s.err
	}
	delta := s.deltas[0]
	s.deltas = s.deltas[1:]
	return delta, true, nil
}

func (s *tokens) Final() engine.Final { return engine.Final{FinishReason: "stop"} }
func (s *tokens) Close() error        { return nil }

func atOnce(context.Context, engine.Generate) (engine.Stream, error) {
	return &tokens{deltas: []engine.Delta{{Tokens: 1, Text: "a"}, {Tokens: 1, Text: "b"}}}, nil
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
		Engine:      &script{generate: atOnce},
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

// entry is a caller's side of links; it keeps the kinds of messages by call.
type entry struct {
	node *link.Node
	conn *link.Conn

	mu      sync.Mutex
	heard   map[call.ID][]link.Type
	refused map[call.ID]link.Refused
	ends    map[call.ID]link.End
	left    bool
	changed chan struct{}
}

func dialEntry(t *testing.T, vm string, s *Server) *entry {
	t.Helper()
	e := &entry{
		heard:   make(map[call.ID][]link.Type),
		refused: make(map[call.ID]link.Refused),
		ends:    make(map[call.ID]link.End),
		changed: make(chan struct{}, 1),
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
		e.heard[m.ID] = append(e.heard[m.ID], m.Type())
	case *link.Head:
		e.heard[m.ID] = append(e.heard[m.ID], m.Type())
	case *link.Chunk:
		e.heard[m.ID] = append(e.heard[m.ID], m.Type())
	case *link.End:
		e.heard[m.ID] = append(e.heard[m.ID], m.Type())
		e.ends[m.ID] = *m
	case *link.Refused:
		e.heard[m.ID] = append(e.heard[m.ID], m.Type())
		e.refused[m.ID] = *m
	case *link.Leaving:
		e.left = true
		_ = c.Send(&link.Left{})
	}
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// await waits until what it asks for is there.
func (e *entry) await(t *testing.T, what string, there func() bool) {
	t.Helper()
	limit := time.After(patience)
	for {
		e.mu.Lock()
		ok := there()
		e.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-e.changed:
		case <-limit:
			require.FailNow(t, "it did not come: "+what)
		}
	}
}

// kinds returns what came for a call, in order.
func (e *entry) kinds(id call.ID) []link.Type {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.heard[id])
}

// end returns the end that came for a call.
func (e *entry) end(id call.ID) link.End {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ends[id]
}

// refusal returns the refusal that came for a call, and whether there was one.
func (e *entry) refusal(id call.ID) (link.Refused, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	refused, found := e.refused[id]
	return refused, found
}

// answered tells whether a call has ended or was refused. It is for await, which holds mu.
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

// awaitDrained waits until no call is in hand.
func awaitDrained(t *testing.T, s *Server) {
	t.Helper()
	s.Leave()
	select {
	case <-s.Drained():
	case <-time.After(patience):
		require.FailNow(t, "calls stayed in hand", "%d", len(s.calls()))
	}
}
