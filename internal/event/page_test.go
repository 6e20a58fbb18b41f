package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestPageOfEventsIsCurrent(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "EVENTS", []byte(Page()))
}

func TestCatalogueEntriesAreWhole(t *testing.T) {
	for _, e := range Catalogue() {
		if e.Name == "" || !strings.HasSuffix(e.Meaning, ".") {
			t.Errorf("event %d: name %q, meaning %q", e.Code, e.Name, e.Meaning)
		}
		if !slices.Contains([]string{"debug", "info", "warn", "error"}, e.Level) {
			t.Errorf("event %d: level %q", e.Code, e.Level)
		}
	}
}

// TestEveryCodeInTheSourceIsInTheCatalogue reads the constants of type Code in
// this package, and looks for numbers in place of constants everywhere else.
func TestEveryCodeInTheSourceIsInTheCatalogue(t *testing.T) {
	listed := map[Code]bool{}
	for _, e := range Catalogue() {
		listed[e.Code] = true
	}
	constants := 0
	for _, file := range parseDirectory(t, ".") {
		for name, code := range codeConstants(t, file) {
			constants++
			if !listed[code] {
				t.Errorf("%s (%d) is not in the catalogue", name, code)
			}
		}
	}
	if constants != len(listed) {
		t.Errorf("%d constants, %d codes in the catalogue", constants, len(listed))
	}
	for _, root := range []string{"..", "../../cmd"} {
		for _, file := range parseDirectory(t, root) {
			ast.Inspect(file, func(n ast.Node) bool {
				if number := literalCode(n); number != "" {
					t.Errorf("event code %s is written as a number in package %s", number, file.Name.Name)
				}
				return true
			})
		}
	}
}

// parseDirectory parses all Go files below a directory but the tests.
func parseDirectory(t *testing.T, root string) []*ast.File {
	t.Helper()
	var files []*ast.File
	set := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if entry == nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		files = append(files, file)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// codeConstants returns the constants that a file declares as "Name Code = N".
func codeConstants(t *testing.T, file *ast.File) map[string]Code {
	constants := map[string]Code{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 {
			return true
		}
		typeName, ok := spec.Type.(*ast.Ident)
		if !ok || typeName.Name != "Code" {
			return true
		}
		literal, ok := spec.Values[0].(*ast.BasicLit)
		if !ok {
			t.Errorf("%s is not a plain number", spec.Names[0].Name)
			return true
		}
		number, err := strconv.Atoi(literal.Value)
		if err != nil {
			t.Error(err)
		}
		constants[spec.Names[0].Name] = Code(number)
		return true
	})
	return constants
}

// literalCode returns the number in event.Event{Code: N} or event.Code(N).
func literalCode(n ast.Node) string {
	var value ast.Expr
	switch node := n.(type) {
	case *ast.CompositeLit:
		if !isEventSelector(node.Type, "Event") {
			return ""
		}
		for _, element := range node.Elts {
			pair, ok := element.(*ast.KeyValueExpr)
			if key, isIdent := keyOf(pair, ok); isIdent && key == "Code" {
				value = pair.Value
			}
		}
	case *ast.CallExpr:
		if isEventSelector(node.Fun, "Code") && len(node.Args) == 1 {
			value = node.Args[0]
		}
	}
	if literal, ok := value.(*ast.BasicLit); ok {
		return literal.Value
	}
	return ""
}

func keyOf(pair *ast.KeyValueExpr, ok bool) (string, bool) {
	if !ok {
		return "", false
	}
	ident, ok := pair.Key.(*ast.Ident)
	if !ok {
		return "", false
	}
	return ident.Name, true
}

func isEventSelector(expr ast.Expr, name string) bool {
	selector, ok := expr.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	pkg, ok := selector.X.(*ast.Ident)
	return ok && pkg.Name == "event" && selector.Sel.Name == name
}
