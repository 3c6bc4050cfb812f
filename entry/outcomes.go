package entry

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
	"github.com/cactusreel/cactusreel/scheduler"
)

// placement is where and when an attempt was placed, as read from the stream.
type placement struct {
	at       time.Duration
	worker   string
	boot     string
	requests hostapi.Resources
}

// outcomeStates maps recorded outcomes to the attempt states that are passed to
// the scheduling policy.
var outcomeStates = map[recordpb.Outcome]hostapi.AttemptState{
	recordpb.Outcome_OUTCOME_COMPLETED: hostapi.AttemptCompleted,
	recordpb.Outcome_OUTCOME_FAILED:    hostapi.AttemptFailed,
	recordpb.Outcome_OUTCOME_STOPPED:   hostapi.AttemptStopped,
	recordpb.Outcome_OUTCOME_LAPSED:    hostapi.AttemptLapsed,
}

// processReadRecords logs the records of a batch that was read back, and passes
// the outcomes of attempts to the scheduling policy. Placements are taken from the
// stream too: an attempt that fails between two observations of its worker is
// never observed running.
func (r *cellRunner) processReadRecords(batch []*recordpb.Record) {
	now := r.clock()
	for _, rec := range batch {
		r.logReadRecord(rec)
		switch {
		case rec.Placed != nil && rec.Term == r.term:
			// Records of earlier terms are read all at once when the cell is
			// taken over, so the time of reading is not the time of placement.
			r.trackPlacement(now, rec.Placed)
		case rec.Ended != nil:
			r.observeOutcome(now, rec.Ended)
		}
	}
}

func (r *cellRunner) trackPlacement(now time.Duration, p *recordpb.Placed) {
	r.placed[hostapi.AttemptID{Task: p.Task, Attempt: p.Attempt}] = placement{
		at:     now,
		worker: p.Worker,
		boot:   p.Boot,
		requests: hostapi.Resources{
			MilliCPU:     p.GetRequests().GetMilliCpu(),
			MemoryMiB:    p.GetRequests().GetMemoryMib(),
			Accelerators: p.GetRequests().GetAccelerators(),
		},
	}
}

// observeOutcome passes the outcome of an attempt placed in this term to the
// scheduling policy.
func (r *cellRunner) observeOutcome(now time.Duration, ended *recordpb.Ended) {
	id := hostapi.AttemptID{Task: ended.Task, Attempt: ended.Attempt}
	p, placed := r.placed[id]
	delete(r.placed, id)
	d := r.host.declaredWork()
	state, known := outcomeStates[ended.Outcome]
	if !placed || !known || d == nil {
		return
	}
	job := d.jobs[jobKeyOfTask(ended.Task)]
	if job == nil {
		return
	}
	o := scheduler.Outcome{
		ID:       id,
		Job:      jobKeyOfTask(ended.Task),
		Kind:     job.work.TaskKind,
		Worker:   p.worker,
		Boot:     p.boot,
		State:    state,
		Requests: p.requests,
		Used:     r.lastReportedUse(p.worker, id),
		RanFor:   now - p.at,
		Message:  ended.Message,
	}
	if state == hostapi.AttemptCompleted && ended.Attempt == 1 {
		// Later attempts resume from a checkpoint, so their run time is not
		// that of the whole task.
		o.TaskRunTime = o.RanFor
	}
	r.policy.ObserveOutcome(now, o)
}

// lastReportedUse returns the newest resource use that the worker reported for an
// attempt, or zero.
func (r *cellRunner) lastReportedUse(worker string, id hostapi.AttemptID) hostapi.Resources {
	observation := r.observations[worker]
	if observation == nil {
		return hostapi.Resources{}
	}
	for i := range observation.state.Usage {
		if observation.state.Usage[i].ID == id {
			return observation.state.Usage[i].Used
		}
	}
	return hostapi.Resources{}
}
