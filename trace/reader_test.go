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

// readAll reads a trace up to its end or its first error.
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

// Guards against a malformed trace that is accepted, and against errors that
// don't name the file and the line.
func TestReaderRejects(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no JSON":           {"# c\n\n{", "t.jsonl:3: "},
		"unknown field":     {`{"source":"f","machine":"freshness","sorce":1}`, `t.jsonl:1: json: unknown field "sorce"`},
		"trailing data":     {`{"dropped":1} {}`, "unexpected data after the JSON document"},
		"two line kinds":    {header + `{"source":"f","event":"Tick","outcome":{"state":[{}]}}`, "t.jsonl:2: a line has exactly one"},
		"no line kind":      {header + `{"source":"f"}`, "exactly one"},
		"no source":         {`{"machine":"freshness"}`, `"source" is missing`},
		"undeclared source": {`{"source":"f","event":"Tick"}`, `"f" has no header line`},
		"declared twice":    {header + header, `t.jsonl:2: source "f" is declared twice`},
		"decreasing time":   {header + `{"time":2,"source":"f","event":"Tick"}` + "\n" + `{"time":1,"source":"f","event":"Tick"}`, "t.jsonl:3: time 1"},
		"negative time":     {header + `{"time":-1,"source":"f","event":"Tick"}`, "negative"},
		"empty outcome":     {header + `{"source":"f","outcome":{}}`, "lists no pattern"},
		"misspelt outcome":  {header + `{"source":"f","outcome":{"emitt":[{}]}}`, "unknown field"},
		"config on event":   {header + `{"source":"f","event":"Tick","config":{}}`, `"config" belongs`},
		"data on header":    {`{"source":"f","machine":"freshness","data":{}}`, `"data" belongs`},
		"too long":          {header + strings.Repeat(" ", MaxLineBytes+1), "t.jsonl:2: longer than"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(c.text)
			is.Equal(result.CodeOf(err, result.OK), result.BadTrace)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against a time check across sources: each source has its own clock, so
// only the lines of one source must be in order of time.
func TestSourcesHaveTheirOwnTime(t *testing.T) {
	is := is.New(t)
	lines, err := readAll(header + `{"source":"g","machine":"freshness"}
{"time":5,"source":"f","event":"Tick"}
{"time":1,"source":"g","event":"Tick"}`)
	is.NoErr(err)
	is.Equal(len(lines), 4)
	is.Equal(lines[3].Number, 4)
}

// Guards against errors without a result code, and against lines that are lost or
// rejected when they are written and read again.
func FuzzReader(f *testing.F) {
	f.Add(header + `{"time":5,"source":"f","event":"Tick","data":{"a":1}}`)
	f.Add("# comment\n" + header + `{"source":"f","outcome":{"state":[{"head":1}],"emitted":[{}],"notEmitted":[]}}`)
	f.Add(header + `{"dropped":7}`)
	f.Fuzz(func(t *testing.T, text string) {
		lines, err := readAll(text)
		if err != nil {
			if result.CodeOf(err, result.OK) != result.BadTrace {
				t.Fatalf("error does not have code BadTrace: %v", err)
			}
			return
		}
		var rewritten strings.Builder
		for _, line := range lines {
			encoded, err := json.Marshal(line)
			if err != nil {
				t.Fatal(err)
			}
			rewritten.Write(append(encoded, '\n'))
		}
		reread, err := readAll(rewritten.String())
		if err != nil || len(reread) != len(lines) {
			t.Fatalf("wrote %d lines, read back %d: %v", len(lines), len(reread), err)
		}
	})
}
