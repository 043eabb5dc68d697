package soak

import (
	"testing"

	"acaciacleat.example/platform/standin"
	"github.com/stretchr/testify/require"
)

// Guards against versions that no longer change what they are there to change, or that take a steady key or route away.
func TestVersionsChangeWhatTheyAllow(t *testing.T) {
	history := newAccessHistory(5)
	keys := history.keys
	var versions []writtenVersion
	for number := range 200 {
		versions = append(versions, writtenVersion{number: number, access: *history.next(number)})
	}
	varies := func(r accessRequest) bool {
		n, _ := objections(versions, r)
		return n > 0 && n < len(versions)
	}
	always := func(r accessRequest) bool { n, _ := objections(versions, r); return n == 0 }
	for _, key := range append(keys.steady, keys.roaming...) {
		require.True(t, always(accessRequest{host: accessHosts[0], path: "/always/x", key: key, bodyBytes: minBodyBytes, headBytes: minHeadBytes}), key)
	}
	for _, key := range keys.changing {
		require.True(t, varies(accessRequest{host: accessHosts[0], path: "/always/x", key: key}), key)
	}
	steady := keys.steady[0]
	require.True(t, always(accessRequest{host: openHost, path: openPrefix}))
	require.True(t, varies(accessRequest{host: accessHosts[0], path: gatePrefix}))
	require.True(t, always(accessRequest{host: accessHosts[0], path: gatePrefix, key: steady}))
	for _, host := range accessHosts {
		require.True(t, varies(accessRequest{host: host, path: movingPrefix, key: steady}))
		for _, prefix := range fleetingPrefixes {
			require.True(t, varies(accessRequest{host: host, path: prefix, key: steady}))
		}
	}
	for _, prefix := range specificPrefixes {
		require.True(t, varies(accessRequest{host: accessHosts[0], path: prefix}), "anonymous at times")
	}
	require.True(t, varies(accessRequest{host: accessHosts[0], path: steadyPrefix, key: steady, bodyBytes: minBodyBytes + 1}))
	require.True(t, varies(accessRequest{host: accessHosts[0], path: steadyPrefix, key: steady, headBytes: minHeadBytes + 1}))
	emptied := false
	for _, v := range versions {
		for _, o := range v.access.Organisations {
			emptied = emptied || len(o.Keys) == 0
		}
	}
	require.True(t, emptied, "some organisation has no key")
}

// Guards against a written configuration that differs from what was drawn.
func TestWhatIsWrittenIsWhatWasDrawn(t *testing.T) {
	deployment, err := standin.Start("127.0.0.1:0", 0, 1)
	require.NoError(t, err)
	t.Cleanup(deployment.Stop)
	drawn := newAccessHistory(7).next(2)
	deployment.Access = drawn
	text, err := deployment.Configure(2, 3)
	require.NoError(t, err)
	row, _ := deployment.Store.Get("op", "config")
	require.Equal(t, text, row.Value)
	read, err := standin.ReadAccess(text)
	require.NoError(t, err)
	require.Equal(t, drawn.Routes, read.Routes[len(read.Routes)-len(drawn.Routes):])
	for i, o := range drawn.Organisations {
		require.Equal(t, o.Name, read.Organisations[i+1].Name, "after the deployment's own")
		require.ElementsMatch(t, o.Keys, read.Organisations[i+1].Keys)
	}
	require.Equal(t, drawn.HeadBytes, read.HeadBytes)
	require.Equal(t, drawn.BodyBytes, read.BodyBytes)
}
