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

// root is the workspace seen from this package.
var root = filepath.Join("..", "..")

// rows returns the rows of the table under a heading of the operators' page, as cells.
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

// firsts returns the first cells in order.
func firsts(rows [][]string) []string {
	var all []string
	for _, row := range rows {
		all = append(all, row[0])
	}
	slices.Sort(all)
	return all
}

// fields calls yield for each JSON field below a value that has no fields itself.
func fields(path string, value reflect.Value, yield func(path string, value reflect.Value)) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
			fields(strings.TrimPrefix(path+"."+name, "."), value.Field(i), yield)
		}
	case reflect.Slice:
		fields(path+"[]", reflect.Zero(value.Type().Elem()), yield)
	default:
		yield(path, value)
	}
}

// What an operator reads of a setting must be what the process takes.
func TestOperatorsPageHasEverySetting(t *testing.T) {
	for heading, defaults := range map[string]any{
		"Settings of an entry":  *settings.Default(),
		"Settings of an agent":  *agentsettings.Default(),
		"Settings of a gateway": *settings.DefaultGateway(),
	} {
		var want [][]string
		got := rows(t, heading)
		fields("", reflect.ValueOf(defaults), func(path string, value reflect.Value) {
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
	fields("", reflect.ValueOf(document.Service{}), func(path string, _ reflect.Value) { want = append(want, path) })
	slices.Sort(want)
	require.Equal(t, want, firsts(rows(t, "Fields of a document")))
}

func TestOperatorsPageHasEveryVariable(t *testing.T) {
	want := found(t, filepath.Join(root, "entry", "operator", "vars.go"), `(?m)^\t\t"([a-z_]+)":\s+func\(\) any`)
	require.Equal(t, want, firsts(rows(t, "Variables")))
}

func TestOperatorsPageHasEveryVariableOfAgents(t *testing.T) {
	want := found(t, filepath.Join(root, "agent", "metrics", "metrics.go"), `(?m)^\t\t"([a-z_]+)":\s+func\(\) any`)
	require.NotEmpty(t, want)
	require.Equal(t, want, firsts(rows(t, "Variables of an agent")))
}

// A line at level warn or error calls somebody; it must tell them what to do.
func TestOperatorsPageHasEveryWarning(t *testing.T) {
	var want []string
	for _, module := range []string{"agent", "entry", "peers"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				want = append(want, found(t, path, `(?:Warn|Error)\(\)\.[^{};]*?Msgf?\("([^"]+)"`)...)
			}
			return err
		})
		require.NoError(t, err)
	}
	slices.Sort(want)
	require.Equal(t, slices.Compact(want), firsts(rows(t, "Log lines")))
}

// found returns what the pattern's group matches in a file, in order.
func found(t *testing.T, path, pattern string) []string {
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

// A page that says what a test proves must name one that is there.
func TestPagesNameTestsThatExist(t *testing.T) {
	tests := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			for _, name := range found(t, path, `(?m)^func ((?:Test|Benchmark|Fuzz)\w+)\(`) {
				tests[name] = true
			}
		}
		return err
	})
	require.NoError(t, err)
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	require.NoError(t, err)
	for _, page := range pages {
		for _, name := range found(t, page, "`((?:Test|Benchmark|Fuzz)[A-Z]\\w+)`") {
			require.True(t, tests[name], "%s names %s", page, name)
		}
	}
}
