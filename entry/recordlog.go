package entry

import (
	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/scheduler"
)

// logReadRecord logs a record of the cell's stream as it is read back.
func (r *cellRunner) logReadRecord(rec *recordpb.Record) {
	switch {
	case rec.Placed != nil:
		p := rec.Placed
		r.log.Log(logevent.TaskPlaced, zap.String("task", p.Task), zap.Int64("attempt", p.Attempt), zap.String("worker", p.Worker))
	case rec.Ended != nil:
		e := rec.Ended
		r.log.Log(logevent.TaskEnded, zap.String("task", e.Task), zap.Int64("attempt", e.Attempt), zap.String("state", e.Outcome.String()), zap.String("reason", e.Message))
	case rec.Moved != nil:
		m := rec.Moved
		r.log.Log(logevent.TaskMoved, zap.String("task", m.Task), zap.Int64("attempt", m.Attempt), zap.String("to", m.To.String()), zap.Int64("moveNumber", m.Move))
	case rec.Adopted != nil:
		a := rec.Adopted
		r.log.Log(logevent.TaskAdopted, zap.String("task", a.Task), zap.Int64("attempt", a.Attempt), zap.String("from", a.From.String()), zap.Int64("moveNumber", a.Move))
	}
}

// logParked logs a job once, when the scheduling policy stops placing its tasks.
func (r *cellRunner) logParked(u scheduler.UnplacedTask) {
	job := jobKeyOfTask(u.Task)
	if u.Verdict != scheduler.Parked || r.loggedParked[job] {
		return
	}
	r.loggedParked[job] = true
	r.log.Log(logevent.JobParked, zap.String("job", job), zap.String("reason", u.Reason))
}

// checkCapacity logs a worker whose running attempts exceed the capacity that it
// reports.
func (r *cellRunner) checkCapacity(s hostapi.WorkerState) {
	var used hostapi.Resources
	for i := range s.Attempts {
		if s.Attempts[i].State == hostapi.AttemptRunning {
			used = used.Add(s.Attempts[i].Requests)
		}
	}
	if !used.Fits(s.Capacity) {
		r.log.Log(logevent.CapacityExceeded, zap.String("worker", s.Worker), zap.Any("reported", used), zap.Any("capacity", s.Capacity))
	}
}
