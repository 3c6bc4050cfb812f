package trace

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/result"
)

const header = `{"source":"f","machine":"freshness"}` + "\n"

// readAll reads a trace to its end or its first mistake.
func readAll(text string) ([]*Line, error) {
	r := NewReader("t.jsonl", strings.NewReader(text))
	var lines []*Line
	for {
		line, err := r.Next()
		if errors.Is(err, io.EOF) {
			return lines, nil
		}
		if err != nil {
			return lines, err
		}
		lines = append(lines, line)
	}
}

// Guards against a malformed trace that is taken for a good one, and against
// errors that don't name file and line.
func TestReaderRejects(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no JSON":          {"# c\n\n{", "t.jsonl:3: "},
		"unknown field":    {`{"source":"f","machine":"freshness","sorce":1}`, `t.jsonl:1: json: unknown field "sorce"`},
		"trailing":         {`{"dropped":1} {}`, "something follows"},
		"two kinds":        {header + `{"source":"f","event":"Tick","outcome":{"state":[{}]}}`, "t.jsonl:2: a line has exactly one"},
		"no kind":          {header + `{"source":"f"}`, "exactly one"},
		"no source":        {`{"machine":"freshness"}`, `"source" is missing`},
		"undeclared":       {`{"source":"f","event":"Tick"}`, `"f" has no header line`},
		"twice":            {header + header, `t.jsonl:2: source "f" is declared twice`},
		"back in time":     {header + `{"time":2,"source":"f","event":"Tick"}` + "\n" + `{"time":1,"source":"f","event":"Tick"}`, "t.jsonl:3: time 1"},
		"negative time":    {header + `{"time":-1,"source":"f","event":"Tick"}`, "negative"},
		"empty outcome":    {header + `{"source":"f","outcome":{}}`, "states nothing"},
		"misspelt outcome": {header + `{"source":"f","outcome":{"emitt":[{}]}}`, "unknown field"},
		"config on event":  {header + `{"source":"f","event":"Tick","config":{}}`, `"config" belongs`},
		"data on header":   {`{"source":"f","machine":"freshness","data":{}}`, `"data" belongs`},
		"too long":         {header + strings.Repeat(" ", MaxLineBytes+1), "t.jsonl:2: longer than"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(c.text)
			is.Equal(result.CodeOf(err, result.OK), result.BadTrace)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against sources that share a clock: each has its own.
func TestSourcesHaveTheirOwnTime(t *testing.T) {
	is := is.New(t)
	lines, err := readAll(header + `{"source":"g","machine":"freshness"}
{"time":5,"source":"f","event":"Tick"}
{"time":1,"source":"g","event":"Tick"}`)
	is.NoErr(err)
	is.Equal(len(lines), 4)
	is.Equal(lines[3].Number, 4)
}

// Guards against input that the reader takes in part, and against lines that
// change when they are written and read again.
func FuzzReader(f *testing.F) {
	f.Add(header + `{"time":5,"source":"f","event":"Tick","data":{"a":1}}`)
	f.Add("# comment\n" + header + `{"source":"f","outcome":{"state":[{"head":1}],"emitted":[{}],"notEmitted":[]}}`)
	f.Add(header + `{"dropped":7}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := readAll(text)
		if err != nil {
			if result.CodeOf(err, result.OK) != result.BadTrace {
				t.Fatalf("error without code: %v", err)
			}
			return
		}
		var again strings.Builder
		for _, line := range lines {
			encoded, err := json.Marshal(line)
			if err != nil {
				t.Fatal(err)
			}
			again.Write(append(encoded, '\n'))
		}
		second, err := readAll(again.String())
		if err != nil || len(second) != len(lines) {
			t.Fatalf("%d lines became %d: %v", len(lines), len(second), err)
		}
	})
}
