package config

import (
	"context"
	"strings"
	"testing"
	"time"

	"acaciacleat.example/core/document"
	"acaciacleat.example/core/spread"
	"acaciacleat.example/peers/documents"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/table"
	"acaciacleat.example/standin/platform"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// splitState returns an answer that carries data in parts of one byte each.
func splitState(nonce uint64, data string) []*link.ConfigAnswer {
	var parts []*link.ConfigAnswer
	for i := range len(data) {
		parts = append(parts, &link.ConfigAnswer{Nonce: nonce, Part: i, Parts: len(data), Changes: []byte(data[i : i+1])})
	}
	return parts
}

func newManager(vm string) *Manager {
	return New(Config{Self: spread.Member{ID: spread.NodeID(vm), Zone: "z"}, Log: zerolog.Nop()})
}

// Two answers whose parts arrive interleaved must not reset each other's assembly.
func TestPartsOfAnEarlierAnswerDoNotResetALaterOne(t *testing.T) {
	m := newManager("a")
	earlier, later := splitState(4, "old"), splitState(5, "new")
	require.Nil(t, m.assemble(earlier[0]))
	for i := range 2 {
		require.Nil(t, m.assemble(later[i]))
		require.Nil(t, m.assemble(earlier[i+1]))
	}
	require.Equal(t, "new", string(m.assemble(later[2])))
}

// slowPeer answers a request for the full state in parts, with a pause before each.
type slowPeer struct {
	parts int
	pause time.Duration
}

func (slowPeer) OnOpen(*link.Conn)         {}
func (slowPeer) OnClose(*link.Conn, error) {}
func (s slowPeer) OnMessage(c *link.Conn, message link.Message) {
	request, ok := message.(*link.ConfigRequest)
	if !ok {
		return
	}
	go func() {
		for i := range s.parts {
			time.Sleep(s.pause)
			_ = c.Send(&link.ConfigAnswer{Nonce: request.Nonce, Part: i, Parts: s.parts, Changes: []byte("x")})
		}
	}()
}

// messageHandler passes all messages to a Manager.
type messageHandler struct{ *Manager }

func (messageHandler) OnOpen(*link.Conn)         {}
func (messageHandler) OnClose(*link.Conn, error) {}
func (m messageHandler) OnMessage(c *link.Conn, message link.Message) {
	m.Manager.OnMessage(c, message)
}

// A start must be able to receive a large state over a slow link: it gives up only if no part
// arrives within pollTimeout.
func TestStartWaitsWhilePartsKeepArriving(t *testing.T) {
	m := newManager("a")
	keys := link.NewKeys([]byte("key"), nil)
	dial := func(peer slowPeer) *link.Conn {
		nodes := []link.Config{
			{Self: link.Identity{VM: "a"}, Handler: messageHandler{m}}, {Self: link.Identity{VM: "b"}, Handler: peer},
		}
		var started []*link.Node
		for _, config := range nodes {
			config.Listen, config.Keys = "127.0.0.1:0", keys
			node, err := link.Start(config)
			require.NoError(t, err)
			t.Cleanup(node.Close)
			started = append(started, node)
		}
		c, err := started[0].Dial(t.Context(), "b", started[1].Addr())
		require.NoError(t, err)
		return c
	}
	data, err := m.requestState(t.Context(), dial(slowPeer{parts: 8, pause: pollTimeout / 6}))
	require.NoError(t, err)
	require.Equal(t, "xxxxxxxx", string(data))
	began := time.Now()
	_, err = m.requestState(t.Context(), dial(slowPeer{}))
	require.Error(t, err)
	require.Less(t, time.Since(began), 2*pollTimeout, "a peer that sends nothing is given up")
}

// compactedTable is a table that answers each scan with a delay and has no log of changes.
type compactedTable struct {
	table.Store
	delay time.Duration
}

func (c compactedTable) Scan(ctx context.Context, name, prefix, after string, limit int, consistency table.Consistency) ([]table.Row, error) {
	if strings.HasPrefix(prefix, "change") {
		return nil, nil
	}
	select {
	case <-time.After(c.delay):
		return c.Store.Scan(ctx, name, prefix, after, limit, consistency)
	case <-ctx.Done():
		return nil, table.ErrUnavailable
	}
}

// An entry must be able to load documents that take longer to read than pollTimeout.
func TestLoadOfAllDocumentsIsNotCutOff(t *testing.T) {
	platform := platform.New(1)
	config := documents.Config{Table: platform.Table, Objects: platform.Objects, Token: documents.NewToken, Now: time.Now}
	service := &document.Service{Name: "parts", Kind: document.KindPlain}
	document.SetDefaults(service)
	_, _, err := documents.New(config).Put(t.Context(), service, documents.IfAbsent)
	require.NoError(t, err)
	m := newManager("a")
	m.config.Apply = func(*documents.State) {}
	config.Table = compactedTable{config.Table, pollTimeout * 2 / 5}
	m.config.Store = documents.New(config)
	m.activateInitialState(documents.StartResult{State: documents.Empty()})
	m.poll(t.Context(), spread.PollTable{})
	require.EqualValues(t, 1, m.State().Revision())
}
