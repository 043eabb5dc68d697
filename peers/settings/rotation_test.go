package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

type ignoreHandler struct{}

func (ignoreHandler) OnOpen(*link.Conn)                  {}
func (ignoreHandler) OnMessage(*link.Conn, link.Message) {}
func (ignoreHandler) OnClose(*link.Conn, error)          {}

func startNode(t *testing.T, vm string, keys *link.Keys) *link.Node {
	t.Helper()
	node, err := link.Start(link.Config{Listen: "127.0.0.1:0", Self: link.Identity{VM: vm}, Keys: keys, Handler: ignoreHandler{}})
	require.NoError(t, err)
	t.Cleanup(node.Close)
	return node
}

// Guards against rejected links after the replacement of a key file: a check that reads a
// partly written file must keep the previous key, and the next check must load the complete
// file.
func TestHalfWrittenKeyKeepsPreviousKey(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	old, next := strings.Repeat("old ", 10), strings.Repeat("next ", 10)
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(old)
	keys, files, err := Link{CurrentKey: Secret{File: file}}.WatchedKeys()
	require.NoError(t, err)
	acceptor := startNode(t, "a", keys)
	dial := func(vm, key string) error {
		node := startNode(t, vm, link.NewKeys([]byte(strings.TrimSpace(key)), nil))
		_, err := node.Dial(t.Context(), "a", acceptor.Addr())
		return err
	}
	write(next[:10])
	_, err = files.Check()
	require.ErrorContains(t, err, file)
	require.NoError(t, dial("b", old))

	write(next)
	changed, err := files.Check()
	require.NoError(t, err)
	require.True(t, changed)
	require.NoError(t, dial("c", next))
	require.Error(t, dial("d", old))
}
