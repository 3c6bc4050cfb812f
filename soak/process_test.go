package soak_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// process is one coordinator.
type process struct {
	t        *testing.T
	name     string
	binary   string
	dir      string
	store    *link
	callers  string
	ready    string
	peers    string
	command  *exec.Cmd
	finished chan struct{}
	starts   int
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func newProcess(t *testing.T, binary, name, store string) *process {
	p := &process{t: t, name: name, binary: binary, dir: t.TempDir()}
	var err error
	if p.store, err = newLink(store); err != nil {
		t.Fatal(err)
	}
	for _, address := range []*string{&p.callers, &p.ready, &p.peers} {
		if *address, err = freeAddress(); err != nil {
			t.Fatal(err)
		}
	}
	settings := fmt.Sprintf("[vm]\nname = %s\ndata_centre = giza\n[listen]\ncallers = %s\nreadiness = %s\npeers = %s\n[store]\naddress = %s\n[times]\nlease_limit = 5s\ngrace = 3s\n[limits]\ncells = 2\n",
		name, p.callers, p.ready, p.peers, p.store.address())
	if err := os.WriteFile(p.settings(), []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *process) settings() string { return filepath.Join(p.dir, "coordinator.ini") }

// logPath is the file of all lives of the process.
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
	p.command = exec.Command(p.binary, "coordinator", "--settings", p.settings())
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.finished = make(chan struct{})
	go func(command *exec.Cmd, finished chan struct{}) {
		_ = command.Wait()
		_ = out.Close()
		close(finished)
	}(p.command, p.finished)
}

func (p *process) running() bool {
	if p.finished == nil {
		return false
	}
	select {
	case <-p.finished:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		// The process may have ended since; then there is nothing to signal.
		_ = p.command.Process.Signal(s)
	}
}

// end ends the process and waits for it.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	if p.finished != nil {
		<-p.finished
	}
}

// stopAndStart stops the process gracefully and starts it when it has ended.
func (p *process) stopAndStart() {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.finished:
	case <-time.After(10 * time.Second):
		p.t.Errorf("%s did not stop within 10 s", p.name)
		p.end()
	}
	p.start()
}
