package command

import (
	"bytes"
	"path/filepath"
	"slices"
	"testing"

	"acaciacleat.example/peers/commandline"
	"github.com/stretchr/testify/require"
)

// Guards against examples that no longer pass the check of settings.
func TestExamplesPassTheCheck(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", "agent-*.json"))
	require.NoError(t, err)
	require.Len(t, files, 6)
	var out, errOut bytes.Buffer
	code := Main(append([]string{"check"}, files...), &out, &errOut)
	require.Equal(t, commandline.ExitOK, code, "%s%s", &out, &errOut)
}

// Guards against metrics that listen on an address that depends on name resolution.
func TestMetricsListenMustBeAnIPAddress(t *testing.T) {
	for text, want := range map[string]bool{
		`{}`:                                   false,
		`{"metrics":{"listen":"127.0.0.1:0"}}`: false,
		`{"metrics":{"listen":"localhost:9090"}}`: true,
	} {
		var paths []string
		for _, fault := range faults([]byte(text)) {
			paths = append(paths, fault.Path)
		}
		require.Equal(t, want, slices.Contains(paths, "$.metrics.listen"), text)
	}
}

// Guards against an engine without a model, a plain service with one, and an unknown kind.
func TestModelMustMatchUpstreamKind(t *testing.T) {
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
