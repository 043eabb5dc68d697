package result

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCodesAscendWithoutRepeats(t *testing.T) {
	for i := 1; i < len(All); i++ {
		require.Greater(t, All[i].Code, All[i-1].Code)
		require.NotEmpty(t, All[i].Remedy)
	}
}
