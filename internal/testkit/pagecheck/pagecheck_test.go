// Package pagecheck_test checks that the documentation and the code agree where a tool can tell: each test that
// docs/design/control-safety.md names exists, each package that docs/architecture.md names exists and each package is
// named there, and each exported part has a doc comment.
package pagecheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// root is the repository's root, seen from this package's folder.
const root = "../../.."

// readFile returns a file's text; the path is relative to the repository's root.
func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, path))
	require.NoError(t, err)
	return string(text)
}

// goFiles calls a function for each Go file below the repository's root, with its path relative to that.
func goFiles(t *testing.T, visit func(path string)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		if entry.IsDir() && (relative == "journal" || entry.Name() == "testdata" || strings.HasPrefix(entry.Name(), ".") && relative != ".") {
			return filepath.SkipDir
		}
		if strings.HasSuffix(path, ".go") {
			visit(filepath.ToSlash(relative))
		}
		return nil
	})
	require.NoError(t, err)
}

// TestControlSafetyNamesExistingTests looks for each test that the page on the control plane's safety names.
func TestControlSafetyNamesExistingTests(t *testing.T) {
	t.Parallel()
	declared := make(map[string]bool)
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	goFiles(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			for _, found := range declaration.FindAllStringSubmatch(readFile(t, path), -1) {
				declared[found[1]] = true
			}
		}
	})
	named := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)`").FindAllStringSubmatch(readFile(t, "docs/design/control-safety.md"), -1)
	require.NotEmpty(t, named)
	for _, name := range named {
		assert.True(t, declared[name[1]], "docs/design/control-safety.md names %s, which no file declares", name[1])
	}
}

// TestArchitectureNamesPackages compares the packages of the repository with those that the page on the architecture
// names: each row of its tables begins with the folder of a package.
func TestArchitectureNamesPackages(t *testing.T) {
	t.Parallel()
	packages := make(map[string]bool)
	goFiles(t, func(path string) { packages[filepath.ToSlash(filepath.Dir(path))] = true })
	named := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `(deploy|decision|(?:cmd|decision|examples|internal)/[\\w/-]+)` \\|").FindAllStringSubmatch(readFile(t, "docs/architecture.md"), -1) {
		named[row[1]] = true
		assert.True(t, packages[row[1]], "docs/architecture.md names the package %s, which does not exist", row[1])
	}
	for folder := range packages {
		assert.True(t, named[folder], "docs/architecture.md does not name the package %s", folder)
	}
}

// TestArchitectureNamesFunctions looks for each function that the page on the architecture names as `package.function`,
// where package is the last element of a folder's path.
func TestArchitectureNamesFunctions(t *testing.T) {
	t.Parallel()
	declared := make(map[string]bool)
	declaration := regexp.MustCompile(`(?m)^func (?:\([^)]*\) )?(\w+)[\[(]`)
	goFiles(t, func(path string) {
		for _, found := range declaration.FindAllStringSubmatch(readFile(t, path), -1) {
			declared[filepath.Base(filepath.Dir(path))+"."+found[1]] = true
		}
	})
	named := regexp.MustCompile("`([a-z]+\\.[A-Za-z]\\w*)`").FindAllStringSubmatch(readFile(t, "docs/architecture.md"), -1)
	require.NotEmpty(t, named)
	for _, name := range named {
		assert.True(t, declared[name[1]], "docs/architecture.md names %s, which no package declares", name[1])
	}
}

// TestExportedPartsHaveComments looks for exported declarations without a doc comment.
func TestExportedPartsHaveComments(t *testing.T) {
	t.Parallel()
	goFiles(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.ParseComments)
		require.NoError(t, err)
		for _, name := range undocumented(file) {
			t.Errorf("%s: the exported %s has no doc comment", path, name)
		}
	})
}

// undocumented returns the exported top-level names of a file that have no doc comment, their group's included.
func undocumented(file *ast.File) (names []string) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && receiverIsExported(d) {
				names = append(names, d.Name.Name)
			}
		case *ast.GenDecl:
			if d.Doc == nil {
				names = append(names, undocumentedSpecs(d)...)
			}
		}
	}
	return names
}

// undocumentedSpecs returns the exported names of a declaration without a comment of its own whose specifications have
// none either.
func undocumentedSpecs(d *ast.GenDecl) (names []string) {
	for _, specification := range d.Specs {
		switch s := specification.(type) {
		case *ast.TypeSpec:
			if s.Doc == nil && s.Name.IsExported() {
				names = append(names, s.Name.Name)
			}
		case *ast.ValueSpec:
			for _, name := range s.Names {
				if s.Doc == nil && s.Comment == nil && name.IsExported() {
					names = append(names, name.Name)
				}
			}
		}
	}
	return names
}

// receiverIsExported reports whether a function has no receiver or one of an exported type.
func receiverIsExported(d *ast.FuncDecl) bool {
	if d.Recv == nil || len(d.Recv.List) == 0 {
		return true
	}
	receiver := d.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	name, ok := receiver.(*ast.Ident)
	return !ok || name.IsExported()
}
