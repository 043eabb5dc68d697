package gateway

import (
	"bytes"
	"net/http/httptest"
	"testing"

	"acaciacleat.example/core/result"
	"acaciacleat.example/core/routes"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// version is a routing table with one route; an empty prefix stands for "/a/".
type version struct {
	number    uint64
	prefix    string
	anonymous bool
	keys      []string
	bodyBytes int64
}

func (v version) build(t *testing.T) *routes.Table {
	t.Helper()
	if v.prefix == "" {
		v.prefix = "/a/"
	}
	table, err := routes.Build(&routes.Document{
		Version: v.number, Services: []routes.Service{{Name: "s"}}, RequiresKeys: true, Limits: routes.Limits{BodyBytes: v.bodyBytes},
		Routes:        []routes.Route{{Name: "r", Host: "h", Prefix: v.prefix, Anonymous: v.anonymous, Targets: []routes.Target{{Service: "s"}}}},
		Organisations: []routes.Organisation{{Name: "o", Keys: v.keys}},
	})
	require.NoError(t, err)
	return table
}

// supersededDirectory is a directory with the table before the one in force.
type supersededDirectory struct {
	Directory
	last *routes.Superseded
}

func (d supersededDirectory) Superseded() *routes.Superseded { return d.last }
func (d supersededDirectory) Newest() uint64                 { return 3 }

// Guards against refusals whose lines don't tell whether the version before allowed the request, and whether that is explained.
func TestRefusalsTellWhatTheVersionBeforeAllowed(t *testing.T) {
	key := []string{"k"}
	for name, c := range map[string]struct {
		before, now version
		code        result.Code
		// known is false if the changes between the two are lost.
		known bool
		want  verdict
	}{
		"route that never was":    {version{prefix: "/b/", keys: key}, version{prefix: "/c/", keys: key}, result.NotFound, true, verdictRefused},
		"route removed":           {version{keys: key}, version{prefix: "/c/", keys: key}, result.NotFound, true, verdictRemoved},
		"route just lacking":      {version{keys: key}, version{prefix: "/c/", keys: key}, result.NotFound, false, verdictUnexplained},
		"key that never was":      {version{}, version{}, result.BadKey, true, verdictRefused},
		"key removed":             {version{keys: key}, version{}, result.BadKey, true, verdictRemoved},
		"key just lacking":        {version{keys: key}, version{}, result.BadKey, false, verdictUnexplained},
		"route not open any more": {version{anonymous: true}, version{}, result.BadKey, true, verdictRemoved},
		"body too large before":   {version{keys: key, bodyBytes: 5}, version{keys: key, bodyBytes: 5}, result.BodyTooLarge, true, verdictRefused},
		"lower limit":             {version{keys: key, bodyBytes: 9}, version{keys: key, bodyBytes: 5}, result.BodyTooLarge, true, verdictRemoved},
	} {
		t.Run(name, func(t *testing.T) {
			c.before.number, c.now.number = 1, 2
			before, now := c.before.build(t), c.now.build(t)
			last := &routes.Superseded{Table: before, By: 2}
			if c.known {
				last.Changes = now.ChangesSince(before)
			}
			var log bytes.Buffer
			metrics := NewMetrics()
			g := New(Config{Directory: supersededDirectory{last: last}, Metrics: metrics, MaxBodyBytes: 100, Log: zerolog.New(&log)})
			r := httptest.NewRequest("POST", "/a/x?secret=1", nil)
			r.Host = "h"
			e := &exchange{g: g, r: r, target: originForm(r), meta: RequestMeta{ID: "1", Key: "k"}, route: now.Match("h", "/a/x")}
			e.refusal = e.explainRefusal(now, c.code)
			require.Equal(t, c.want, e.refusal.before)
			e.logEnd(newError(c.code, result.NotRun, ""))
			line := log.String()
			require.Contains(t, line, `"host":"h","path":"/a/x","judged_by":2,"newest":3,"version_before":1,"before":"`+string(c.want)+`","key":"`+routes.KeyDigest("k")+`"`)
			require.NotContains(t, line, "secret")
			if c.code == result.BodyTooLarge {
				require.Contains(t, line, `"limit":5`)
			}
			answer := httptest.NewRecorder()
			metrics.Handler().ServeHTTP(answer, httptest.NewRequest("GET", "/metrics", nil))
			require.Contains(t, answer.Body.String(), `acaciacleat_requests_not_allowed_total{before="`+string(c.want)+`",result="`+result.Lookup(c.code).Name+`"} 1`)
		})
	}
}

// Guards against a verdict by a table that isn't the one right before.
func TestVerdictNeedsTheVersionRightBefore(t *testing.T) {
	now := version{number: 4}.build(t)
	g := New(Config{Directory: supersededDirectory{last: &routes.Superseded{Table: version{number: 1}.build(t), By: 2}}, Metrics: NewMetrics()})
	e := &exchange{g: g, r: httptest.NewRequest("GET", "/a/x", nil)}
	require.Equal(t, verdictUnknown, e.explainRefusal(now, result.NotFound).before)
}
