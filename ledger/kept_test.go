package ledger_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/cactusreel/cactusreel/formats"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

var keep = flag.String("keep", "", "name of this version, of which records and snapshots are to be kept")

// keptIDs are the submissions of the kept records.
var keptIDs = []string{"all", "done", "failed", "cancelled", "moved", "crash", "guest", "begun"}

// Guards against a version that reads what an earlier one wrote in another way, or leaves a
// part of it out.
func TestKeptFormatsAreRead(t *testing.T) {
	is := is.New(t)
	if *keep != "" {
		keepPresent(is, filepath.Join("testdata/kept", *keep))
	}
	kept, err := filepath.Glob("testdata/kept/*/records.binpb")
	is.NoErr(err)
	is.True(len(kept) > 0)
	seen := make(map[string]bool)
	for _, path := range kept {
		dir := filepath.Dir(path)
		l := ledger.New()
		for _, data := range readKept(is, filepath.Join(dir, "records.binpb")) {
			r, err := ledger.Decode(data)
			is.NoErr(err)
			noteFields(t, dir, r.ProtoReflect(), seen)
			l.Apply(r)
		}
		is.Equal(keptState(is, l), readText(is, filepath.Join(dir, "records.json")))

		l = ledger.New()
		parts, err := ledger.DecodeSnapshot(readKept(is, filepath.Join(dir, "snapshot.binpb")))
		is.NoErr(err)
		is.Equal(len(parts), 3)
		for _, p := range parts {
			noteFields(t, dir, p.ProtoReflect(), seen)
		}
		is.Equal(l.ApplySnapshot(parts), ledger.Offsets{Cell: 35, Intake: 12})
		is.Equal(keptState(is, l), readText(is, filepath.Join(dir, "snapshot.json")))
	}
	requireReleasedFields(t, seen)
}

// noteFields notes the fields that a message has, and reports those that this version
// doesn't read.
func noteFields(t *testing.T, dir string, m protoreflect.Message, seen map[string]bool) {
	if len(m.GetUnknown()) > 0 {
		t.Errorf("%s: %s has a field that this version doesn't read", dir, m.Descriptor().Name())
	}
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		seen[string(f.Parent().Name()+"."+f.Name())] = true
		switch {
		case f.Message() != nil && f.IsList():
			for i := range v.List().Len() {
				noteFields(t, dir, v.List().Get(i).Message(), seen)
			}
		case f.Message() != nil:
			noteFields(t, dir, v.Message(), seen)
		}
		return true
	})
}

// requireReleasedFields reports fields of the released version that no kept file has.
func requireReleasedFields(t *testing.T, seen map[string]bool) {
	is := is.New(t)
	data, err := os.ReadFile("../formats/testdata/released.binpb")
	is.NoErr(err)
	released, err := formats.Decode(data)
	is.NoErr(err)
	for _, m := range released.File[0].MessageType {
		for _, f := range m.Field {
			if name := m.GetName() + "." + f.GetName(); !seen[name] {
				t.Errorf("no kept record or snapshot has %s", name)
			}
		}
	}
}

// keptState shows all that a ledger holds of the kept submissions.
func keptState(is *is.I, l *ledger.Ledger) string {
	type entry struct {
		workload.Submission
		State       string
		Guest       bool
		Suspected   bool
		Occurrences []*ledger.Occurrence
	}
	silences := make(map[string][]ledger.Silence)
	for _, w := range l.SilentWorkers() {
		silences[fmt.Sprint(w)] = l.Silences(w)
	}
	var live []string
	for _, e := range l.Live() {
		live = append(live, e.ID)
	}
	var out strings.Builder
	show := func(part any) {
		data, err := json.Marshal(part)
		is.NoErr(err)
		var value any
		is.NoErr(json.Unmarshal(data, &value))
		is.NoErr(json.NewEncoder(&out).Encode(withoutZeros(value)))
	}
	for _, part := range []any{l.Owner(), l.Witnesses(), l.InterferenceModel(), silences, live} {
		show(part)
	}
	// The submission of an early cancellation is cancelled when it arrives.
	is.Equal(l.Find("early"), nil)
	l.Apply(ledger.SubmittedRecord(&workload.Submission{ID: "early", Steps: []workload.Step{{Tasks: 1}}}))
	is.Equal(l.Find("early").State(), workload.Cancelled)
	for _, id := range keptIDs {
		e := l.Find(id)
		shown := entry{Submission: e.Submission, State: e.State().String(), Guest: e.Guest(), Suspected: e.EverSuspected()}
		shown.StartAt, shown.AcceptedAt = shown.StartAt.UTC(), shown.AcceptedAt.UTC()
		for i := range e.OccurrenceCount() {
			if len(e.Steps) > 0 {
				shown.Occurrences = append(shown.Occurrences, e.Occurrence(i))
			}
		}
		show(shown)
	}
	return out.String()
}

// withoutZeros returns a JSON value without the members of objects that are zero, so that a
// field that a later version adds changes no state of an earlier one.
func withoutZeros(value any) any {
	switch v := value.(type) {
	case map[string]any:
		for key, member := range v {
			if member = withoutZeros(member); member == nil {
				delete(v, key)
			} else {
				v[key] = member
			}
		}
		if len(v) == 0 {
			return nil
		}
	case []any:
		for i := range v {
			v[i] = withoutZeros(v[i])
		}
		if len(v) == 0 {
			return nil
		}
	case string, float64, bool:
		if v == "" || v == 0.0 || v == false {
			return nil
		}
	}
	return value
}

// keepPresent writes the records, a snapshot in three parts and the states that they amount to.
func keepPresent(is *is.I, dir string) {
	is.NoErr(os.MkdirAll(dir, 0o755))
	l := ledger.New()
	var records [][]byte
	for line := range strings.Lines(readText(is, "testdata/kept/records.txtpb")) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		r := new(ledgerpb.Record)
		is.NoErr(prototext.Unmarshal([]byte(line), r))
		data, err := ledger.Encode(r)
		is.NoErr(err)
		records = append(records, data)
		l.Apply(r)
	}
	run := func(submission string, index int) workload.RunID {
		return workload.RunID{Task: workload.TaskID{Submission: submission, Index: index}, Run: 1}
	}
	whole := l.SnapshotWith(ledger.Offsets{Cell: 35, Intake: 12}, []workload.RunID{run("cancelled", 0), run("failed", 1)})
	is.Equal(len(whole), 1)
	p := whole[0]
	split := []*ledgerpb.Snapshot{
		{Owner: p.Owner, Learned: p.Learned, Witnesses: p.Witnesses, Silent: p.Silent, Live: p.Live[:2]},
		{Live: p.Live[2:], Settled: p.Settled[:1]},
		{Settled: p.Settled[1:]},
	}
	for i, part := range split {
		part.Format = p.Format
		part.CellNext, part.IntakeNext, part.Part, part.Parts = p.CellNext, p.IntakeNext, int32(i), 3
	}
	parts, err := ledger.EncodeSnapshot(split)
	is.NoErr(err)
	restored := ledger.New()
	decoded, err := ledger.DecodeSnapshot(parts)
	is.NoErr(err)
	restored.ApplySnapshot(decoded)
	write := func(name string, data []byte) { is.NoErr(os.WriteFile(filepath.Join(dir, name), data, 0o644)) }
	write("records.binpb", delimited(records))
	write("snapshot.binpb", delimited(parts))
	write("records.json", []byte(keptState(is, l)))
	write("snapshot.json", []byte(keptState(is, restored)))
}

// delimited puts the length of each message before it.
func delimited(messages [][]byte) []byte {
	var out []byte
	for _, m := range messages {
		out = protowire.AppendBytes(out, m)
	}
	return out
}

func readKept(is *is.I, path string) [][]byte {
	data, err := os.ReadFile(path)
	is.NoErr(err)
	var messages [][]byte
	for len(data) > 0 {
		m, n := protowire.ConsumeBytes(data)
		is.True(n > 0)
		messages, data = append(messages, bytes.Clone(m)), data[n:]
	}
	return messages
}

func readText(is *is.I, path string) string {
	data, err := os.ReadFile(path)
	is.NoErr(err)
	return string(data)
}
