package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/tasks"
)

const testdata = "../testdata"

// change is a text replacement in a trace that must make its replay fail.
type change struct{ old, new string }

// without returns the change that disables a safety rule of a source.
func without(source, machine, rule string) change {
	head := `"source":"` + source + `","machine":"` + machine + `","config":{`
	return change{head, head + `"Unsafe":{"` + rule + `":true},`}
}

// changes holds, for each trace, changes of its header and event lines. Each
// breaks the behaviour that the trace checks; the outcome lines are not changed.
var changes = map[string][]change{
	"owner-paused-past-its-lease": {without("b", "ownership", "NoDriftWait"), without("b", "ownership", "NoSlotWait")},
	"isolated-owner-reduced": {
		without("b", "ownership", "NoPredecessors"),
		without("b", "ownership", "NoSlotWait"),
		{`"state":"held","fullUntil":7700000000`, `"state":"held","fullUntil":9900000000`},
	},
	"data-centre-cut-off-vouched": {
		without("b", "ownership", "NoPromiseHold"),
		{`"from":"b","number":2,"granted":[0]`, `"from":"b","number":2,"granted":[]`},
	},
	"renewal-landed-unread": {without("b", "ownership", "NoExpects")},
	"late-joiner-does-not-claim": {
		without("c", "ownership", "NoJoinRule"),
		{`"event":"Listed","data":{"vms":["c"]}`, `"event":"Listed","data":{"vms":["a","c"]}`},
	},
	"release-to-a-stopping-vm": {
		{`"vm":"c","incarnation":33,"joined":3,"number":1,"cells":[],"read":6`, `"vm":"c","incarnation":33,"joined":3,"number":1,"cells":[],"read":6,"stopping":true`},
		{`"leave":{"vm":"c","incarnation":33}`, `"leave":{"vm":"c","incarnation":34}`},
	},
	"rescue-after-the-offline-limit": {
		{`"Rescuer":true`, `"Rescuer":true,"OfflineLimit":1000000000`},
		{`"Owned","data":{"term":4,"rescue":true`, `"Owned","data":{"term":4,"rescue":false`},
	},
	"log-down-no-starts": {
		{`"event":"Applied","data":{"offset":40}`, `"event":"Applied","data":{"offset":41}`},
		{`"head":41,"age":1000000000`, `"head":41,"age":0`},
	},
	"delayed-start-after-take-out":      {without("cell", "tasks", "NoStartDeadline"), without("cell", "tasks", "NoTakeOut")},
	"append-response-lost-and-repeated": {{`"offset":5,"id":{"incarnation":11,"sequence":3}`, `"offset":5,"id":{"incarnation":11,"sequence":9}`}, {`"offset":4,"operations":[{"id":"op-2"`, `"offset":4,"operations":[{"id":"op-4"`}},
	"late-record-of-an-old-owner":       {without("cell", "tasks", "NoTermFence")},
	"cancel-races-start":                {{`"cancelled":true`, `"cancelled":false`}},
	"completion-races-eviction":         {{`"state":"completed"`, `"state":"stopped"`}},
	"completion-reported-twice":         {{`"offset":3,"id":{"incarnation":11,"sequence":3},"records":[{"term":3,"ended":{"task":"lens/5/0","attempt":1,"outcome":1}}]`, `"offset":3,"id":{"incarnation":11,"sequence":3},"records":[{"term":3,"ended":{"task":"lens/5/0","attempt":1,"outcome":2}}]`}},
	"worker-lost-and-resumed":           {without("cell", "tasks", "NoLeaseDrift"), without("cell", "tasks", "NoEndedFirst")},
	"takeover-with-an-unreachable-worker": {
		without("cell", "tasks", "NoPredecessorWait"),
		{`"event":"PredecessorsChanged","data":{"count":0}`, `"event":"PredecessorsChanged","data":{"count":1}`},
	},
	"task-stream-truncated-before-takeover": {
		{`"snapshot":"t-1","index":1`, `"snapshot":"t-1","index":0`},
		{`"offset":81,"id":{"incarnation":11,"sequence":40}`, `"offset":81,"id":{"incarnation":11,"sequence":43}`},
	},
	"start-answer-lost-and-repeated": {
		without("cell", "tasks", "NoStartDeadline"),
		{`"placeUntil":8000000000`, `"placeUntil":2400000000`},
	},
	"worker-restarted": {
		{`"sentAt":2900000000`, `"sentAt":3000000000`},
		{`"boot":"boot2","clock":1600000000,"term":3`, `"boot":"boot2","clock":1600000000,"term":2`},
	},
	"move-offered-twice":                        {without("cell", "tasks", "NoAdoptOnce")},
	"two-operators-race":                        {{`"id":"op-3","verb":"put","kind":"datacentres","name":"giza","precondition":{"version":1}`, `"id":"op-3","verb":"put","kind":"datacentres","name":"giza","precondition":{"version":2}`}},
	"half-written-snapshot":                     {{`"snapshot":"s-1","index":1`, `"snapshot":"s-1","index":0`}},
	"truncated-stream-restored-from-a-snapshot": {{`"snapshot":"s-2","index":1`, `"snapshot":"s-2","index":0`}},
	"repeat-at-another-entry-vm":                {{`"request":"repeat","id":"order-17"`, `"request":"repeat","id":"order-19"`}},
	"home-died-with-synced-successor": {
		{`"synced":true`, `"synced":false`},
		{`"event":"IntentReceived","data":{"term":3,"id":"order-17"`, `"event":"IntentReceived","data":{"term":3,"id":"order-16"`},
	},
	"home-died-without":                       {{`"previous":3`, `"previous":0`}},
	"server-leaving-while-the-list-is-stale":  {{`"event":"ServerLeaving"`, `"event":"SlotReleased"`}, {`"Boot":"b2"`, `"Boot":"b1"`}},
	"silent-connection-keeps-its-slot":        {{`"until":6100000000`, `"until":5900000000`}},
	"entry-vm-frozen-between-choice-and-send": {{`"fullUntil":6000000000`, `"fullUntil":60000000000`}, {`"state":"lost"`, `"state":"held","fullUntil":60000000000`}},
}

// traceNames returns the names of the files in testdata, without their extension.
func traceNames(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(testdata, "*.jsonl"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no traces found in testdata: %v", err)
	}
	var names []string
	for _, path := range paths {
		names = append(names, strings.TrimSuffix(filepath.Base(path), ".jsonl"))
	}
	return names
}

func readTrace(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(testdata, name+".jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// apply applies the change to all lines of a trace except outcome lines.
func (c change) apply(data []byte) []byte {
	lines := strings.SplitAfter(string(data), "\n")
	for i, line := range lines {
		if !strings.Contains(line, `,"outcome":{`) {
			lines[i] = strings.ReplaceAll(line, c.old, c.new)
		}
	}
	return []byte(strings.Join(lines, ""))
}

// Guards against decision code whose behaviour differs from the design.
func TestTraces(t *testing.T) {
	for _, name := range traceNames(t) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data := readTrace(t, name)
			is.True(strings.HasPrefix(string(data), "# Guards against ")) // the first line says which failure
			summary, err := Run(t.Context(), name, bytes.NewReader(data))
			is.NoErr(err)
			is.True(summary.Events > 0 && summary.Outcomes > 0)
		})
	}
}

// Guards against traces that pass regardless of the decision code: each must fail
// with each of its changes.
func TestTracesAreNotVacuous(t *testing.T) {
	is := is.New(t)
	is.Equal(len(changes), len(traceNames(t))) // every trace has at least one change
	for name, list := range changes {
		for _, c := range list {
			t.Run(name+" "+c.new, func(t *testing.T) {
				is := is.New(t)
				data := readTrace(t, name)
				changed := c.apply(data)
				is.True(!bytes.Equal(changed, data)) // the changed text occurs in the trace
				_, err := Run(t.Context(), name, bytes.NewReader(changed))
				is.Equal(result.CodeOf(err, result.OK), result.TraceMismatch)
			})
		}
	}
}

// Guards against a safety rule that no trace depends on.
func TestEveryRuleHasATrace(t *testing.T) {
	used := make(map[string]bool)
	for _, list := range changes {
		for _, c := range list {
			_, rest, _ := strings.Cut(c.new, `"Unsafe":{"`)
			rule, _, _ := strings.Cut(rest, `"`)
			used[rule] = true
		}
	}
	for _, rules := range []reflect.Type{reflect.TypeFor[ownership.Unsafe](), reflect.TypeFor[tasks.Unsafe]()} {
		for i := range rules.NumField() {
			if name := rules.Field(i).Name; !used[name] {
				t.Errorf("no trace fails when rule %s of %s is disabled", name, rules.PkgPath())
			}
		}
	}
}

// Guards against a list in docs/traces.md that differs from testdata.
func TestPageListsEveryTrace(t *testing.T) {
	page, err := os.ReadFile("../docs/traces.md")
	if err != nil {
		t.Fatal(err)
	}
	names := traceNames(t)
	for _, name := range names {
		first, _, _ := strings.Cut(strings.TrimPrefix(string(readTrace(t, name)), "# Guards against "), "\n")
		if row := "| `" + name + "` | " + first + " |\n"; !strings.Contains(string(page), row) {
			t.Errorf("docs/traces.md does not have the row %s", row)
		}
	}
	_, list, _ := strings.Cut(string(page), "## List of traces")
	if rows := strings.Count(list, "\n| `"); rows != len(names) {
		t.Errorf("docs/traces.md lists %d traces; testdata has %d", rows, len(names))
	}
}
