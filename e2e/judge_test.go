package e2e

import (
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cactusreel/cactusreel/checker"
)

// note adds an observation with the stand-in's time.
func (c *cluster) note(e checker.Event) {
	e.At = time.Since(c.started) + c.offset
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// judge merges all observations and reports every breach.
func (c *cluster) judge() []checker.Event {
	c.t.Helper()
	answer, err := http.Get("http://" + c.admin + "/events")
	if err != nil {
		c.t.Fatal(err)
	}
	defer answer.Body.Close()
	history, err := checker.ReadHistory(answer.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	history = append(history, c.events...)
	c.mu.Unlock()
	slices.SortStableFunc(history, func(a, b checker.Event) int { return int(a.At - b.At) })
	violations, err := checker.Check(history, checker.DefaultBounds())
	if err != nil {
		c.t.Fatal(err)
	}
	for _, v := range violations {
		c.t.Error(v)
	}
	return history
}

func (c *cluster) signal(vm *entryVM, s syscall.Signal) {
	c.t.Helper()
	switch s {
	case syscall.SIGKILL:
		c.note(checker.Event{Type: checker.VMLost, VM: vm.name})
	case syscall.SIGTERM:
		c.note(checker.Event{Type: checker.StopRequested, VM: vm.name})
	}
	if err := vm.process.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// stopped waits for the end of a planned stop.
func (c *cluster) stopped(vm *entryVM) {
	c.t.Helper()
	select {
	case code := <-vm.exited:
		c.note(checker.Event{Type: checker.StopFinished, VM: vm.name, ExitCode: code})
	case <-time.After(patience):
		c.t.Fatalf("%s did not stop", vm.name)
	}
}
