package routes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// table builds a table of routes by host and prefix to one service, and of one organisation's keys.
func table(t *testing.T, routes []Route, keys ...string) *Table {
	t.Helper()
	for i := range routes {
		routes[i].Targets = []Target{{Service: "s"}}
	}
	built, err := Build(&Document{Version: 1, Routes: routes, Services: []Service{{Name: "s"}}, Organisations: []Organisation{{Name: "o", Keys: keys}}})
	require.NoError(t, err)
	return built
}

// Guards against lines that don't tell which version has removed a route or a key.
func TestChangesNameEachRouteAndKey(t *testing.T) {
	before := table(t, []Route{{Host: "One.example", Prefix: "/a/"}, {Host: "one.example", Prefix: "/b/"}, {Host: "one.example", Prefix: "/c/"}}, "k1", "k2")
	now := table(t, []Route{{Host: "one.example:80", Prefix: "/a/"}, {Host: "one.example", Prefix: "/b/", Anonymous: true}, {Host: "two.example", Prefix: "/c/"}}, "k2", "k3")
	changes := now.ChangesSince(before)
	require.Equal(t, Changes{
		RoutesAdded: []string{"one.example/b/ anonymous", "two.example/c/"}, RoutesRemoved: []string{"one.example/b/", "one.example/c/"},
		KeysAdded: []string{KeyDigest("k3")}, KeysRemoved: []string{KeyDigest("k1")},
	}, changes)
	require.True(t, changes.RemovesKey("k1"))
	require.False(t, changes.RemovesKey("k2"))
	require.True(t, changes.RemovesRoute(before.Match("one.example", "/c/x")))
	require.False(t, changes.RemovesRoute(before.Match("one.example", "/a/x")))
	require.Equal(t, Changes{}, now.ChangesSince(now))
	require.Len(t, now.ChangesSince(nil).RoutesAdded, 3)
	require.Len(t, now.ChangesSince(nil).KeysAdded, 2)
}
