package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/result"
)

const freshnessTrace = `{"source":"f","machine":"freshness"}
{"time":1000,"source":"f","event":"DirectRead","data":{"sentAt":1000,"head":0}}
`

// Guards against an error in a trace that goes undetected and makes the replay
// pass.
func TestBadTraces(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"no outcome":          {freshnessTrace, "no outcome line"},
		"gap":                 {freshnessTrace + `{"dropped":3}`, "t:3: the recorder dropped 3 lines"},
		"machine":             {`{"source":"f","machine":"clock"}`, `machine "clock"`},
		"config":              {`{"source":"f","machine":"freshness","config":{"Bond":1}}`, `unknown field "Bond"`},
		"event":               {freshnessTrace + `{"time":1000,"source":"f","event":"Tock"}`, `t:3: the machine has no event "Tock"`},
		"event field":         {freshnessTrace + `{"time":1000,"source":"f","event":"Applied","data":{"ofset":1}}`, `unknown field "ofset"`},
		"state field":         {freshnessTrace + `{"time":1000,"source":"f","outcome":{"state":[{"mayBegin":false}]}}`, `no field "mayBegin"`},
		"state is no object":  {freshnessTrace + `{"time":1000,"source":"f","outcome":{"state":[null]}}`, "not a JSON object"},
		"action without type": {freshnessTrace + `{"time":1000,"source":"f","outcome":{"notEmitted":[{"end":1}]}}`, "has no type"},
		"cells":               {`{"source":"a","machine":"ownership","config":{"VM":"a","Cells":99999999}}`, "Cells"},
		"work":                {`{"source":"a","machine":"tasks","config":{"VM":"a"}}` + "\n" + `{"source":"a","event":"WorkChanged","data":{"work":{"count":1000000000}}}`, "count"},
		"null record":         {`{"source":"a","machine":"tasks","config":{"VM":"a"}}` + "\n" + `{"source":"a","event":"Applied","data":{"offset":1,"records":[null]}}`, "null"},
		"label":               {`{"source":"r","machine":"routing"}` + "\n" + `{"source":"r","event":"SlotReleased","data":{"request":"q"}}`, "label"},
		"run label":           {`{"source":"d","machine":"dedup","config":{"dataCentre":"giza"}}` + "\n" + `{"source":"d","event":"Sending","data":{"request":"q"}}`, "label"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Run(t.Context(), "t", strings.NewReader(c.text))
			is.Equal(result.CodeOf(err, result.OK), result.BadTrace)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against a mismatch without the context that is needed to explain it.
func TestMismatchShowsContext(t *testing.T) {
	is := is.New(t)
	_, err := Run(t.Context(), "t", strings.NewReader(freshnessTrace+`{"time":1000,"source":"f","outcome":{"emitted":[{"type":"AskPeers"}]}}`))
	is.Equal(result.CodeOf(err, result.OK), result.TraceMismatch)
	for _, want := range []string{
		`t:3: at 1µs, source f:`,
		`no action (after those matched before) matches {"type":"AskPeers"}`,
		`     2  {"time":1000,"source":"f","event":"DirectRead"`,
		`{"end":2000001000,"type":"FreshUntil"}`,
		`{"startUntil":2000001000,"mayStart":true,"head":0}`,
	} {
		is.True(strings.Contains(err.Error(), want)) // the error text contains it
	}
}

// Guards against a panic of the decision code that ends the command instead of
// being reported as the mismatch.
func TestPanicIsAMismatch(t *testing.T) {
	is := is.New(t)
	text := `{"source":"a","machine":"ownership","config":{"VM":"a"}}
{"source":"a","event":"Applied","data":{"offset":1,"record":{"renew":{"cells":[null]}}}}`
	_, err := Run(t.Context(), "t", strings.NewReader(text))
	is.Equal(result.CodeOf(err, result.OK), result.TraceMismatch)
	is.True(strings.Contains(err.Error(), "panicked"))
}

// Guards against actions that match two outcome lines, and against patterns that
// match in any order.
func TestEmittedIsOrderedAndSinceTheLastOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes string
		want     result.Code
	}{
		"once":   {`{"time":1000,"source":"f","outcome":{"emitted":[{"type":"FreshUntil"}]}}`, result.OK},
		"twice":  {`{"time":1000,"source":"f","outcome":{"emitted":[{"type":"FreshUntil"},{"type":"FreshUntil"}]}}`, result.TraceMismatch},
		"stale":  {`{"time":1000,"source":"f","outcome":{"state":[{"head":0}]}}` + "\n" + `{"time":1000,"source":"f","outcome":{"emitted":[{"type":"FreshUntil"}]}}`, result.TraceMismatch},
		"absent": {`{"time":1000,"source":"f","outcome":{"notEmitted":[{"type":"FreshUntil"}]}}`, result.TraceMismatch},
		"order":  {`{"time":2000000000,"source":"f","event":"Tick"}` + "\n" + `{"time":2000000000,"source":"f","outcome":{"emitted":[{"type":"AskPeers"},{"type":"FreshUntil"}]}}`, result.TraceMismatch},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Run(t.Context(), "t", strings.NewReader(freshnessTrace+c.outcomes))
			is.Equal(result.CodeOf(err, result.OK), c.want)
		})
	}
}

// Guards against patterns that match too much or too little.
func TestMatches(t *testing.T) {
	for _, c := range []struct {
		pattern, value string
		want           bool
	}{
		{`{"a":1}`, `{"a":1,"b":2}`, true},
		{`{"a":1}`, `{"a":2}`, false},
		{`{"a":0,"b":"","c":false,"d":[],"e":null}`, `{}`, true},
		{`{"a":{}}`, `{}`, false},
		{`{"a":{}}`, `{"a":{"b":1}}`, true},
		{`{"a":[1]}`, `{"a":[1,2]}`, false},
		{`{"a":[{"b":1}]}`, `{"a":[{"b":1,"c":2}]}`, true},
		{`{"a":18446744073709551615}`, `{"a":18446744073709551614}`, false},
		{`{"a":9007199254740993}`, `{"a":9007199254740992}`, false},
		{`{"a":0.5}`, `{"a":5e-1}`, true},
		{`{"a":"1"}`, `{"a":1}`, false},
	} {
		is := is.New(t)
		pattern, err := parseObject([]byte(c.pattern))
		is.NoErr(err)
		value, err := parseObject([]byte(c.value))
		is.NoErr(err)
		is.Equal(matches(pattern, value), c.want) // pattern and value as in the table
	}
}

// Guards against a failed trace that is reported as a success because a later one
// passes.
func TestFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	good := write("good", freshnessTrace+`{"time":1000,"source":"f","outcome":{"state":[{"mayStart":true}]}}`)
	differs := write("differs", freshnessTrace+`{"time":1000,"source":"f","outcome":{"state":[{"mayStart":false}]}}`)
	bad := write("bad", "{")
	for _, c := range []struct {
		paths []string
		want  result.Code
	}{
		{[]string{good}, result.OK},
		{[]string{differs, good}, result.TraceMismatch},
		{[]string{bad, good}, result.BadTrace},
		{[]string{good, filepath.Join(dir, "missing")}, result.BadTrace},
	} {
		var out bytes.Buffer
		err := Files(t.Context(), c.paths, &out)
		is.Equal(result.CodeOf(err, result.OK), c.want)
		is.True(strings.Contains(out.String(), "ok    "+good+": 1 events, 1 outcome lines"))
	}
}

// Guards against traces that make the replay panic, hang or use unbounded memory.
func FuzzRun(f *testing.F) {
	paths, err := filepath.Glob(filepath.Join(testdata, "*.jsonl"))
	if err != nil || len(paths) == 0 {
		f.Fatal("no traces found in testdata")
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Run(t.Context(), "t", bytes.NewReader(data))
		if code := result.CodeOf(err, result.OK); err != nil && code != result.BadTrace && code != result.TraceMismatch {
			t.Fatalf("unexpected result code %v: %v", code, err)
		}
	})
}
