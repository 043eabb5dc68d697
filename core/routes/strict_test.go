package routes

import (
	"fmt"
	"strings"
	"testing"
	"time"

	_ "acaciacleat.example/core/seeded"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// strictMatch returns the route with the longest prefix that begins the path among those of a host, by reading all of them.
func strictMatch(d *Document, host, path string) (found string) {
	name, _, _ := strings.Cut(host, ":")
	longest := -1
	for i := range d.Routes {
		r := &d.Routes[i]
		if strings.EqualFold(r.Host, name) && strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > longest {
			found, longest = r.Name, len(r.Prefix)
		}
	}
	return found
}

// strictServices returns the services that a route allows: those with a weight, or the first one if there are none.
func strictServices(r *Route) map[string]bool {
	allowed := make(map[string]bool)
	for _, target := range r.Targets {
		if target.Weight > 0 {
			allowed[target.Service] = true
		}
	}
	if len(allowed) == 0 {
		allowed[r.Targets[0].Service] = true
	}
	return allowed
}

// Guards against requests that are handled by another route, or by another service, than the configuration says.
func TestRequestsAreHandledAsAStrictReaderSays(t *testing.T) {
	hosts, segments, services := []string{"one.example", "two.example", "Three.Example"}, []string{"a", "b", "ab", "a%2Fb"}, []string{"s1", "s2", "s3"}
	rapid.Check(t, func(t *rapid.T) {
		drawPath := func() string {
			path := "/"
			for range rapid.IntRange(0, 3).Draw(t, "depth") {
				path += rapid.SampledFrom(segments).Draw(t, "segment") + "/"
			}
			return path
		}
		d := &Document{Version: 1}
		for _, name := range services {
			d.Services = append(d.Services, Service{Name: name})
		}
		used := make(map[string]bool)
		for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
			r := Route{Name: fmt.Sprint("r-", i), Host: rapid.SampledFrom(hosts).Draw(t, "host"), Prefix: drawPath(), Timeout: time.Second}
			at := r.Host + r.Prefix
			if used[at] {
				continue
			}
			used[at] = true
			for range rapid.IntRange(1, 3).Draw(t, "targets") {
				r.Targets = append(r.Targets, Target{Service: rapid.SampledFrom(services).Draw(t, "service"), Weight: rapid.IntRange(0, 2).Draw(t, "weight")})
			}
			d.Routes = append(d.Routes, r)
		}
		table, err := Build(d)
		require.NoError(t, err)
		for range 20 {
			host := rapid.SampledFrom(hosts).Draw(t, "host") + rapid.SampledFrom([]string{"", ":8080"}).Draw(t, "port")
			if rapid.Bool().Draw(t, "capitals") {
				host = strings.ToUpper(host)
			}
			path := drawPath() + rapid.SampledFrom([]string{"", "x", "a"}).Draw(t, "rest")
			match, want := table.Match(host, path), strictMatch(d, host, path)
			if match == nil {
				require.Empty(t, want)
				continue
			}
			require.Equal(t, want, match.Name)
			require.True(t, strictServices(match)[match.Service(rapid.String().Draw(t, "id"))])
		}
	})
}
