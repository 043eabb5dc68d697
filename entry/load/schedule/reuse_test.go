package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReusableTokensMatchEarlierPrefixes(t *testing.T) {
	index := make(prefixIndex)
	text := func(document uint64, common, length int) *Text {
		return &Text{CommonSeed: 7, CommonTokens: common, DocumentSeed: document, DocumentTokens: length, Tokens: 50_000}
	}
	for i, step := range []struct {
		text *Text
		want int
	}{
		{text(0, 1024, 0), 0},
		{text(0, 800, 0), 512},
		{text(1, 1024, 5000), 1024},
		{text(1, 1024, 9000), 5632},
		{text(1, 1024, 2000), 2560},
		{text(2, 1024, 9000), 1024},
		{&Text{}, 0},
	} {
		require.Equal(t, step.want, index.matchAndAdd(step.text), "step %d", i)
	}
}
