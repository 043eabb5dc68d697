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
	bounds := BoundsFor(&document.Service{Deadlines: []document.Deadline{{Class: "long", DefaultMs: 500, MaxMs: 2000}}}, call.Long)
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

// TestDefaultsAreThoseOfTheDocument checks a document without deadlines before and after
// its defaults are filled in. If the defaults were defined in two places, a caller without
// a header could get 60 s where the document, as read back, has 30 s.
func TestDefaultsAreThoseOfTheDocument(t *testing.T) {
	for class := range call.NumClasses {
		filled := &document.Service{Kind: document.KindModel}
		document.SetDefaults(filled)
		require.Equal(t, BoundsFor(filled, class), BoundsFor(&document.Service{}, class), class)
	}
}

func TestForwardAndOfferWaitBounds(t *testing.T) {
	for left := time.Duration(0); left < time.Hour; left = left*2 + time.Millisecond {
		forward := Forward(left)
		require.GreaterOrEqual(t, forward, time.Duration(0))
		require.LessOrEqual(t, forward, left)
		require.LessOrEqual(t, left-forward, maxReturnTime)
		require.LessOrEqual(t, OfferWait(left), maxOfferWait)
		require.GreaterOrEqual(t, OfferWait(left), minOfferWait)
	}
}
