package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a log line that shows a member's state as a number.
func TestStatesHaveNames(t *testing.T) {
	for state, name := range map[State]string{Live: "live", Suspect: "suspect", Leaving: "leaving", Dead: "dead", 9: "state 9"} {
		require.Equal(t, name, state.String())
	}
}
