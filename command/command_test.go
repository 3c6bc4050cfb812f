package command_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/command"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/settings"
)

// entryVM is a fake entry VM whose operations take effect immediately.
type entryVM struct {
	store *resources.Store
	// submitErr is returned for operations on resources with this name.
	submitErrFor string
	submitErr    error
}

func (e *entryVM) View() *resources.View                        { return e.store.View() }
func (e *entryVM) Ready() error                                 { return nil }
func (e *entryVM) NewRequestID(context.Context) (string, error) { return "", nil }
func (e *entryVM) Statuses(_ context.Context, list []api.Resource) ([]api.Status, error) {
	return slices.Repeat([]api.Status{{Running: 17, UnknownCells: 2, Conditions: []api.Condition{{Type: "Placed", Status: api.ConditionFalse, Reason: "NoRoom", Message: "no worker has room"}}}}, len(list)), nil
}
func (e *entryVM) Submit(_ context.Context, op resources.Operation) (resources.Outcome, error) {
	if e.submitErr != nil && op.Name == e.submitErrFor {
		return resources.Outcome{}, e.submitErr
	}
	outcomes, err := e.store.Apply(e.store.View().Offset()+1, op)
	return outcomes[0], err
}

// startEntryVM serves a fake entry VM and makes it the default server.
func startEntryVM(t *testing.T) *entryVM {
	e := &entryVM{store: resources.New(resources.Limits{})}
	mux := http.NewServeMux()
	mux.Handle("/v1/", operator.New(operator.Config{Store: e, Readiness: e, Submitter: e, Status: e, RequestIDs: e}))
	mux.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"cells":[]}`) })
	server := httptest.NewServer(mux)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	t.Setenv("CACTUSREEL_SERVERS", server.URL)
	return e
}

// Guards against subcommands with wrong effects, exit codes or output. The rows
// share an entry VM and run in order.
func TestOperatorCommands(t *testing.T) {
	startEntryVM(t)
	for _, row := range []struct {
		args     string
		code     int
		contains string
	}{
		{"apply -f ../examples/consortium.json", 0, "datacentres/giza applied, version 1\n"},
		{"apply -f ../examples/consortium.json --create", 1, "16 of 16 resources were refused"},
		{"get datacentres", 0, "NAME        VERSION  IN SERVICE  CELLS  DRAIN\ngiza        1        yes         4      120s\n"},
		{"get service menus", 0, "menus  11       caterers  menu-web  24        17       0        80ms        normal       8c 24576MiB\n"},
		{"get weights -o json", 0, `"tailLatency": 100`},
		{"get clusters", 2, "accepted: services, jobs"},
		{"get services -o yaml", 2, "accepted: table or json"},
		{"get pools none", 1, "NotFound (2002): pools/none does not exist"},
		{"describe job menu-planning", 0, "Condition:  Placed is false (NoRoom): no worker has room\n"},
		{"describe job menu-planning", 0, "Unknown:    2 cells did not answer"},
		{"take-out giza --if-version 9", 1, "Conflict (2003)"},
		{"take-out giza --operation-id op-1", 0, "datacentres/giza taken out of service, version 34\n"},
		{"take-out giza --operation-id op-1", 0, "version 34 (by an earlier operation with this id)\n"},
		{"delete datacentre giza --operation-id op-1", 1, "was used for another operation"},
		{"apply -f ../examples/consortium.json", 1, "datacentres/giza refused: Conflict (2003): datacentres/giza is out of service"},
		{"bring-back giza", 0, "brought back into service"},
		{"cancel daily-orders", 0, "jobs/daily-orders cancelled"},
		{"delete job daily-orders", 0, "jobs/daily-orders deleted, version 0"},
		{"delete job daily-orders", 1, "NotFound"},
		{"delete job", 2, "accepts 2 arg(s)"},
		{"dump", 0, `{"cells":[]}`},
		{"dump --server ftp://x", 2, "--server"},
		{"dump --timeout 0s", 2, "--timeout"},
		{"apply", 2, "-f FILE"},
		{"apply -f none.json", 1, "no such file"},
		{"version", 0, "cactusreel 1.2 (go"},
		{"completion bash", 0, "bash completion"},
		{"completion tcsh", 2, "invalid argument"},
		{"codes", 0, "NotRunLogUnavailable"},
		{"events", 0, "CellClaimed"},
		{"settings", 2, "needs a subcommand"},
	} {
		t.Run(row.args, func(t *testing.T) {
			code, stdout, stderr := run(command.Options{Version: "1.2"}, strings.Fields(row.args)...)
			if code != row.code || !strings.Contains(stdout+stderr, row.contains) {
				t.Errorf("exit code %d, want %d; output should contain %q:\n%s%s", code, row.code, row.contains, stdout, stderr)
			}
		})
	}
}

// Guards against output of get that apply can't read, and against an edit that
// overwrites a newer version.
func TestGetThenApply(t *testing.T) {
	is := is.New(t)
	startEntryVM(t)
	run(command.Options{}, "apply", "-f", "../examples/bensalama.json")
	_, services, _ := run(command.Options{}, "get", "services", "-o", "json")
	code, _, stderr := run(command.Options{Stdin: strings.NewReader(services)}, "apply", "-f", "-")
	is.Equal(stderr, "")
	is.Equal(code, command.ExitOK)
	code, _, stderr = run(command.Options{Stdin: strings.NewReader(services)}, "apply", "-f", "-")
	is.Equal(code, command.ExitFailed)
	is.True(strings.Contains(stderr, "Conflict")) // the versions in the file are old now
}

// Guards against reporting an unknown outcome as a failure, and against writing a
// part of a file of which another part is invalid.
func TestApplyFailures(t *testing.T) {
	is := is.New(t)
	e := startEntryVM(t)
	e.submitErrFor, e.submitErr = "b", errors.New("answer lost")
	file := `{"kind":"pools","name":"a","pool":{}} {"kind":"pools","name":"b","pool":{}} {"kind":"pools","name":"c","pool":{}}`
	code, stdout, stderr := run(command.Options{Stdin: strings.NewReader(file)}, "apply", "-f", "-", "--operation-id", "op")
	is.Equal(code, command.ExitOutcomeUnknown)
	is.Equal(stdout, "pools/a applied, version 1\n")
	is.True(strings.Contains(stderr, "1 of 3 resources were not tried"))
	is.True(strings.Contains(stderr, "--operation-id op "))
	e.submitErr = nil
	code, stdout, _ = run(command.Options{Stdin: strings.NewReader(file)}, "apply", "-f", "-", "--operation-id", "op")
	is.Equal(code, command.ExitOK)
	is.True(strings.HasPrefix(stdout, "pools/a applied, version 1 (by an earlier")) // not written twice

	before := e.View().Offset()
	bad := file + `{"kind":"pools","name":"d","pool":{"workers":[""]}}`
	code, _, stderr = run(command.Options{Stdin: strings.NewReader(bad)}, "apply", "-f", "-")
	is.Equal(code, command.ExitFailed)
	is.True(strings.Contains(stderr, "document 4: pool.workers[0]"))
	is.Equal(e.View().Offset(), before)

	e.submitErrFor, e.submitErr = "a", result.Errorf(result.NotRunLogUnavailable, "log is down")
	code, _, _ = run(command.Options{}, "delete", "pool", "a")
	is.Equal(code, command.ExitFailed)
	e.submitErr = result.Errorf(result.WriteOutcomeUnknown, "not read back")
	code, _, stderr = run(command.Options{}, "delete", "pool", "a", "--operation-id", "x7")
	is.Equal(code, command.ExitOutcomeUnknown)
	is.True(strings.Contains(stderr, "--operation-id x7"))
}

// cancelOnText cancels a context after a text has been written to it.
type cancelOnText struct {
	strings.Builder
	text string
	stop context.CancelFunc
}

func (w *cancelOnText) Write(p []byte) (int, error) {
	n, err := w.Builder.Write(p)
	if strings.Contains(w.String(), w.text) {
		w.stop()
	}
	return n, err
}

// Guards against a watch that shows no changes or does not end when it is
// interrupted.
func TestWatch(t *testing.T) {
	is := is.New(t)
	startEntryVM(t)
	run(command.Options{}, "apply", "-f", "../examples/consortium.json")
	ctx, stop := context.WithCancel(context.Background())
	out := &cancelOnText{text: "pools/giza-only", stop: stop}
	code := command.Main(ctx, []string{"watch", "pools"}, command.Options{Stdout: out, Stderr: io.Discard})
	is.Equal(code, command.ExitOK)
	is.Equal(out.String(), "put    8\tpools/general\nput    9\tpools/giza-only\n")
}

// Guards against starting the daemon or a replay with invalid input, and against
// losing their exit codes.
func TestEntryAndReplayFunctions(t *testing.T) {
	is := is.New(t)
	var startedWith settings.Entry
	o := command.Options{
		Entry: func(_ context.Context, s settings.Entry) error {
			startedWith = s
			return fmt.Errorf("stop: %w", &command.ExitError{Code: command.ExitCutOff, Err: errors.New("2 requests cut off")})
		},
		Replay: func(_ context.Context, paths []string, w io.Writer) error {
			_, err := fmt.Fprint(w, paths)
			return err
		},
	}
	code, _, stderr := run(o, "entry", "--settings", "../examples/bensalama.ini")
	is.Equal(code, command.ExitCutOff)
	is.Equal(stderr, "cactusreel: stop: 2 requests cut off\n")
	is.Equal(startedWith.VM, "sfax-a-entry-1")
	code, stdout, _ := run(o, "replay", "a", "b")
	is.Equal(code, command.ExitOK)
	is.Equal(stdout, "[a b]")

	bad := filepath.Join(t.TempDir(), "bad.ini")
	is.NoErr(os.WriteFile(bad, []byte("[vm]\n"), 0o600))
	startedWith = settings.Entry{}
	for _, args := range [][]string{{"entry"}, {"entry", "--settings", bad}, {"entry", "--settings", bad + "x"}, {"replay"}} {
		code, _, _ = run(o, args...)
		is.Equal(code, command.ExitUsage)
	}
	is.Equal(startedWith, settings.Entry{}) // the daemon was not started
	code, _, stderr = run(command.Options{}, "entry", "--settings", "../examples/bensalama.ini")
	is.Equal(code, command.ExitFailed)
	is.True(strings.Contains(stderr, "no daemon"))
}
