package eventstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "acaciacleat.example/core/seeded"
)

// Guards against a wrong idea of where an event ends.
func TestPosition(t *testing.T) {
	cases := map[string]struct {
		text   string
		end    int
		events int
		inside bool
	}{
		"empty":                    {"", 0, 0, false},
		"one event":                {"data: x\n\n", 9, 1, false},
		"carriage returns":         {"data: x\r\r", 9, 1, false},
		"both":                     {"data: x\r\n\r\n", 11, 1, false},
		"mixed line ends":          {"data: x\n\r\n", 10, 1, false},
		"inside a line":            {"data: x\n\ndata", 9, 1, true},
		"inside a field's name":    {"data: x\n\ni", 9, 1, true},
		"between two lines":        {"data: x\n\nid: 2\n", 9, 1, true},
		"before the blank line":    {"data: x\n", 0, 0, true},
		"a comment":                {": wait\n", 0, 0, false},
		"a comment of one event":   {": wait\n\n", 8, 0, false},
		"inside a comment":         {"data: x\n\n: wa", 9, 1, true},
		"comment inside an event":  {"id: 1\n: wait\n", 0, 0, true},
		"more blank lines":         {"data: x\n\n\n\n", 11, 1, false},
		"second line feed to come": {"data: x\r\n\r", 10, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var p Position
			end, events := p.Advance([]byte(c.text))
			require.Equal(t, c.end, end)
			require.Equal(t, c.events, events)
			require.Equal(t, c.inside, p.InsideEvent())
			require.Equal(t, c.events > 0, p.HasEvents())
		})
	}
}

// Guards against an end of an event that is missed, or found twice, where a read of the network ends.
func TestPositionDoesNotDependOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"data: x", "id: 1", ":", "\n", "\r", "\r\n", "\n\n", "é"}), 0, 20).Draw(t, "parts"), "")
		var whole, parts Position
		end, events := whole.Advance([]byte(text))
		rest, at, partsEnd, partsEvents := text, 0, 0, 0
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			e, v := parts.Advance([]byte(rest[:n]))
			if e > 0 {
				partsEnd = at + e
			}
			partsEvents += v
			at, rest = at+n, rest[n:]
		}
		require.Equal(t, end, partsEnd)
		require.Equal(t, events, partsEvents)
		require.Equal(t, whole, parts)
	})
}

// naivePosition returns the number of events in a stream and whether it ends inside one, from its normalized lines.
func naivePosition(text string) (events int, inside bool) {
	lines := strings.Split(strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text), "\n")
	fields := false
	for _, line := range lines[:len(lines)-1] {
		switch {
		case line == "" && fields:
			events++
			fields = false
		case line != "" && line[0] != ':':
			fields = true
		}
	}
	return events, fields || lines[len(lines)-1] != ""
}

// Guards against a stream whose end is judged otherwise than its lines say.
func FuzzPosition(f *testing.F) {
	for _, seed := range []string{"", "data: x\n\n", "id: 1\r\ndata: y\r\n\r\n: wait\r", "\r\n\n\r:", "data"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var p Position
		end, got := p.Advance([]byte(text))
		events, inside := naivePosition(text)
		require.Equal(t, events, got)
		require.Equal(t, inside, p.InsideEvent())
		_, rest := naivePosition(text[:end])
		require.False(t, rest)
	})
}
