package coordinator

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/metrics"
)

// warnings are the decisions that are logged as warnings, so that the lines of other
// decisions cannot displace them.
var warnings = map[dispatch.DecisionKind]logevent.Number{
	dispatch.TaskWaiting:   logevent.TaskWaiting,
	dispatch.TaskReleased:  logevent.TaskReleased,
	dispatch.LeasesAwaited: logevent.LeasesAwaited,
	dispatch.TaskGivenUp:   logevent.TaskGivenUp,
	dispatch.WorkerCrashed: logevent.WorkerCrashed,

	dispatch.FinalRunLeft:     logevent.FinalRunLeft,
	dispatch.UnknownRunListed: logevent.UnknownRunListed,

	dispatch.InterruptionLong:  logevent.InterruptionLong,
	dispatch.InterruptionEnded: logevent.InterruptionEnded,
	dispatch.RunDisplaced:      logevent.RunDisplaced,
	dispatch.RoomReported:      logevent.RoomReported,
	dispatch.PiecesReported:    logevent.PiecesReported,
	dispatch.CapsChanged:       logevent.CapsChanged,
	dispatch.TargetMissed:      logevent.TargetMissed,
	dispatch.TargetMissEnded:   logevent.TargetMissEnded,
}

// loggedInterruption is the shortest time without a run of a long-running task that is logged
// when it ends.
const loggedInterruption = 2 * time.Second

// loggedTargetMiss is the shortest time over a latency target beside best-effort runs that is
// logged when it ends.
const loggedTargetMiss = 2 * time.Second

// logDecision logs a decision of a cell's owner and updates the metrics.
func (n *Node) logDecision(cell int, epoch int64, d dispatch.Decision) {
	n.countDecision(d)
	switch d.Kind {
	case dispatch.SubmissionBegan:
		n.metrics.observeDuration(metrics.Name("submission_first_start_microseconds", "queue", d.Queue, "size", d.Size.String()), d.Elapsed)
		return
	case dispatch.LargestFavoured, dispatch.ServingReported, dispatch.AdmissionChanged:
		n.logQueueDecision(cell, epoch, d)
		return
	case dispatch.SubmissionOverdue:
		n.countServed(d)
		n.logger.Log(logevent.SubmissionOverdue, zap.String("id", d.Run.Task.Submission), zap.String("queue", d.Queue), zap.String("tenant", d.Tenant),
			zap.String("size", d.Size.String()), zap.Float64("work", d.Work), zap.Bool("started", d.Started),
			zap.Int64("epoch", epoch), zap.Duration("age", d.Elapsed), zap.Duration("objective", d.Objective), zap.String("times", d.Times.String()))
		return
	case dispatch.InterruptionEnded:
		n.observeInterruption(d)
		if d.Age < loggedInterruption {
			return
		}
	case dispatch.TargetMissEnded:
		n.metrics.observeDuration("target_missed_microseconds", d.Age)
		if d.Age < loggedTargetMiss {
			return
		}
	case dispatch.RoomFilled:
		n.observeRoomFilled(d)
		return
	case dispatch.SubmissionCleared:
		n.metrics.observeDuration(metrics.Name("submission_cleared_microseconds", "queue", d.Queue, "state", d.Reason), d.Elapsed)
		return
	case dispatch.SubmissionEnded:
		n.metrics.observeDuration(metrics.Name("submission_end_microseconds", "queue", d.Queue, "state", d.Reason, "size", d.Size.String()), d.Elapsed)
		n.countServed(d)
		if d.Elapsed > d.Objective {
			n.metrics.count("submissions_late", "queue", d.Queue)
		}
		n.logger.Log(logevent.SubmissionEnded, zap.String("id", d.Run.Task.Submission), zap.String("queue", d.Queue), zap.String("tenant", d.Tenant),
			zap.String("state", d.Reason), zap.Int64("epoch", epoch), zap.Duration("took", d.Elapsed), zap.Duration("objective", d.Objective),
			zap.String("size", d.Size.String()), zap.Float64("work", d.Work), zap.String("served", d.Served.String()),
			zap.String("times", d.Times.String()))
		return
	}
	fields := []zap.Field{zap.String("decision", d.Kind.String()), zap.String("worker", d.Worker), zap.Int64("epoch", epoch)}
	if d.Kind == dispatch.RunDisplaced {
		n.metrics.countDiscarded(d.Work)
		fields = append(fields, zap.Float64("work", d.Work))
	}
	if d.Run.Run > 0 {
		fields = append(fields, zap.String("id", d.Run.Task.Submission), zap.String("task", d.Run.Task.Name()), zap.Int64("run", d.Run.Run))
	}
	if d.Reason != "" {
		fields = append(fields, zap.String("reason", d.Reason))
	}
	if d.Age > 0 {
		fields = append(fields, zap.Duration("age", d.Age))
	}
	if event, ok := warnings[d.Kind]; ok {
		n.logger.Log(event, append(fields, zap.Int("cell", cell))...)
		return
	}
	n.logger.Log(logevent.DispatchDecision, fields...)
}

// countDecision counts a decision by its kind, and what it counts itself.
func (n *Node) countDecision(d dispatch.Decision) {
	n.metrics.count("decisions", "kind", d.Kind.String())
	for obstacle, tasks := range d.Obstacles {
		n.metrics.add(tasks, "moves_not_made", "for", obstacle)
	}
	if d.Kind == dispatch.PlaceAwaited {
		n.metrics.observeDuration(metrics.Name("rack_wait_microseconds", "queue", d.Queue), d.Age)
		n.metrics.add(d.NearData, "tasks_placed_after_rack_wait", "queue", d.Queue, "near", "true")
		n.metrics.add(d.AwayFromData, "tasks_placed_after_rack_wait", "queue", d.Queue, "near", "false")
	}
	for _, u := range d.Unplaced {
		n.metrics.add(u.Whole, "tasks_in_no_piece", "class", u.Class.String(), "whole", "true")
		n.metrics.add(u.Tasks-u.Whole, "tasks_in_no_piece", "class", u.Class.String(), "whole", "false")
	}
}

// logQueueDecision logs a decision about queues.
func (n *Node) logQueueDecision(cell int, epoch int64, d dispatch.Decision) {
	switch d.Kind {
	case dispatch.LargestFavoured:
		n.logger.Log(logevent.LargestFavoured, zap.String("queue", d.Queue), zap.String("reason", d.Reason), zap.Int64("epoch", epoch), zap.Int("cell", cell))
	case dispatch.ServingReported:
		n.logger.Log(logevent.ServingReported, zap.Int("cell", cell), zap.Int64("epoch", epoch), zap.String("reason", d.Reason))
	case dispatch.AdmissionChanged:
		n.logger.Log(logevent.AdmissionChanged, zap.String("queue", d.Queue), zap.String("size", d.Size.String()),
			zap.String("reason", d.Reason), zap.Duration("age", d.Age), zap.Int64("epoch", epoch), zap.Int("cell", cell))
	}
}

// observeInterruption updates the histograms of the times for which long-running tasks had no
// run, and of what they waited for.
func (n *Node) observeInterruption(d dispatch.Decision) {
	n.metrics.observeDuration("interruption_microseconds", d.Age)
	for wait, waited := range d.Waits {
		if waited > 0 {
			n.metrics.observeDuration(metrics.Name("interruption_wait_microseconds", "for", wait), waited)
		}
	}
}

// observeRoomFilled updates the histograms of the times for which room that a task waited for was
// held, and by what.
func (n *Node) observeRoomFilled(d dispatch.Decision) {
	n.metrics.observeDuration("room_wait_microseconds", d.Age)
	for holder, held := range d.Waits {
		n.metrics.observeDuration(metrics.Name("room_wait_microseconds", "for", holder), held)
	}
}

// countServed counts a submission by its size and by how it was served, with what it spent its
// time on.
func (n *Node) countServed(d dispatch.Decision) {
	if d.Served == dispatch.ServedBefore {
		return
	}
	size := d.Size.String()
	n.metrics.count("submissions_served", "queue", d.Queue, "size", size, "served", d.Served.String())
	if d.Served == dispatch.NotServed {
		n.metrics.count("submissions_not_served", "queue", d.Queue, "size", size, "started", strconv.FormatBool(d.Started), "for", d.Times.Most().String())
	}
	for use, spent := range d.Times {
		if spent > 0 {
			n.metrics.countSpent(metrics.Name("submission_time_milliseconds", "queue", d.Queue, "size", size, "served", d.Served.String(), "for", dispatch.TimeUse(use).String()), spent)
		}
	}
}
