package command

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"acaciacleat.example/core/document"
	"acaciacleat.example/peers/commandline"
	"github.com/stretchr/testify/require"
)

// examples returns the example files that match a pattern; at least one must match.
func examples(t *testing.T, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", "examples", pattern))
	require.NoError(t, err)
	require.NotEmpty(t, files, pattern)
	return files
}

func TestExamplesPassTheCheck(t *testing.T) {
	for _, deployment := range []string{"faixa-verde", "omuti"} {
		files := append(examples(t, deployment+"/entry-*.json"), examples(t, deployment+"/documents/*.json")...)
		require.Len(t, files, 5)
		var out, errOut bytes.Buffer
		code := Main(append([]string{"check"}, files...), &out, &errOut)
		require.Equal(t, commandline.ExitOK, code, "%s%s", &out, &errOut)
	}
}

// Checks the files that the README uses to run separate processes.
func TestLocalExamplePassesTheCheck(t *testing.T) {
	files := append(examples(t, "local/entry.json"), examples(t, "local/assistant.json")...)
	files = append(files, examples(t, "local/parts.json")...)
	var out, errOut bytes.Buffer
	require.Equal(t, commandline.ExitOK, Main(append([]string{"check"}, files...), &out, &errOut), "%s%s", &out, &errOut)
	for _, file := range files[1:] {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Contains(t, string(text), document.HashKey("example-key-of-local").String())
	}
}

// The keys in the examples must be the published ones: a real key would stay in the history of the
// repository.
func TestExampleKeysMatchTheReadme(t *testing.T) {
	for _, file := range examples(t, "*/documents/*.json") {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		service, faults := document.Parse(text)
		require.Empty(t, faults)
		require.Len(t, service.Organisations, 10)
		for _, organisation := range service.Organisations {
			require.Equal(t, []string{document.HashKey("example-key-of-" + organisation.Name).String()}, organisation.KeyHashes)
		}
	}
}
