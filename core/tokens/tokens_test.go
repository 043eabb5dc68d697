package tokens

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRatioConvergesAndErrorShrinks(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	e := New()
	require.Equal(t, 250, e.Tokens("m", 1000))
	for range 300 {
		bytes := 1000 + random.IntN(100_000)
		e.Observe("m", bytes, int(float64(bytes)*(0.36+0.08*random.Float64())))
	}
	require.InEpsilon(t, 4000, e.Tokens("m", 10_000), 0.05)
	require.Less(t, e.RelativeError("m"), 0.1)
	require.Greater(t, e.UpperBound("m", 10_000), e.Tokens("m", 10_000))
	require.Equal(t, 2500, e.Tokens("other", 10_000), "models are independent")
}

func TestAbsurdCountsAreBounded(t *testing.T) {
	e := New()
	e.Observe("m", 1, 1<<40)
	e.Observe("m", 0, 5)
	require.LessOrEqual(t, e.Tokens("m", 1000), 1000)
	require.Equal(t, 1, e.Tokens("m", 0))
}
