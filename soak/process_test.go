package soak_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/loopback"
)

// process is a coordinator process with its settings and its proxy to the store.
type process struct {
	t                *testing.T
	name             string
	binary           string
	dir              string
	storeProxy       *proxy
	callerAddress    string
	readinessAddress string
	peerAddress      string
	command          *exec.Cmd
	exited           chan struct{}
	starts           int
}

func newProcess(t *testing.T, binary, name, storeAddress string, cells int) *process {
	p := &process{t: t, name: name, binary: binary, dir: t.TempDir()}
	var err error
	if p.storeProxy, err = newProxy(storeAddress); err != nil {
		t.Fatal(err)
	}
	host, err := loopback.Hold()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = host.Close() })
	for _, address := range []*string{&p.callerAddress, &p.readinessAddress, &p.peerAddress} {
		if *address, err = host.Address(); err != nil {
			t.Fatal(err)
		}
	}
	settings := fmt.Sprintf("[vm]\nname = %s\ndata_centre = giza\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\n[store]\naddress = %s\n[times]\nlease_limit = 5s\ngrace = 3s\n[limits]\ncells = %d\n[logging]\nlines_per_second = 4000\n",
		name, p.callerAddress, p.readinessAddress, p.peerAddress, p.storeProxy.address(), cells)
	if err := os.WriteFile(p.settingsPath(), []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) settingsPath() string { return filepath.Join(p.dir, "coordinator.ini") }

// logPath returns the path of the log file, to which all incarnations of the
// process append.
func (p *process) logPath() string { return filepath.Join(p.dir, "log.json") }

func (p *process) start() {
	if p.running() {
		return
	}
	p.starts++
	out, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	p.command = exec.Command(p.binary, "coordinator", "--settings", p.settingsPath())
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = out.Close()
		close(exited)
	}(p.command, p.exited)
}

func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		// The process may have exited since the check; the error is then expected.
		_ = p.command.Process.Signal(s)
	}
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if p.exited != nil {
		<-p.exited
	}
}

// restartGracefully stops the process with SIGTERM and starts it again after its
// exit.
func (p *process) restartGracefully() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(10 * time.Second):
		p.t.Errorf("%s did not stop within 10 s", p.name)
		p.kill()
	}
	p.start()
}

// isReady reports whether the process says that it can accept submissions.
func (p *process) isReady() bool {
	response, err := http.Get("http://" + p.readinessAddress + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// reportedLines is the number of lines of a process's log that a failed test prints.
const reportedLines = 40

// report returns whether the process runs, or how it exited, and the end of its log.
func (p *process) report() string {
	state := "was not started"
	if p.running() {
		state = "runs"
	} else if p.exited != nil {
		state = "has exited: " + p.command.ProcessState.String()
	}
	data, err := os.ReadFile(p.logPath())
	if err != nil {
		return fmt.Sprintf("%s %s; its log can't be read: %v", p.name, state, err)
	}
	lines := bytes.Split(bytes.TrimSpace(data), []byte("\n"))
	return fmt.Sprintf("%s at %s %s, start %d; its log ends with:\n%s", p.name, p.readinessAddress, state, p.starts,
		bytes.Join(lines[max(0, len(lines)-reportedLines):], []byte("\n")))
}
