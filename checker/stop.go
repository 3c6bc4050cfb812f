package checker

import "time"

// stopChecker checks I9: a planned stop ends with exit code 0, and no request
// that is in progress at the VM is cut off.
type stopChecker struct {
	// stopping are the VMs with a planned stop, until they are started again or lost.
	stopping map[string]bool
	// sentTo is the VM to which each unanswered try was sent.
	sentTo map[tryKey]string
}

type tryKey struct {
	caller   string
	sequence int64
}

func newStopChecker() *stopChecker {
	return &stopChecker{stopping: make(map[string]bool), sentTo: make(map[tryKey]string)}
}

func (c *stopChecker) observe(index int, e Event) []Violation {
	key := tryKey{e.Caller, e.Sequence}
	switch e.Type {
	case RequestSent:
		c.sentTo[key] = e.VM
	case RequestAnswered:
		vm := c.sentTo[key]
		delete(c.sentTo, key)
		broken := e.Result == NoAnswer || (e.Result == Answered && !e.Complete)
		if broken && c.stopping[vm] {
			return violated(GracefulStop, index, e, "request %s was cut off during the planned stop of %s", e.Request, vm)
		}
	case StopRequested:
		c.stopping[e.VM] = true
	case StopFinished:
		if e.ExitCode != 0 {
			return violated(GracefulStop, index, e, "planned stop of %s ended with exit code %d", e.VM, e.ExitCode)
		}
	case VMStarted:
		c.restarted(e.VM)
	case VMLost:
		delete(c.stopping, e.VM)
	}
	return nil
}

// restarted ends the stop of a VM. A try that was sent to its previous process, and is
// reported as cut off only now, still counts.
func (c *stopChecker) restarted(vm string) {
	if !c.stopping[vm] {
		return
	}
	delete(c.stopping, vm)
	for key, sentTo := range c.sentTo {
		if sentTo == vm {
			c.sentTo[key] = stoppedProcess
		}
	}
	c.stopping[stoppedProcess] = true
}

// stoppedProcess stands for the processes that a planned stop has ended.
const stoppedProcess = "(stopped)"

func (c *stopChecker) finish(int, time.Duration) []Violation { return nil }
