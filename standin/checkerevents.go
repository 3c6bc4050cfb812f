package standin

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/hostapi"
)

// CheckerEvents converts the history to events of package checker, ordered by
// time. Requests and connections of a worker that goes down end at that time,
// even if the connections were closed slightly later.
func (v HistoryView) CheckerEvents() []checker.Event {
	workers := make(map[string]WorkerView)
	for _, w := range v.Workers {
		workers[w.Worker] = w
	}
	uptimes := make(map[string]*workerUptime)
	var events []checker.Event
	for _, c := range v.WorkerEvents {
		if uptimes[c.Worker] == nil {
			uptimes[c.Worker] = &workerUptime{}
		}
		uptimes[c.Worker].add(c)
		events = append(events, workerChangeEvents(c, workers[c.Worker])...)
	}
	for _, a := range v.Attempts {
		events = append(events, attemptEvents(a)...)
	}
	for i, e := range v.Executions {
		events = append(events, executionEvents(int64(i+1), e, uptimes[e.Worker])...)
	}
	for _, c := range v.Connections {
		events = append(events, connectionEvents(c, uptimes[c.Worker])...)
	}
	slices.SortStableFunc(events, func(a, b checker.Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(eventOrder(a.Type), eventOrder(b.Type)))
	})
	return events
}

func workerChangeEvents(c WorkerEvent, w WorkerView) []checker.Event {
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
		// In the checker, only a restart ends the leaving state.
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

// executionEvents returns no events for a refused request, because it did not
// run.
func executionEvents(run int64, e Execution, uptime *workerUptime) []checker.Event {
	if e.RefusalReason != "" {
		return nil
	}
	events := []checker.Event{{At: e.Start, Type: checker.RunStarted, Worker: e.Worker, Request: e.Identity(), Run: run}}
	end := uptime.effectiveEnd(e.Start, e.End)
	if end > 0 {
		events = append(events, checker.Event{At: end, Type: checker.RunEnded, Worker: e.Worker, Request: e.Identity(), Run: run})
	}
	return events
}

// connectionEvents returns no events for a connection that was accepted after
// the worker went down but before its listener was closed.
func connectionEvents(c Connection, uptime *workerUptime) []checker.Event {
	if !uptime.wasUp(c.Opened) {
		return nil
	}
	events := []checker.Event{{At: c.Opened, Type: checker.ConnectionOpened, Worker: c.Worker}}
	closed := uptime.effectiveEnd(c.Opened, c.Closed)
	if closed > 0 {
		events = append(events, checker.Event{At: closed, Type: checker.ConnectionClosed, Worker: c.Worker})
	}
	return events
}

// eventOrder returns the rank of an event among events of the same time. Ends
// come before starts, because they free the capacity that a start may need.
func eventOrder(t checker.EventType) int {
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
