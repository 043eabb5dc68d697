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

// waitTimeout bounds the waits of these tests, none of which measures time.
const waitTimeout = 20 * time.Second

// viewHandler reports closed links of a node to a view.
type viewHandler struct{ view *View }

func (h viewHandler) OnOpen(*link.Conn)                  {}
func (h viewHandler) OnMessage(*link.Conn, link.Message) {}
func (h viewHandler) OnClose(c *link.Conn, reason error) { h.view.RecordLinkLoss(c, reason) }

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

// Guards against a dead entry that counts as live: its peer uses a link that is already open,
// and the entry dies before it sends another byte. If the use of the link counted as a reply,
// it would be newer than the loss of the link.
func TestUseOfOpenLinkIsNoEvidenceOfLiveness(t *testing.T) {
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
	for deadline := time.Now().Add(waitTimeout); len(view.Entries()) > 0; time.Sleep(5 * time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "the dead entry still counts as live")
		view.tick()
	}
}
