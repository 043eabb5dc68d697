package server

import (
	"fmt"
	"testing"

	"acaciacleat.example/core/call"
	"acaciacleat.example/peers/link"
	"github.com/stretchr/testify/require"
)

// Symptom: a call is refused as first_run_lost, or its answer comes before the word that
// it was accepted, although it runs.
// Sequence: several entries offer calls at once to an engine that answers at once.
// Cause: the pump of one request starts another's call before that one's entry is
// attached to it, and the first frame finds nobody.
func TestCallsOfManyEntriesAreAcceptedBeforeTheirAnswer(t *testing.T) {
	const entries, each = 8, 64
	s := startServer(t, nil)
	var all []*entry
	for i := range entries {
		all = append(all, dialEntry(t, fmt.Sprint("entry-", i), s))
	}
	for n := range each {
		for i, e := range all {
			require.NoError(t, e.conn.Send(offerOf(call.ID{byte(i + 1), byte(n + 1)}, s, true)))
		}
	}
	for i, e := range all {
		for n := range each {
			id := call.ID{byte(i + 1), byte(n + 1)}
			e.await(t, "the end", func() bool { return e.answered(id) })
			want := []link.Type{(&link.Accepted{}).Type(), (&link.Chunk{}).Type(), (&link.Chunk{}).Type(), (&link.End{}).Type()}
			require.Equal(t, want, e.heard[id], "%v", e.refused[id])
		}
	}
}
