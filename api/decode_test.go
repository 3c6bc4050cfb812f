package api_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
)

const validService = `{"kind":"services","name":"register","service":{"team":"caterers","taskKind":"web","replicas":3,
	"requests":{"milliCPU":2000,"memoryMiB":4096,"accelerators":0},"targetP99Millis":50}}`

// fieldsOf returns the fields that the faults in err name.
func fieldsOf(err error) []string {
	var faults api.Faults
	errors.As(err, &faults)
	var fields []string
	for _, f := range faults {
		fields = append(fields, f.Field)
	}
	return fields
}

// Guards against a report that stops at the first fault, and against a message
// without the value or what is accepted.
func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := api.Parse([]byte(`{"kind":"services","name":"Register","surprise":1,"service":{"team":null,"taskKind":"web",
		"replicas":"three","requests":{"milliCPU":0.5,"memoryMiB":-1,"accelerators":0,"accelerators":1},
		"targetP99Millis":70000,"criticality":"utmost","idempotentMethods":["GET","get","GET"]}}`))
	is.Equal(fieldsOf(err), []string{
		"service.requests.accelerators", "surprise", "service.team", "service.replicas", "service.requests.milliCPU",
		"name", "service.requests.memoryMiB", "service.targetP99Millis", "service.idempotentMethods[1]",
		"service.idempotentMethods[2]", "service.criticality",
	})
	is.True(strings.Contains(err.Error(), `service.replicas is "three"; accepted: a whole number`))
	is.True(strings.Contains(err.Error(), "service.targetP99Millis is 70000; accepted: 1 to 60000"))
}

// Guards against a rule that is not enforced; each row breaks one rule.
func TestParseRules(t *testing.T) {
	for _, c := range []struct{ name, document, field string }{
		{"no kind", `{"name":"a"}`, "kind"},
		{"unknown kind", `{"kind":"service","name":"a"}`, "kind"},
		{"long name", `{"kind":"teams","name":"` + strings.Repeat("a", 64) + `","team":{"quota":{}}}`, "name"},
		{"dot in name", `{"kind":"datacentres","name":"sfax.a","dataCentre":{"inService":true}}`, "name"},
		{"no spec", `{"kind":"teams","name":"a"}`, "team"},
		{"second spec", `{"kind":"teams","name":"a","team":{"quota":{}},"pool":{}}`, "pool"},
		{"weights with another name", `{"kind":"weights","name":"a","weights":{"evictions":1}}`, "name"},
		{"weight over 100", `{"kind":"weights","name":"default","weights":{"evictions":101}}`, "weights.evictions"},
		{"no weight", `{"kind":"weights","name":"default","weights":{}}`, "weights"},
		{"cells", `{"kind":"datacentres","name":"a","dataCentre":{"cells":65}}`, "dataCentre.cells"},
		{"drain", `{"kind":"datacentres","name":"a","dataCentre":{"drainSeconds":-1}}`, "dataCentre.drainSeconds"},
		{"quota", `{"kind":"teams","name":"a","team":{"quota":{"milliCPU":-1}}}`, "team.quota.milliCPU"},
		{"pool worker", `{"kind":"pools","name":"a","pool":{"workers":["vm 1"]}}`, "pool.workers[0]"},
		{"huge number", `{"kind":"pools","name":"a","version":99999999999999999999,"pool":{}}`, "version"},
		{"wrong case", `{"kind":"pools","Name":"a","pool":{}}`, "Name"},
		{"not an object", `[1]`, "the document"},
		{"deep", strings.Repeat(`{"a":`, 40) + `1` + strings.Repeat(`}`, 40), "the document"},
		{"two values", `{} {}`, "the document"},
		{"not UTF-8", "{\"kind\":\"\xff\"}", "the document"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := api.Parse([]byte(c.document))
			is.True(err != nil)
			is.True(strings.Contains(" "+strings.Join(fieldsOf(err), " ")+" ", " "+c.field+" ")) // a fault names the field
		})
	}
}

// Guards against parsing a document before its size is checked.
func TestSizeLimits(t *testing.T) {
	is := is.New(t)
	_, err := api.Parse(make([]byte, api.MaxDocumentBytes+1))
	is.True(errors.Is(err, api.ErrTooLarge))
	_, err = api.ParseAll(make([]byte, api.MaxFileBytes+1))
	is.True(errors.Is(err, api.ErrTooLarge))
	_, err = api.ParseAll([]byte("[" + strings.Repeat("1,", api.MaxDocuments) + "1]"))
	is.True(errors.Is(err, api.ErrTooLarge))
}

// Guards against a file format that is not accepted (array, JSON lines), and a
// fault without the number of its document.
func TestParseAllFormats(t *testing.T) {
	is := is.New(t)
	second := strings.Replace(validService, "register", "menu", 1)
	for _, file := range []string{"[" + validService + "," + second + "]", validService + "\n" + second + "\n"} {
		list, err := api.ParseAll([]byte(file))
		is.NoErr(err)
		is.Equal(list[1].Name, "menu")
		is.Equal(list[1].Service.ProgressMillis, int64(api.DefaultProgressMillis))
	}
	_, err := api.ParseAll([]byte(validService + validService + `{"kind":"pools","name":"_","pool":{}}`))
	is.True(strings.Contains(err.Error(), `document 2: name is "register"; accepted: a name that document 1`))
	is.True(strings.Contains(err.Error(), `document 3: name is "_"`))
	_, err = api.ParseAll([]byte(validService + "{"))
	is.True(strings.Contains(err.Error(), "document 2: the document is malformed"))
	_, err = api.ParseAll(nil)
	is.True(err != nil)
}

// Guards against writing a document to a path that names another resource.
func TestParseNamed(t *testing.T) {
	is := is.New(t)
	r, err := api.ParseNamed(api.KindPool, "a", []byte(`{"pool":{}}`))
	is.NoErr(err)
	is.Equal(r.Meta, api.Meta{Kind: api.KindPool, Name: "a"})
	_, err = api.ParseNamed(api.KindPool, "a", []byte(`{"kind":"teams","name":"b","team":{"quota":{}}}`))
	is.Equal(fieldsOf(err), []string{"kind", "name"})
}

// Guards against example files that the program would reject.
func TestExampleFilesParse(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../examples/*.json")
	is.NoErr(err)
	is.Equal(len(files), 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		_, err = api.ParseAll(data)
		is.NoErr(err)
	}
}

// Guards against a panic in the decoder, and against an accepted document that
// changes when it is encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validService))
	f.Add([]byte(`{"kind":"jobs","name":"a","job":{"team":"t","taskKind":"k","tasks":1,"runSeconds":1,"requests":{"milliCPU":1,"memoryMiB":1}}}`))
	f.Add([]byte(`{"kind":"weights","name":"default","weights":{"throughput":100}}`))
	f.Add([]byte(`[{"kind":"pools","name":"p","pool":{"workers":["vm-1"]},"status":{"pending":1}}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = api.ParseAll(data)
		first, err := api.Parse(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := api.Parse(encoded)
		if err != nil {
			t.Fatalf("%s is accepted but its encoding is not: %v", data, err)
		}
		again, _ := json.Marshal(second)
		if !reflect.DeepEqual(encoded, again) {
			t.Fatalf("%s changes to %s", encoded, again)
		}
	})
}

func ExampleParse() {
	_, err := api.Parse([]byte(`{"kind": "weights", "name": "default", "weights": {"tailLatency": 101, "speed": 3}}`))
	fmt.Println(err)
	// Output:
	// weights.speed is unknown; accepted: the fields tailLatency, dataCentreChanges, evictions, throughput
	// weights.tailLatency is 101; accepted: 0 to 100
}
