package formats_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/formats"
)

// Guards against a field, message or call that docs/formats.md does not describe, and against
// one there that does not exist any more.
func TestPageListsEveryField(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../docs/formats.md")
	is.NoErr(err)
	listed := make(map[string]int)
	section, name := "", ""
	for line := range strings.Lines(string(data)) {
		switch {
		case strings.HasPrefix(line, "## "):
			section, name = line, ""
		case strings.HasPrefix(line, "### "):
			name = strings.TrimSpace(line[4:])
			listed[section+name]++
		case strings.HasPrefix(line, "| `") && name != "":
			for _, field := range strings.Split(strings.Split(line, " | ")[0], ",") {
				listed[section+name+"."+strings.Trim(field, "| `\n")]++
			}
		}
	}
	want := make(map[string]int)
	for i, path := range []string{"ledger/ledgerpb", "coordinator/coordpb", "record/recordpb", "peer/peerpb"} {
		section := ""
		for line := range strings.Lines(string(data)) {
			if strings.HasPrefix(line, "## ") && strings.Contains(line, "(`"+path+"`)") {
				section = line
			}
		}
		file := formats.Present().File[i]
		for _, m := range file.MessageType {
			want[section+m.GetName()]++
			for _, f := range m.Field {
				want[fmt.Sprintf("%s%s.%s %d", section, m.GetName(), f.GetName(), f.GetNumber())]++
			}
		}
		for _, e := range file.EnumType {
			want[section+e.GetName()]++
			for _, v := range e.Value {
				want[fmt.Sprintf("%s%s.%s %d", section, e.GetName(), v.GetName(), v.GetNumber())]++
			}
		}
		for _, s := range file.Service {
			want[section+s.GetName()]++
			for _, m := range s.Method {
				want[section+s.GetName()+"."+m.GetName()]++
			}
		}
	}
	is.True(len(want) > 400)
	for field := range want {
		if listed[field] != want[field] {
			t.Errorf("%q is listed %d times", field, listed[field])
		}
	}
	for field := range listed {
		if want[field] == 0 {
			t.Errorf("%q is listed and does not exist", field)
		}
	}
}
