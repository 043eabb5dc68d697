package command

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	agentsettings "acaciacleat.example/agent/settings"
	"acaciacleat.example/core/document"
	"acaciacleat.example/entry/settings"
	"github.com/stretchr/testify/require"
)

// root is the path from this package to the root of the workspace.
var root = filepath.Join("..", "..")

// rows returns the first two cells of each row of the table under a heading of the operators' page.
func rows(t *testing.T, heading string) [][]string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "OPERATORS.md"))
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "# "+heading+"\n")
	require.True(t, found, heading)
	section, _, _ = strings.Cut(section, "\n#")
	var all [][]string
	for _, line := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\|").FindAllStringSubmatch(section, -1) {
		all = append(all, line[1:])
	}
	return all
}

// firstCells returns the first cell of each row, sorted.
func firstCells(rows [][]string) []string {
	var all []string
	for _, row := range rows {
		all = append(all, row[0])
	}
	slices.Sort(all)
	return all
}

// walkFields calls yield for each JSON field that is neither a struct nor a slice. It descends into
// those and shows the elements of a slice as name[].
func walkFields(path string, value reflect.Value, yield func(path string, value reflect.Value)) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
			walkFields(strings.TrimPrefix(path+"."+name, "."), value.Field(i), yield)
		}
	case reflect.Slice:
		walkFields(path+"[]", reflect.Zero(value.Type().Elem()), yield)
	default:
		yield(path, value)
	}
}

// The settings and defaults on the operators' page must be those of the process.
func TestOperatorsPageHasEverySetting(t *testing.T) {
	for heading, defaults := range map[string]any{
		"Settings of an entry":  *settings.Default(),
		"Settings of an agent":  *agentsettings.Default(),
		"Settings of a gateway": *settings.DefaultGateway(),
	} {
		var want [][]string
		got := rows(t, heading)
		walkFields("", reflect.ValueOf(defaults), func(path string, value reflect.Value) {
			shown := fmt.Sprint(value)
			if index := slices.IndexFunc(got, func(row []string) bool { return row[0] == path }); value.IsZero() && index >= 0 {
				shown = got[index][1]
				require.Contains(t, []string{"required", "none"}, shown, path)
			}
			want = append(want, []string{path, shown})
		})
		require.ElementsMatch(t, want, got, heading)
	}
}

func TestOperatorsPageHasEveryFieldOfDocuments(t *testing.T) {
	var want []string
	walkFields("", reflect.ValueOf(document.Service{}), func(path string, _ reflect.Value) { want = append(want, path) })
	slices.Sort(want)
	require.Equal(t, want, firstCells(rows(t, "Fields of a document")))
}

func TestOperatorsPageHasEveryVariable(t *testing.T) {
	want := findMatches(t, filepath.Join(root, "entry", "operator", "vars.go"), `(?m)^\t\t"([a-z_]+)":\s+func\(\) any`)
	require.Equal(t, want, firstCells(rows(t, "Variables")))
}

func TestOperatorsPageHasEveryVariableOfAgents(t *testing.T) {
	want := findMatches(t, filepath.Join(root, "agent", "metrics", "metrics.go"), `(?m)^\t\t"([a-z_]+)":\s+func\(\) any`)
	require.NotEmpty(t, want)
	require.Equal(t, want, firstCells(rows(t, "Variables of an agent")))
}

// Log lines at level warn or error alert an operator, so the operators' page must list each of them
// with the action to take.
func TestOperatorsPageHasEveryWarning(t *testing.T) {
	var want []string
	for _, module := range []string{"agent", "entry", "peers"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				want = append(want, findMatches(t, path, `(?:Warn|Error)\(\)\.[^{};]*?Msgf?\("([^"]+)"`)...)
			}
			return err
		})
		require.NoError(t, err)
	}
	slices.Sort(want)
	require.Equal(t, slices.Compact(want), firstCells(rows(t, "Log lines")))
}

// findMatches returns the matches of the pattern's group in a file, sorted.
func findMatches(t *testing.T, path, pattern string) []string {
	t.Helper()
	source, err := os.ReadFile(path)
	require.NoError(t, err)
	var all []string
	for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(source), -1) {
		all = append(all, match[1])
	}
	slices.Sort(all)
	return all
}

// Tests that pages refer to must exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	tests := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			for _, name := range findMatches(t, path, `(?m)^func ((?:Test|Benchmark|Fuzz)\w+)\(`) {
				tests[name] = true
			}
		}
		return err
	})
	require.NoError(t, err)
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	for _, page := range pages {
		for _, name := range findMatches(t, page, "`((?:Test|Benchmark|Fuzz)[A-Z]\\w+)`") {
			require.True(t, tests[name], "%s names %s", page, name)
		}
	}
}
