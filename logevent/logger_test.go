package logevent_test

import (
	"bytes"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
)

// Guards against a duplicate event number or name, a number outside the ranges,
// an empty message or action, and a field that hides one of the logger's own.
func TestTableIsConsistent(t *testing.T) {
	is := is.New(t)
	names := make(map[string]bool)
	last := logevent.Number(0)
	for _, info := range logevent.Table() {
		is.True(info.Number > last) // ascending and unique
		last = info.Number
		is.True(info.Number >= 101 && info.Number <= 899)
		is.True(info.Name != "" && !names[info.Name])
		names[info.Name] = true
		is.True(info.Message != "" && info.Action != "")
		for _, f := range info.Fields {
			is.True(f != "time" && f != "level" && f != "message" && f != "event" && f != "name")
		}
	}
}

// Guards against a constant without a row in the table, and a row whose name
// differs from its constant.
func TestEveryConstantHasARow(t *testing.T) {
	is := is.New(t)
	names := make(map[string]bool)
	for _, info := range logevent.Table() {
		names[info.Name] = true
	}
	files, err := filepath.Glob("*.go")
	is.NoErr(err)
	constants := 0
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		is.NoErr(err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if typ, ok := spec.Type.(*ast.Ident); ok && typ.Name == "Number" {
				constants++
				is.True(names[spec.Names[0].Name]) // the constant has a row
			}
			return true
		})
	}
	is.Equal(constants, len(names))
}

// Guards against a page that differs from the table.
func TestPageMatchesTable(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/log-events.md")
	is.NoErr(err)
	is.Equal(string(page), logevent.Markdown()) // regenerate with `cactusreel events --markdown`
}

// Guards against a line without its number or name, a level that is not applied,
// an unknown number that is not logged, and a panic of a nil Logger.
func TestLogger(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l, err := logevent.New(&out, "info")
	is.NoErr(err)
	l = l.With(zap.String("vm", "giza-entry-1"))
	l.Log(logevent.CellClaimed, zap.Int("cell", 3))
	l.Log(logevent.TaskPlaced) // level debug
	l.Log(999)
	is.NoErr(l.Sync())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	var line map[string]any
	is.NoErr(json.Unmarshal([]byte(lines[0]), &line))
	is.Equal(line["event"], 202.0)
	is.Equal(line["name"], "CellClaimed")
	is.Equal(line["message"], "cell claimed")
	is.Equal(line["cell"], 3.0)
	is.Equal(line["vm"], "giza-entry-1")
	is.True(strings.Contains(lines[1], `"level":"error"`) && strings.Contains(lines[1], `"event":999`))

	var nilLogger *logevent.Logger
	nilLogger.With(zap.Int("cell", 1)).Log(logevent.CellClaimed)
	_, err = logevent.New(&out, "loud")
	is.True(err != nil)
}
