package standin

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/hostapi"
)

// CheckerEvents returns what the workers and backend servers saw in the form
// of package checker, in the order of times. What a worker ran when it went
// down ends at that time, even if its connections closed a little later.
func (v HistoryView) CheckerEvents() []checker.Event {
	workers := make(map[string]WorkerView)
	for _, w := range v.Workers {
		workers[w.Worker] = w
	}
	lives := make(map[string]*workerLife)
	var events []checker.Event
	for _, c := range v.WorkerEvents {
		if lives[c.Worker] == nil {
			lives[c.Worker] = &workerLife{}
		}
		lives[c.Worker].add(c)
		events = append(events, changeEvent(c, workers[c.Worker])...)
	}
	for _, a := range v.Attempts {
		events = append(events, attemptEvents(a)...)
	}
	for i, e := range v.Executions {
		events = append(events, executionEvents(int64(i+1), e, lives[e.Worker])...)
	}
	for _, c := range v.Connections {
		events = append(events, connectionEvents(c, lives[c.Worker])...)
	}
	slices.SortStableFunc(events, func(a, b checker.Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(eventRank(a.Type), eventRank(b.Type)))
	})
	return events
}

func changeEvent(c WorkerEvent, w WorkerView) []checker.Event {
	switch c.Change {
	case WorkerUp:
		return []checker.Event{{
			At: c.At, Type: checker.WorkerSeen, Worker: c.Worker, DataCentre: w.DataCentre,
			Capacity: checker.Resources(w.Capacity), Slots: w.Slots, Connections: w.ConnectionLimit,
		}}
	case WorkerDown:
		return []checker.Event{{At: c.At, Type: checker.WorkerLost, Worker: c.Worker}}
	case WorkerLeaving:
		return []checker.Event{{At: c.At, Type: checker.ServerLeaving, Worker: c.Worker}}
	default:
		// The checker has no way back from leaving but a restart.
		return nil
	}
}

func attemptEvents(a AttemptRun) []checker.Event {
	start := checker.Event{
		At: a.Start, Type: checker.AttemptStarted, Worker: a.Worker, DataCentre: a.DataCentre,
		Task: a.ID.Task, Attempt: a.ID.Attempt, Requests: checker.Resources(a.Requests), Checkpoint: a.ResumedFrom,
	}
	if a.State == hostapi.AttemptRunning {
		return []checker.Event{start}
	}
	end := checker.Event{
		At: a.End, Type: checker.AttemptEnded, Worker: a.Worker, DataCentre: a.DataCentre,
		Task: a.ID.Task, Attempt: a.ID.Attempt, Outcome: outcomeOf(a.State), Checkpoint: a.Checkpoint,
	}
	return []checker.Event{start, end}
}

func outcomeOf(state hostapi.AttemptState) checker.Outcome {
	switch state {
	case hostapi.AttemptCompleted:
		return checker.Completed
	case hostapi.AttemptFailed:
		return checker.Failed
	case hostapi.AttemptStopped:
		return checker.Stopped
	default:
		return checker.Expired
	}
}

// executionEvents returns nothing for a refused request, which did not run.
func executionEvents(number int64, e Execution, life *workerLife) []checker.Event {
	if e.RefusalReason != "" {
		return nil
	}
	events := []checker.Event{{At: e.Start, Type: checker.RunStarted, Worker: e.Worker, Request: e.Identity(), Run: number}}
	end := life.endOf(e.Start, e.End)
	if end > 0 {
		events = append(events, checker.Event{At: end, Type: checker.RunEnded, Worker: e.Worker, Request: e.Identity(), Run: number})
	}
	return events
}

// connectionEvents returns nothing for a connection that was opened while the
// worker was down, before its listener closed.
func connectionEvents(c Connection, life *workerLife) []checker.Event {
	if !life.wasUp(c.Opened) {
		return nil
	}
	events := []checker.Event{{At: c.Opened, Type: checker.ConnectionOpened, Worker: c.Worker}}
	closed := life.endOf(c.Opened, c.Closed)
	if closed > 0 {
		events = append(events, checker.Event{At: closed, Type: checker.ConnectionClosed, Worker: c.Worker})
	}
	return events
}

// eventRank orders events of the same time: what ends frees its place first.
func eventRank(t checker.EventType) int {
	switch t {
	case checker.WorkerSeen:
		return 0
	case checker.AttemptEnded, checker.RunEnded, checker.ConnectionClosed:
		return 1
	case checker.WorkerLost:
		return 2
	default:
		return 3
	}
}
