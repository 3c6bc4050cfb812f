package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/command"
)

// run executes the program with arguments and returns its exit code and output.
func run(o command.Options, args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	o.Stdout, o.Stderr = &out, &errOut
	if o.Stdin == nil {
		o.Stdin = strings.NewReader("")
	}
	code = command.Main(context.Background(), args, o)
	return code, out.String(), errOut.String()
}

const fiveMistakes = `[vm]
id = giza-entry-1
[listen]
callers = 0.0.0.0
peers = 127.0.1.11:7070
[platform]
log_url = http://127.0.1.1:9000
vm_list_url = http://127.0.1.1:9001
[times]
owner_lease = soon
freshnes = 2s
[limits]
watches = 0
`

// Guards against a check that stops at the first mistake or exits with 0.
func TestSettingsCheckNamesAllFiveMistakes(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "five.ini")
	is.NoErr(os.WriteFile(path, []byte(fiveMistakes), 0o600))
	code, stdout, stderr := run(command.Options{}, "settings", "check", path)
	is.Equal(code, command.ExitUsage)
	is.Equal(stdout, "")
	is.Equal(strings.Count(stderr, path), 5)
	for _, mistake := range []string{
		"[vm] data_centre: missing; accepted: ",
		`[listen] callers: the value is "0.0.0.0"; accepted: an IP address and port`,
		`[times] owner_lease: the value is "soon"; accepted: 1s to 1m`,
		"[times] freshnes: unknown key; accepted: owner_lease, ",
		`[limits] watches: the value is "0"; accepted: 1 to 10000`,
	} {
		is.True(strings.Contains(stderr, path+": "+mistake)) // the mistake is reported
	}
}

// Guards against a check that rejects a valid file.
func TestSettingsCheckAcceptsExample(t *testing.T) {
	is := is.New(t)
	code, stdout, _ := run(command.Options{}, "settings", "check", "../examples/consortium.ini")
	is.Equal(code, command.ExitOK)
	is.Equal(stdout, "../examples/consortium.ini: no mistakes\n")
}

// Guards against pages that differ from the output of the commands.
func TestPagesMatchCommands(t *testing.T) {
	for page, args := range map[string][]string{
		"result-codes.md": {"codes", "--markdown"},
		"log-events.md":   {"events", "--markdown"},
		"settings.md":     {"settings", "reference"},
	} {
		is := is.New(t)
		want, err := os.ReadFile("../docs/" + page)
		is.NoErr(err)
		code, stdout, _ := run(command.Options{}, args...)
		is.Equal(code, command.ExitOK)
		is.Equal(stdout, string(want))
	}
}

// Guards against a command that the operators' guide does not mention.
func TestGuideNamesEveryCommand(t *testing.T) {
	is := is.New(t)
	guide, err := os.ReadFile("../docs/operators.md")
	is.NoErr(err)
	commands := command.New(command.Options{}).Commands()
	is.True(len(commands) >= 16)
	for _, c := range commands {
		if !strings.Contains(string(guide), "`"+c.Name()) {
			t.Errorf("docs/operators.md does not mention %s", c.Name())
		}
	}
}
