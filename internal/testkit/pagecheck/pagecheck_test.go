// Package pagecheck_test checks the documentation against the code: the tests that
// docs/design/control-safety.md names exist, docs/architecture.md names all packages and only
// existing packages and functions, and every exported declaration has a doc comment.
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

// root is the path of the repository's root directory, relative to this package.
const root = "../../.."

// readFile returns the content of a file. Its path is relative to the repository's root.
func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, path))
	require.NoError(t, err)
	return string(text)
}

// visitGoFiles calls visit for each Go file of the repository, with its slash-separated path
// relative to the root. It skips journal/, testdata and hidden directories.
func visitGoFiles(t *testing.T, visit func(path string)) {
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

// TestControlSafetyNamesExistingTests checks that each test, fuzz test and benchmark that
// docs/design/control-safety.md names is declared in some test file.
func TestControlSafetyNamesExistingTests(t *testing.T) {
	t.Parallel()
	declared := make(map[string]bool)
	declaration := regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	visitGoFiles(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			for _, found := range declaration.FindAllStringSubmatch(readFile(t, path), -1) {
				declared[found[1]] = true
			}
		}
	})
	named := regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)`").FindAllStringSubmatch(readFile(t, "docs/design/control-safety.md"), -1)
	require.NotEmpty(t, named)
	for _, name := range named {
		assert.True(t, declared[name[1]], "docs/design/control-safety.md names %s, which no test file declares", name[1])
	}
}

// TestArchitectureNamesPackages checks that the tables of docs/architecture.md list every package
// of the repository, and no others. The first column of each row is the directory of a package.
func TestArchitectureNamesPackages(t *testing.T) {
	t.Parallel()
	packages := make(map[string]bool)
	visitGoFiles(t, func(path string) { packages[filepath.ToSlash(filepath.Dir(path))] = true })
	named := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `(deploy|decision|(?:cmd|decision|examples|internal)/[\\w/-]+)` \\|").FindAllStringSubmatch(readFile(t, "docs/architecture.md"), -1) {
		named[row[1]] = true
		assert.True(t, packages[row[1]], "docs/architecture.md names the package %s, which does not exist", row[1])
	}
	for directory := range packages {
		assert.True(t, named[directory], "docs/architecture.md does not name the package %s", directory)
	}
}

// TestArchitectureNamesFunctions checks that each function or method that docs/architecture.md
// names as `package.function` is declared. The package is given by the last element of its
// directory.
func TestArchitectureNamesFunctions(t *testing.T) {
	t.Parallel()
	declared := make(map[string]bool)
	declaration := regexp.MustCompile(`(?m)^func (?:\([^)]*\) )?(\w+)[\[(]`)
	visitGoFiles(t, func(path string) {
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

// TestExportedPartsHaveComments checks that every exported declaration has a doc comment, except in
// test files and generated protobuf code.
func TestExportedPartsHaveComments(t *testing.T) {
	t.Parallel()
	visitGoFiles(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, path), nil, parser.ParseComments)
		require.NoError(t, err)
		for _, name := range undocumented(file) {
			t.Errorf("%s: exported name %s has no doc comment", path, name)
		}
	})
}

// undocumented returns the exported top-level names of a file that have no doc comment. A comment
// on a group of declarations counts for all its names.
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

// undocumentedSpecs returns the exported types, variables and constants without a comment of their
// own, in a declaration that has no comment itself.
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

// receiverIsExported reports whether a function is no method, or is a method of an exported type.
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
