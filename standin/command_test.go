package standin_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/standin"
)

// Guards against a command that does not print its addresses, ignores its
// topology, or returns an error after SIGTERM, as it does if closing a listener a
// second time counts as an error.
func TestCommandRunsUntilSIGTERM(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	command := standin.NewCommand()
	command.SetArgs([]string{"--topology", "-", "--append-latency", "0s"})
	command.SetIn(strings.NewReader(`{"dataCentres":[{"name":"sfax-a","workers":3,"worker":{"slots":2}}]}`))
	command.SetOut(writer)
	done := make(chan error, 1)
	go func() {
		done <- command.ExecuteContext(t.Context())
		_ = writer.Close()
	}()
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	is.NoErr(err)
	var addresses standin.Addresses
	is.NoErr(json.Unmarshal(line, &addresses))
	is.Equal(len(addresses.Workers), 3)
	is.Equal(addresses.Workers[2].ID, "sfax-a-w2")
	is.Equal(addresses.Workers[2].Slots, 2)

	postFault := func(body string) int {
		response, err := http.Post("http://"+addresses.Admin+"/fault", "application/json", strings.NewReader(body))
		is.NoErr(err)
		defer response.Body.Close()
		return response.StatusCode
	}
	is.Equal(postFault(`{"kind":"down","target":"worker/sfax-a-w0"}`), http.StatusOK)
	is.Equal(postFault(`{"kind":"down","target":"worker/nowhere"}`), http.StatusNotFound)
	is.Equal(postFault(`{"kind":"slow","target":"log","delay":"-1s"}`), http.StatusBadRequest)
	is.Equal(postFault(`{"kind":"down","target":"log","cuont":1}`), http.StatusBadRequest)
	response, err := http.Get("http://" + addresses.Admin + "/history")
	is.NoErr(err)
	defer response.Body.Close()
	var view standin.HistoryView
	is.NoErr(json.NewDecoder(response.Body).Decode(&view))
	is.Equal(len(view.Workers), 3)
	is.Equal(len(view.Faults), 1)
	lines, err := http.Get("http://" + addresses.Admin + "/events")
	is.NoErr(err)
	defer lines.Body.Close()
	events, err := checker.ReadHistory(lines.Body)
	is.NoErr(err)
	is.Equal(len(events), 3) // the three workers that came up

	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	is.NoErr(<-done)
}

// Guards against example topologies that don't start, or whose sizes differ from
// the two current deployments.
func TestExampleTopologies(t *testing.T) {
	is := is.New(t)
	for name, workers := range map[string]int{"consortium": 65, "bensalama": 50} {
		data, err := os.ReadFile("testdata/" + name + ".json")
		is.NoErr(err)
		topology, err := standin.DecodeTopology(data)
		is.NoErr(err)
		for i := range topology.DataCentres {
			// Fixed ports could be in use by another run of this test.
			topology.DataCentres[i].LogAddress = ""
			topology.DataCentres[i].VMsAddress = ""
		}
		p, err := standin.Start(topology, standin.Options{})
		is.NoErr(err)
		is.Equal(len(p.Addresses().Workers), workers)
		is.Equal(len(p.Addresses().Log), 3)
		is.NoErr(p.Close())
	}
}

// Guards against invalid --entry flags that are accepted or ignored.
func TestCommandRejectsInvalidEntry(t *testing.T) {
	is := is.New(t)
	for _, entry := range []string{"giza/e0", "e0=127.0.0.1:1", "nowhere/e0=127.0.0.1:1", "giza/e0=localhost:1"} {
		command := standin.NewCommand()
		command.SetArgs([]string{"--data-centres", "giza", "--entry", entry})
		command.SetOut(io.Discard)
		is.True(command.ExecuteContext(t.Context()) != nil)
	}
}
