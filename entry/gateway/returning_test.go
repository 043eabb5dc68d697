package gateway

import (
	"testing"
	"time"

	"acaciacleat.example/core/fingerprint"
	"github.com/stretchr/testify/require"
)

// Guards against serving callers who return, and are late for good, before those who can be in time.
func TestReturningRequestIsRecognised(t *testing.T) {
	var r returning
	now := time.Unix(1_700_000_000, 0)
	print := fingerprint.Of(fingerprint.Request{Path: "/ask", Caller: "a"})
	unneeded := func() fingerprint.Print {
		t.Fatal("nothing is remembered, so the content needn't be read")
		return print
	}
	_, ok := r.returned(now, unneeded)
	require.False(t, ok)
	r.refused(now, print, now.Add(-time.Second), time.Second)
	_, ok = r.returned(now.Add(time.Second), func() fingerprint.Print { return fingerprint.Of(fingerprint.Request{Path: "/ask", Caller: "b"}) })
	require.False(t, ok, "another caller")
	first, ok := r.returned(now.Add(900*time.Millisecond), func() fingerprint.Print { return print })
	require.True(t, ok)
	require.Equal(t, now.Add(-time.Second), first)
}
