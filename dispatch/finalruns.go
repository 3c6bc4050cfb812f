package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Limits of the reports on runs that should not exist.
const (
	// finalRunReportDelay is how long a submission must have been final until a run that it
	// still has is reported. A stop takes one second, a repetition of it as long again.
	finalRunReportDelay = 3 * time.Second
	// excessRunInterval is the time between two checks for such runs.
	excessRunInterval = 500 * time.Millisecond
	// maxExcessRunReports limits the reports of each kind in one such interval.
	maxExcessRunReports = 5
	// finalRetention is how long it is known since when a submission without runs is final.
	finalRetention = time.Minute
)

// finalSubmission is a submission that became final in this epoch, or that had runs left
// when the epoch began.
type finalSubmission struct {
	// since is when this owner learnt that the submission is final.
	since time.Duration
	// cleared: it has no runs any more.
	cleared bool
}

// excessRuns tracks the runs that final submissions still have, and runs that are not known.
type excessRuns struct {
	finals    map[string]*finalSubmission
	checkedAt time.Duration
	// unknownReports counts the reports on unknown runs since checkedAt.
	unknownReports int
}

func newExcessRuns() excessRuns { return excessRuns{finals: make(map[string]*finalSubmission)} }

// noteFinal records when a submission became final.
func (m *Machine) noteFinal(e *ledger.Entry) {
	if m.excess.finals[e.ID] == nil {
		m.excess.finals[e.ID] = &finalSubmission{since: m.now, cleared: !m.hasRunsLeft(e.ID)}
	}
}

// hasRunsLeft reports whether a submission has runs whose end no worker has listed.
func (m *Machine) hasRunsLeft(id string) bool {
	for _, r := range m.byEntry[id] {
		if r.phase != ending {
			return true
		}
	}
	return false
}

// noteRunGone emits a decision when the last run of a final submission is gone.
func (m *Machine) noteRunGone(e *ledger.Entry) {
	f := m.excess.finals[e.ID]
	if f == nil || f.cleared || m.hasRunsLeft(e.ID) {
		return
	}
	f.cleared = true
	m.roomChanges.cleared++
	m.roomChanges.clearedIn = max(m.roomChanges.clearedIn, m.now-f.since)
	m.emit(Decision{
		Kind: SubmissionCleared, Run: workload.RunID{Task: workload.TaskID{Submission: e.ID}},
		Reason: e.State().String(), Queue: e.Queue, Elapsed: m.now - f.since,
	})
}

// reportFinalRuns emits a decision, once, for each run that is left finalRunReportDelay after
// its submission became final.
func (m *Machine) reportFinalRuns() {
	if m.now-m.excess.checkedAt < excessRunInterval {
		return
	}
	m.excess.checkedAt, m.excess.unknownReports = m.now, 0
	var late []string
	for id, f := range m.excess.finals {
		age := m.now - f.since
		switch {
		case f.cleared && age > finalRetention:
			delete(m.excess.finals, id)
		case !f.cleared && age >= finalRunReportDelay:
			late = append(late, id)
		}
	}
	slices.Sort(late)
	reports := 0
	for _, id := range late {
		reports = m.reportRunsOf(id, m.now-m.excess.finals[id].since, reports)
	}
}

// reportRunsOf reports the runs of a final submission and returns the number of reports of
// this check.
func (m *Machine) reportRunsOf(id string, age time.Duration, reports int) int {
	for _, r := range m.byEntry[id] {
		if reports >= maxExcessRunReports {
			break
		}
		if r.phase == ending || r.excessReported {
			continue
		}
		r.excessReported = true
		reports++
		reason := fmt.Sprintf("submission is %v; run is %v: %s", r.entry.State(), r.phase, r.whyLeft(m.now))
		m.emitDecision(FinalRunLeft, r.id, r.worker.ID(), reason, age)
	}
	return reports
}

// whyLeft returns why a run that is not needed has not been stopped.
func (r *run) whyLeft(now time.Duration) string {
	switch {
	case r.phase == recording:
		return "its placement is not in the log"
	case r.phase == recorded:
		return "its room is not free"
	case r.worker.Address == "":
		return "worker has no known address"
	case r.worker.silent:
		return "worker does not answer"
	case !r.worker.reported:
		return "worker has not reported in this epoch"
	case r.phase == running && !r.stopRequested:
		return "no stop was requested"
	case r.phase == stopping && r.unanswered:
		return "stop had no answer"
	case r.phase == stopping && r.commandInFlight:
		return "stop is in flight"
	case r.phase == stopping:
		return fmt.Sprintf("stop was confirmed %v ago, its end is not listed", (now - r.confirmedAt).Round(time.Millisecond))
	case r.commandInFlight:
		return "start is in flight"
	case r.unanswered:
		return "start had no answer"
	}
	return "awaits the next report"
}

// reportUnknownRun emits a decision for a run that a worker lists and this owner does not
// have.
func (m *Machine) reportUnknownRun(w *worker, id workload.RunID) {
	if m.excess.unknownReports >= maxExcessRunReports {
		return
	}
	m.excess.unknownReports++
	var age time.Duration
	if f := m.excess.finals[id.Task.Submission]; f != nil {
		age = m.now - f.since
	}
	m.emitDecision(UnknownRunListed, id, w.ID(), m.describeUnknown(id), age)
}

// describeUnknown describes what this owner knows of the task of an unknown run.
func (m *Machine) describeUnknown(id workload.RunID) string {
	e := m.ledger.Find(id.Task.Submission)
	if e == nil {
		return "submission is not known"
	}
	reason := "submission is " + e.State().String()
	if e.State().Final() {
		if m.excess.finals[e.ID] == nil {
			reason += " since before the epoch or long ago"
		}
		return reason
	}
	t := e.Task(id.Task)
	switch current := m.active[id.Task]; {
	case t == nil:
		return reason + "; it has no such task"
	case t.Done:
		return reason + "; task is done"
	case current != nil:
		return fmt.Sprintf("%s; run %d is %v on %s", reason, current.id.Run, current.phase, current.worker.ID())
	}
	return fmt.Sprintf("%s; task has no run, last is %d", reason, t.Run)
}
