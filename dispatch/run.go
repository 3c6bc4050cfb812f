package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// phase is how far a run has come.
type phase int

const (
	// recording: the Placed record is on its way to the log.
	recording phase = iota + 1
	// starting: the start was sent and is not confirmed.
	starting
	// running: the worker confirmed the run.
	running
	// stopping: a stop was sent and the run's end is not listed.
	stopping
	// ending: the end was listed and its record is on its way to the log.
	ending
)

// run is one run of a task that may exist on a worker.
type run struct {
	id    workload.RunID
	entry *ledger.Entry
	task  *ledger.Task
	step  *workload.Step
	on    *worker
	phase phase
	// inherited: an earlier owner placed the run and no report was seen.
	inherited bool
	// stop: the run is no longer wanted.
	stop bool
	// inFlight: an order for the run has no answer yet.
	inFlight bool
	// repeated: a start of the run had no answer, so a copy may be carried out late.
	repeated bool
	// deadline is the lease's end of the first start, on the worker's clock.
	deadline time.Duration
	// confirmedAt is when the start was confirmed, or the stop in phase stopping.
	confirmedAt time.Duration
	// startedAt is when the start was first confirmed.
	startedAt time.Duration
	// checkpoint is the newest known checkpoint.
	checkpoint string
	// progressAt is when the run last showed progress, reportedAt when it was
	// last listed.
	progressAt time.Duration
	reportedAt time.Duration
	// percent is the progress; of a long-running run 100 when it is at work.
	percent int
	// tail is the last reported tail latency, used the last processor use.
	tail time.Duration
	used int64
	// base is the utilisation by the run's own load, observed at baseAt.
	base   float64
	baseAt time.Duration
	// overSince is when a report first showed the tail over its target; 0 if
	// the last one showed it under.
	overSince time.Duration
	// image numbers the step's image.
	image imageID
	// room is the result of Machine.room for the company at roomAt and the
	// report at roomBase.
	room     float64
	roomAt   int64
	roomBase time.Duration
}
