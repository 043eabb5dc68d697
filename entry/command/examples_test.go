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

// examples returns the files of one kind; there must be some.
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

// The files with which the README runs separate processes.
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

// A real key in an example would be in the repository for good.
func TestExampleKeysAreTheOnesThatTheReadmeTells(t *testing.T) {
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
