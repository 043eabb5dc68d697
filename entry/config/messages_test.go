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

// whole cuts data into parts of a byte each.
func whole(nonce uint64, data string) []*link.ConfigAnswer {
	var parts []*link.ConfigAnswer
	for i := range len(data) {
		parts = append(parts, &link.ConfigAnswer{Nonce: nonce, Part: i, Parts: len(data), Changes: []byte(data[i : i+1])})
	}
	return parts
}

func newManager(vm string) *Manager {
	return New(Config{Self: spread.Member{ID: spread.NodeID(vm), Zone: "z"}, Log: zerolog.Nop()})
}

// Guards against two answers that arrive at the same time undoing each other, part by part.
func TestPartsOfAnEarlierAnswerDoNotUndoALaterOne(t *testing.T) {
	m := newManager("a")
	earlier, later := whole(4, "old"), whole(5, "new")
	require.Nil(t, m.assemble(earlier[0]))
	for i := range 2 {
		require.Nil(t, m.assemble(later[i]))
		require.Nil(t, m.assemble(earlier[i+1]))
	}
	require.Equal(t, "new", string(m.assemble(later[2])))
}

// slow answers a question for the whole state in parts with a pause between them.
type slow struct {
	parts int
	pause time.Duration
}

func (slow) OnOpen(*link.Conn)         {}
func (slow) OnClose(*link.Conn, error) {}
func (s slow) OnMessage(c *link.Conn, message link.Message) {
	ask, ok := message.(*link.ConfigRequest)
	if !ok {
		return
	}
	go func() {
		for i := range s.parts {
			time.Sleep(s.pause)
			_ = c.Send(&link.ConfigAnswer{Nonce: ask.Nonce, Part: i, Parts: s.parts, Changes: []byte("x")})
		}
	}()
}

// taker hands all messages to a Manager.
type taker struct{ *Manager }

func (taker) OnOpen(*link.Conn)                              {}
func (taker) OnClose(*link.Conn, error)                      {}
func (m taker) OnMessage(c *link.Conn, message link.Message) { m.Manager.OnMessage(c, message) }

// Guards against a start that never gets a large state over a narrow link.
func TestStartWaitsForAStateThatGoesOnComing(t *testing.T) {
	m := newManager("a")
	keys := link.NewKeys([]byte("key"), nil)
	dial := func(peer slow) *link.Conn {
		nodes := []link.Config{
			{Self: link.Identity{VM: "a"}, Handler: taker{m}}, {Self: link.Identity{VM: "b"}, Handler: peer},
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
	data, err := m.askWhole(t.Context(), dial(slow{parts: 8, pause: pollTimeout / 6}))
	require.NoError(t, err)
	require.Equal(t, "xxxxxxxx", string(data))
	began := time.Now()
	_, err = m.askWhole(t.Context(), dial(slow{}))
	require.Error(t, err)
	require.Less(t, time.Since(began), 2*pollTimeout, "one that says nothing is given up")
}

// compacted is a table that answers each scan late and has no log of changes.
type compacted struct {
	table.Store
	late time.Duration
}

func (c compacted) Scan(ctx context.Context, name, prefix, after string, limit int, consistency table.Consistency) ([]table.Row, error) {
	if strings.HasPrefix(prefix, "change") {
		return nil, nil
	}
	select {
	case <-time.After(c.late):
		return c.Store.Scan(ctx, name, prefix, after, limit, consistency)
	case <-ctx.Done():
		return nil, table.ErrUnavailable
	}
}

// Guards against an entry that never loads documents which take longer than the pause between two polls.
func TestLoadOfAllDocumentsIsNotCutOff(t *testing.T) {
	platform := platform.New(1)
	config := documents.Config{Table: platform.Table, Objects: platform.Objects, Token: documents.NewToken, Now: time.Now}
	service := &document.Service{Name: "parts", Kind: document.KindPlain}
	document.SetDefaults(service)
	_, _, err := documents.New(config).Put(t.Context(), service, documents.IfAbsent)
	require.NoError(t, err)
	m := newManager("a")
	m.config.Apply = func(*documents.State) {}
	config.Table = compacted{config.Table, pollTimeout * 2 / 5}
	m.config.Store = documents.New(config)
	m.begin(documents.StartResult{State: documents.Empty()})
	m.poll(t.Context(), spread.PollTable{})
	require.EqualValues(t, 1, m.State().Revision())
}
