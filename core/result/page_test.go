package result

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the path of the workspace, relative to this package.
var root = filepath.Join("..", "..")

// errorsPage returns the text of the page that describes the codes.
func errorsPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "ERRORS.md"))
	require.NoError(t, err)
	return string(page)
}

// TestErrorsPageListsEveryCode checks that the page's table has a row for each code, equal
// to the code's entry in All. The table is part of the public interface.
func TestErrorsPageListsEveryCode(t *testing.T) {
	var want []string
	for _, info := range All {
		want = append(want, fmt.Sprintf("| %d | `%s` | %d | %s | %s |",
			info.Code, info.Name, info.HTTPStatus, info.Meaning, info.Remedy))
	}
	got := regexp.MustCompile(`(?m)^\| \d.*$`).FindAllString(errorsPage(t), -1)
	require.Equal(t, want, got)
}

// TestErrorsPageProvesEveryNotRun checks that the page has a proof for each function that
// reports that a call did not run.
func TestErrorsPageProvesEveryNotRun(t *testing.T) {
	var got []string
	for _, match := range regexp.MustCompile("(?m)^\\| `([a-z/]+\\.[A-Za-z.]+)` \\|").FindAllStringSubmatch(errorsPage(t), -1) {
		got = append(got, match[1])
	}
	slices.Sort(got)
	require.Equal(t, functionsNamingNotRun(t), got)
}

// functionsNamingNotRun returns the functions outside tests that refer to NotRun, sorted,
// in the form directory.function.
func functionsNamingNotRun(t *testing.T) []string {
	t.Helper()
	var names []string
	for _, module := range []string{"core", "peers", "entry", "agent"} {
		err := filepath.WalkDir(filepath.Join(root, module), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				names = append(names, functionsInFileNamingNotRun(t, path)...)
			}
			return err
		})
		require.NoError(t, err)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func functionsInFileNamingNotRun(t *testing.T, path string) []string {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	directory, err := filepath.Rel(root, filepath.Dir(path))
	require.NoError(t, err)
	var names []string
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if ok && namesNotRun(function) {
			names = append(names, filepath.ToSlash(directory)+"."+receiver(function)+function.Name.Name)
		}
	}
	return names
}

// namesNotRun reports whether the function refers to NotRun, of this package or of the
// engine's header.
func namesNotRun(function *ast.FuncDecl) bool {
	found := false
	ast.Inspect(function, func(node ast.Node) bool {
		identifier, ok := node.(*ast.Ident)
		found = found || ok && (identifier.Name == "NotRun" || identifier.Name == "ExecutionNotRun")
		return true
	})
	return found
}

// receiver returns the type of a method's receiver followed by a dot, or "" for a function.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	kind := function.Recv.List[0].Type
	if pointer, ok := kind.(*ast.StarExpr); ok {
		kind = pointer.X
	}
	identifier, ok := kind.(*ast.Ident)
	if !ok {
		return ""
	}
	return identifier.Name + "."
}
