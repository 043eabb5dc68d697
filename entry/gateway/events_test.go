package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessReader repeats a text without end and counts the bytes that were read.
type endlessReader struct {
	text string
	read int
}

// Read implements io.Reader.
func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[(r.read+i)%len(r.text)]
	}
	r.read += len(p)
	return len(p), nil
}

// Guards against a stream without events that is read, and kept, without end.
func TestStreamWithoutEventsIsGivenUp(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "\n", ": comment\n\n", ":\r"} {
		body := &endlessReader{text: text}
		piece, _, err := newEventReader(body).next()
		require.ErrorIs(t, err, errNoEvent, "%q", text)
		require.Empty(t, piece, "%q", text)
		require.LessOrEqual(t, body.read, maxEventBytes+8<<10, "%q", text)
	}
}

// Guards against giving up a stream that is long, or whose events have comments between them.
func TestLongStreamOfEventsIsNotGivenUp(t *testing.T) {
	for _, text := range []string{"data: x\n\n", ": comment\n\ndata: " + strings.Repeat("x", 4000) + "\n\n", strings.Repeat("\n", 5000) + "data: x\n\n"} {
		body := &endlessReader{text: text}
		events := newEventReader(body)
		for body.read < 4*maxEventBytes {
			_, _, err := events.next()
			require.NoError(t, err)
		}
	}
}

// Guards against the answer of a control call that is read without end.
func TestEndlessAnswerOfAControlCallIsGivenUp(t *testing.T) {
	body := &endlessReader{text: "x"}
	require.ErrorIs(t, discardAnswer(body), errLongControlAnswer)
	require.LessOrEqual(t, body.read, maxControlBytes+8<<10)
	require.NoError(t, discardAnswer(strings.NewReader(strings.Repeat("x", maxControlBytes))))
}
