package deadline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"acaciacleat.example/core/call"
	"acaciacleat.example/core/document"
	"acaciacleat.example/core/result"
)

func TestParse(t *testing.T) {
	bounds := For(&document.Service{Deadlines: []document.Deadline{{Class: "long", DefaultMs: 500, MaxMs: 2000}}}, call.Long)
	for value, want := range map[string]time.Duration{
		"": 500 * time.Millisecond, "1": time.Millisecond, "2000": 2 * time.Second,
		"0": 0, "-1": 0, "2001": 0, "1.5": 0, "1e3": 0, " 7": 0, "9223372036854775808": 0,
	} {
		got, err := Parse(value, bounds)
		require.Equal(t, want, got, value)
		if want == 0 {
			require.Equal(t, result.BadDeadline, err.Code)
			require.Equal(t, result.NotRun, err.Execution)
		}
	}
}

// Symptom: a caller without a header of its own gets 60 s where the service's document,
// as read back, says 30 s.
// Sequence: a document gives no deadlines; it is put without its defaults filled in.
// Cause: the defaults stand in two places with different values.
func TestDefaultsAreThoseOfTheDocument(t *testing.T) {
	for class := range call.NumClasses {
		filled := &document.Service{Kind: document.KindModel}
		document.SetDefaults(filled)
		require.Equal(t, For(filled, class), For(&document.Service{}, class), class)
	}
}

func TestHopsLeaveTime(t *testing.T) {
	for left := time.Duration(0); left < time.Hour; left = left*2 + time.Millisecond {
		forward := Forward(left)
		require.GreaterOrEqual(t, forward, time.Duration(0))
		require.LessOrEqual(t, forward, left)
		require.LessOrEqual(t, left-forward, maxReturn)
		require.LessOrEqual(t, OfferWait(left), maxOffer)
		require.GreaterOrEqual(t, OfferWait(left), minOffer)
	}
}
