package command

import (
	"bytes"
	"path/filepath"
	"testing"

	"acaciacleat.example/peers/commandline"
	"github.com/stretchr/testify/require"
)

func TestExamplesPassTheCheck(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", "agent-*.json"))
	require.NoError(t, err)
	require.Len(t, files, 6)
	var out, errOut bytes.Buffer
	code := Main(append([]string{"check"}, files...), &out, &errOut)
	require.Equal(t, commandline.ExitOK, code, "%s%s", &out, &errOut)
}

func TestSettingsOfAnUpstreamOfTheOtherKindAreRefused(t *testing.T) {
	for text, path := range map[string]string{
		`{"upstream":{"kind":"engine","service":"s","url":"http://h"}}`:            "$.upstream.model",
		`{"upstream":{"kind":"plain","service":"s","model":"m","url":"http://h"}}`: "$.upstream.model",
		`{"upstream":{"kind":"grpc"}}`:                                             "$.upstream.kind",
	} {
		var paths []string
		for _, fault := range faults([]byte(text)) {
			paths = append(paths, fault.Path)
		}
		require.Contains(t, paths, path)
	}
}
