package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/loopback"
	"github.com/cactusreel/cactusreel/replay"
	"github.com/cactusreel/cactusreel/settings"
)

// Guards against a recorded trace that the replay can't read.
func TestRecordedTraceReplays(t *testing.T) {
	is := is.New(t)
	platform := httptest.NewServer(nil)
	defer platform.Close()
	target := filepath.Join(t.TempDir(), "trace.jsonl")
	host, err := loopback.Hold()
	is.NoErr(err)
	defer func() { is.NoErr(host.Close()) }()
	callers, err := host.Address()
	is.NoErr(err)
	peers, err := host.Address()
	is.NoErr(err)
	s, err := settings.Parse("test.ini", fmt.Appendf(nil, `[vm]
id = giza-1
data_centre = giza
[listen]
callers = %s
peers = %s
[platform]
log_url = %s
vm_list_url = %s
[times]
balancer_delay = 0s
[logging]
trace = %s
`, callers, peers, platform.URL, platform.URL, target))
	is.NoErr(err)
	events, err := logevent.New(io.Discard, "info")
	is.NoErr(err)
	n, err := NewNode(s, events)
	is.NoErr(err)
	stop := make(chan struct{}, 1)
	stop <- struct{}{}
	is.NoErr(n.Run(context.Background(), stop))

	data, err := os.ReadFile(target)
	is.NoErr(err)
	source := fmt.Sprintf("freshness/giza-1/%016x/2", n.incarnation)
	traceWithOutcome := string(data) + fmt.Sprintf(`{"time":9000000000000,"source":%q,"outcome":{"state":[{"mayStart":false}]}}`, source)
	_, err = replay.Run(context.Background(), target, strings.NewReader(traceWithOutcome))
	is.NoErr(err)
	is.True(strings.Contains(traceWithOutcome, `"machine":"resources"`))
}

// Guards against a daemon that is killed by SIGPIPE when the reader of its standard
// error exits. The test runs its own binary as the writing process.
func TestLostReaderOfStandardError(t *testing.T) {
	is := is.New(t)
	const childEnv = "CACTUSREEL_TEST_TRACE_CHILD"
	if os.Getenv(childEnv) != "" {
		out, err := openTrace("-")
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, os.Stdin) // the parent has closed the reading end
		_, err = out.Write([]byte("line\n"))
		is.True(errors.Is(err, syscall.EPIPE))
		return
	}
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	c := exec.Command(os.Args[0], "-test.run=^TestLostReaderOfStandardError$")
	c.Env = append(os.Environ(), childEnv+"=1")
	c.Stderr = writer
	stdin, err := c.StdinPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	is.NoErr(writer.Close())
	is.NoErr(reader.Close())
	is.NoErr(stdin.Close())
	is.NoErr(c.Wait())
}
