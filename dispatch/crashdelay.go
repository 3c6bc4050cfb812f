package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Delays of the starts of a task, or a gang, under whose isolated starts workers crash again and again.
// It may be healthy, so it never ends by that. The delays bound the crashes if it is not.
const (
	// minCrashDelay is the first delay. Each unit of suspicion doubles it up to maxCrashDelay.
	minCrashDelay = 2 * time.Second
	maxCrashDelay = 10 * time.Minute
	// maxInheritedDelay limits the delay of a task whose crashes another owner saw: takeovers that
	// follow one another, each of which begins the delay anew, must not keep the task from running.
	maxInheritedDelay = time.Minute
)

// CrashDelay returns for how long the start of a task is delayed because of the suspicion that it
// crashes its workers.
func CrashDelay(suspicion int) time.Duration {
	if suspicion < ledger.DelayingSuspicion {
		return 0
	}
	delay := minCrashDelay
	for ; suspicion > ledger.DelayingSuspicion && delay < maxCrashDelay; suspicion-- {
		delay *= 2
	}
	return min(delay, maxCrashDelay)
}

// suspicionOf returns the suspicion against a task that can be run here, or 0.
func (m *Machine) suspicionOf(id workload.TaskID) int {
	e := m.ledger.Find(id.Submission)
	if e == nil || e.State().Final() {
		return 0
	}
	if t := e.Task(id); t != nil && !t.Done && !t.Away {
		return e.Suspicion(t)
	}
	return 0
}

// delayAfterCrash delays the next start of the suspect of an outage, a task or a gang, if the suspicion
// suffices. It is called only if the outage has added to it: a successor finds the last crash again, and
// must not delay the task by all of the time again.
func (m *Machine) delayAfterCrash(o *outage) {
	s := o.suspects[0]
	suspicion := m.suspicionOf(s.Task)
	delay := CrashDelay(suspicion)
	if delay == 0 {
		return
	}
	m.crashes.delayedUntil[unitOf(m.ledger.Find(s.Task.Submission), s.Task)] = m.now + delay
	m.emitDecision(TaskDelayed, s, o.incarnation.Worker, fmt.Sprintf("workers crashed under its isolated starts, suspicion %d", suspicion), delay)
}

// crashDelayLeft returns the time for which a task must not be started yet because workers crashed
// under it.
func (m *Machine) crashDelayLeft(e *ledger.Entry, t *ledger.Task) time.Duration {
	delay := CrashDelay(e.Suspicion(t))
	if delay == 0 {
		return 0
	}
	until, known := m.crashes.delayedUntil[unitOf(e, t.ID)]
	if !known {
		until = m.now + min(delay, maxInheritedDelay)
		m.crashes.delayedUntil[unitOf(e, t.ID)] = until
	}
	return max(0, until-m.now)
}

// forgetDelays forgets the delays of tasks that are not run here, or not suspected, any more.
func (m *Machine) forgetDelays() {
	for id := range m.crashes.delayedUntil {
		if m.suspicionOf(id) == 0 {
			delete(m.crashes.delayedUntil, id)
		}
	}
}

// mustWait reports whether a suspect must not be started now.
func (m *Machine) mustWait(e *ledger.Entry, t *ledger.Task) bool {
	return m.awaitsDecision(e, t) || m.crashDelayLeft(e, t) > 0
}

// dumpDelayed returns the tasks whose starts are delayed, in ascending order of name.
func (m *Machine) dumpDelayed() []DelayedTask {
	var out []DelayedTask
	for id, until := range m.crashes.delayedUntil {
		e := m.ledger.Find(id.Submission)
		if e == nil || until <= m.now {
			continue
		}
		out = append(out, DelayedTask{
			Submission: id.Submission, Task: id.Name(), Suspicion: e.Suspicion(e.Task(id)), LeftMillis: (until - m.now).Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b DelayedTask) int { return cmp.Compare(a.Task, b.Task) })
	return out
}
