package e2e

import (
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cactusreel/cactusreel/checker"
)

// recordEvent adds an event to the history, with the current time of the
// stand-in's clock.
func (c *cluster) recordEvent(e checker.Event) {
	e.At = time.Since(c.started) + c.clockOffset
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
}

// checkHistory merges the events of the stand-in and of the test, and reports
// every violation.
func (c *cluster) checkHistory() []checker.Event {
	c.t.Helper()
	response, err := http.Get("http://" + c.adminAddress + "/events")
	if err != nil {
		c.t.Fatal(err)
	}
	defer response.Body.Close()
	history, err := checker.ReadHistory(response.Body)
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
		c.recordEvent(checker.Event{Type: checker.VMLost, VM: vm.name})
	case syscall.SIGTERM:
		c.recordEvent(checker.Event{Type: checker.StopRequested, VM: vm.name})
	}
	if err := vm.process.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

// awaitStop waits for the end of a planned stop and records it.
func (c *cluster) awaitStop(vm *entryVM) {
	c.t.Helper()
	select {
	case code := <-vm.exited:
		c.recordEvent(checker.Event{Type: checker.StopFinished, VM: vm.name, ExitCode: code})
	case <-time.After(awaitTimeout):
		c.t.Fatalf("%s did not stop", vm.name)
	}
}
