package fleet

import (
	"testing"
	"time"

	"acaciacleat.example/core/routing"
	"acaciacleat.example/peers/link"
	"acaciacleat.example/peers/vmlist"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// settle bounds the waits of these tests; none of them measures time.
const settle = 20 * time.Second

// viewHandler hands a node's links to a view.
type viewHandler struct{ view *View }

func (h viewHandler) OnOpen(*link.Conn)                  {}
func (h viewHandler) OnMessage(*link.Conn, link.Message) {}
func (h viewHandler) OnClose(c *link.Conn, reason error) { h.view.Lost(c, reason) }

func startNode(t *testing.T, vm string, handler link.Handler) *link.Node {
	node, err := link.Start(link.Config{
		Listen:  "127.0.0.1:0",
		Self:    link.Identity{VM: vm, Role: "entry", Incarnation: 1},
		Keys:    link.NewKeys([]byte("secret"), nil),
		Handler: handler,
	})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	return node
}

// Symptom: an entry that died goes on being counted as live by another.
// Sequence: the other uses a link to it that was open already, and the entry dies before
// it sends another byte. Cause: using the link counted as a reply, newer than the silence.
func TestUseOfAnOpenLinkIsNoSignOfLife(t *testing.T) {
	view := New("entry-0", func(string) routing.Policy { return &routing.Naive{} }, zerolog.Nop())
	node := startNode(t, "entry-0", viewHandler{view})
	view.SetDialer(node)
	peer := startNode(t, "entry-1", viewHandler{view})
	view.SetVMs([]vmlist.VM{{ID: "entry-1", Role: vmlist.RoleEntry, Link: peer.Addr()}})
	for range 2 {
		_, err := view.Connect(t.Context(), "entry-1", peer.Addr())
		require.NoError(t, err)
	}
	peer.Close()
	for deadline := time.Now().Add(settle); len(view.Entries()) > 0; time.Sleep(5 * time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "the dead entry counts as live")
		view.tick()
	}
}
