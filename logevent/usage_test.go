package logevent_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cactusreel/cactusreel/logevent"
)

// Guards against an event in the table that no code logs, which would mislead
// operators.
func TestEveryEventIsLogged(t *testing.T) {
	var source strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		source.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, info := range logevent.Table() {
		logged := false
		for _, delimiter := range []string{",", ")"} {
			logged = logged || strings.Contains(source.String(), "logevent."+info.Name+delimiter)
		}
		if !logged {
			t.Errorf("event %d %s is in the table but never logged", info.Number, info.Name)
		}
	}
}

// Guards against a line whose fields operators can't find in the table.
func TestLoggedFieldsAreInTheTable(t *testing.T) {
	table := make(map[string]logevent.Info)
	for _, info := range logevent.Table() {
		table[info.Name] = info
	}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				checkFields(t, path, table, call)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// checkFields checks the fields that a call with an event among its arguments names itself.
func checkFields(t *testing.T, path string, table map[string]logevent.Info, call *ast.CallExpr) {
	var info *logevent.Info
	for _, arg := range call.Args {
		if name, ok := selected(arg, "logevent"); ok {
			if i, known := table[name]; known {
				info = &i
			}
			continue
		}
		field, ok := arg.(*ast.CallExpr)
		if !ok || info == nil {
			continue
		}
		kind, ok := selected(field.Fun, "zap")
		if !ok {
			continue
		}
		name := "error"
		if kind != "Error" {
			literal, ok := field.Args[0].(*ast.BasicLit)
			if !ok {
				continue
			}
			name, _ = strconv.Unquote(literal.Value)
		}
		if !slices.Contains(info.Fields, name) {
			t.Errorf("%s: event %d %s has a field %q that is not in the table", path, info.Number, info.Name, name)
		}
	}
}

// selected returns the name that an expression selects from a package.
func selected(expr ast.Expr, pkg string) (string, bool) {
	s, ok := expr.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	x, ok := s.X.(*ast.Ident)
	return s.Sel.Name, ok && x.Name == pkg
}
