package strictjson

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

type list struct {
	Name  string    `json:"name"`
	Items []element `json:"items"`
}

type element struct {
	Name  string   `json:"name"`
	Parts []string `json:"parts"`
}

func noFaults(*list) []Fault { return nil }

// Guards against texts of many short parts that take many times their own memory.
func TestTextsOfManyShortParts(t *testing.T) {
	const n = 1 << 20
	fields := `{"a":1` + strings.Repeat(`,"b":1`, n) + `}`
	require.Len(t, Parse([]byte(fields), &list{}, noFaults), maxFaults)
	objects := `{"items":[{}` + strings.Repeat(`,{}`, n) + `]}`
	var value list
	faults := Parse([]byte(objects), &value, noFaults)
	require.Len(t, faults, 1)
	require.Contains(t, faults[0].Value, errManyElements.Error())
	require.Empty(t, value.Items)
	invalid := func(*list) []Fault { return make([]Fault, 10*maxFaults) }
	require.Len(t, Parse([]byte(`{}`), &list{}, invalid), maxFaults)
}

// Guards against refusing a long list of ordinary elements.
func TestLongListOfOrdinaryElements(t *testing.T) {
	one := `{"name":"organisation-1","parts":["` + strings.Repeat("5a", 32) + `"]}`
	var value list
	require.Empty(t, Parse([]byte(`{"items":[`+one+strings.Repeat(","+one, 49_999)+`]}`), &value, noFaults))
	require.Len(t, value.Items, 50_000)
}
