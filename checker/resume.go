package checker

import (
	"fmt"
	"slices"
	"time"
)

// taskLife is what was seen of one task.
type taskLife struct {
	accepted    bool
	cancelled   bool
	completions int
	// checkpoint is the newest one that a stopped attempt reported. The next
	// attempt must resume from it or from a later one.
	checkpoint string
	// later is the newest checkpoint of an attempt that failed or expired since.
	// The scheduler may not have learned of it, so resuming from it is optional.
	later string
}

// resumeJudge holds I3: an accepted task completes exactly once, and an attempt
// after an interruption continues from the newest checkpoint.
type resumeJudge struct {
	tasks map[string]*taskLife
	ended bool
}

func newResumeJudge() *resumeJudge {
	return &resumeJudge{tasks: make(map[string]*taskLife)}
}

func (j *resumeJudge) task(name string) *taskLife {
	t := j.tasks[name]
	if t == nil {
		t = &taskLife{}
		j.tasks[name] = t
	}
	return t
}

func (j *resumeJudge) observe(index int, e Event) []Violation {
	switch e.Type {
	case TaskAccepted:
		j.task(e.Task).accepted = true
	case TaskCancelled:
		j.task(e.Task).cancelled = true
	case AttemptStarted:
		return j.start(index, e)
	case AttemptEnded:
		return j.end(index, e)
	case HistoryEnd:
		j.ended = true
	}
	return nil
}

func (j *resumeJudge) start(index int, e Event) []Violation {
	t := j.task(e.Task)
	if t.completions > 0 {
		return breach(ExactlyOnceCompletion, index, e, "task %s attempt %d started after the task had completed", e.Task, e.Attempt)
	}
	resumesLater := t.later != "" && e.Checkpoint == t.later
	if e.Checkpoint != t.checkpoint && !resumesLater {
		return breach(ExactlyOnceCompletion, index, e, "task %s attempt %d resumes from %q, newest checkpoint is %q",
			e.Task, e.Attempt, e.Checkpoint, t.checkpoint)
	}
	return nil
}

func (j *resumeJudge) end(index int, e Event) []Violation {
	t := j.task(e.Task)
	t.noteCheckpoint(e)
	if e.Outcome != Completed {
		return nil
	}
	t.completions++
	if t.completions > 1 {
		return breach(ExactlyOnceCompletion, index, e, "task %s completed %d times", e.Task, t.completions)
	}
	return nil
}

// finish reports lost tasks. They are judged only if the history says that it
// ended with all work finished.
func (j *resumeJudge) finish(n int, at time.Duration) []Violation {
	if !j.ended {
		return nil
	}
	var lost []string
	for name, t := range j.tasks {
		if t.accepted && !t.cancelled && t.completions == 0 {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	var violations []Violation
	for _, name := range lost {
		message := fmt.Sprintf("task %s was accepted and never completed", name)
		violations = append(violations, Violation{Invariant: ExactlyOnceCompletion, Index: n, At: at, Message: message})
	}
	return violations
}

func (t *taskLife) noteCheckpoint(e Event) {
	if e.Checkpoint == "" {
		return
	}
	if e.Outcome == Stopped {
		t.checkpoint = e.Checkpoint
		t.later = ""
		return
	}
	t.later = e.Checkpoint
}
