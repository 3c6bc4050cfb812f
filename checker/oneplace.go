package checker

import "time"

// place is where an attempt runs.
type place struct {
	worker  string
	attempt int64
}

// onePlaceJudge holds I2: a task runs in at most one place, and attempt
// numbers only grow.
type onePlaceJudge struct {
	running map[string]place
	highest map[string]int64
}

func newOnePlaceJudge() *onePlaceJudge {
	return &onePlaceJudge{running: make(map[string]place), highest: make(map[string]int64)}
}

func (j *onePlaceJudge) observe(index int, e Event) []Violation {
	switch e.Type {
	case AttemptStarted:
		return j.start(index, e)
	case AttemptEnded:
		if j.running[e.Task] == (place{e.Worker, e.Attempt}) {
			delete(j.running, e.Task)
		}
	case WorkerLost:
		for task, p := range j.running {
			if p.worker == e.Worker {
				delete(j.running, task)
			}
		}
	}
	return nil
}

func (j *onePlaceJudge) start(index int, e Event) []Violation {
	other, running := j.running[e.Task]
	j.running[e.Task] = place{e.Worker, e.Attempt}
	if running {
		return breach(OneRunningAttempt, index, e, "task %s attempt %d started on %s while attempt %d runs on %s",
			e.Task, e.Attempt, e.Worker, other.attempt, other.worker)
	}
	if e.Attempt <= j.highest[e.Task] {
		return breach(OneRunningAttempt, index, e, "task %s attempt %d started after attempt %d", e.Task, e.Attempt, j.highest[e.Task])
	}
	j.highest[e.Task] = e.Attempt
	return nil
}

func (j *onePlaceJudge) finish(int, time.Duration) []Violation { return nil }
