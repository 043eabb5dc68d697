package routes

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func requireTable(t *testing.T, d *Document) *Table {
	t.Helper()
	table, err := Build(d)
	require.NoError(t, err)
	return table
}

func newRoute(name, host, prefix string, targets ...Target) Route {
	if len(targets) == 0 {
		targets = []Target{{Service: "a", Weight: 1}}
	}
	return Route{Name: name, Host: host, Prefix: prefix, Targets: targets, Timeout: time.Second}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	table := requireTable(t, &Document{
		Version:  1,
		Services: []Service{{Name: "a"}},
		Routes: []Route{
			newRoute("outer", "One.example", "/x/"),
			newRoute("inner", "one.example", "/x/y/"),
			newRoute("other", "two.example", "/x/y/z/"),
		},
	})
	cases := []struct{ host, path, want string }{
		{"one.example", "/x/", "outer"},
		{"one.example", "/x/y/", "inner"},
		{"ONE.example:8080", "/x/y/z/w", "inner"},
		{"two.example", "/x/y/z/w", "other"},
		{"one.example", "/x", ""},
		{"one.example", "/xy/", ""},
		{"three.example", "/x/", ""},
		{"", "", ""},
	}
	for _, c := range cases {
		got := ""
		if match := table.Match(c.host, c.path); match != nil {
			got = match.Name
		}
		require.Equal(t, c.want, got, "%s%s", c.host, c.path)
	}
}

func TestServiceSplitIsWeightedAndStable(t *testing.T) {
	r := newRoute("r", "h", "/", Target{"a", 90}, Target{"b", 10}, Target{"c", 0})
	counts := map[string]int{}
	for i := range 10_000 {
		id := fmt.Sprint("request-", i)
		service := r.Service(id)
		require.Equal(t, service, r.Service(id))
		counts[service]++
	}
	require.InDelta(t, 9000, counts["a"], 300)
	require.InDelta(t, 1000, counts["b"], 300)
	require.Zero(t, counts["c"])
}

func TestRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: Idempotent}).Repeatable())
	require.False(t, (&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
	require.False(t, (&Route{Kind: Streaming}).Repeatable())
	require.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}

// A key must identify its organisation, and callers need keys only if the document has organisations.
func TestCallers(t *testing.T) {
	table := requireTable(t, &Document{Version: 1, Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}}}})
	require.True(t, table.RequiresKeys())
	require.Equal(t, "o", table.OrganisationOf("k2").Name)
	require.Nil(t, table.OrganisationOf(""))
	require.False(t, requireTable(t, &Document{Version: 2}).RequiresKeys())
}

// Guards against an empty key in the document, which all requests without a key would have.
func TestEmptyKeyIsNone(t *testing.T) {
	table := requireTable(t, &Document{Version: 1, Organisations: []Organisation{{Name: "o", Keys: []string{"", "k"}}}})
	require.Nil(t, table.OrganisationOf(""))
	require.Equal(t, "o", table.OrganisationOf("k").Name)
}

// Guards against services that are open to everybody because no organisation has a key any more.
func TestKeysStayRequiredWithoutAny(t *testing.T) {
	require.True(t, requireTable(t, &Document{Version: 1, Organisations: []Organisation{{Name: "o"}}}).RequiresKeys())
	require.True(t, requireTable(t, &Document{Version: 1, RequiresKeys: true}).RequiresKeys())
}
