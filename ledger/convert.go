package ledger

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// SubmittedRecord returns the record that makes a submission durable.
func SubmittedRecord(s *workload.Submission) *ledgerpb.Record {
	r := submittedMessage(s)
	r.Fingerprint = uint64(s.Fingerprint())
	return &ledgerpb.Record{Submitted: r}
}

// CancelledRecord returns the record that cancels a submission, to whichever queue it is.
func CancelledRecord(id string) *ledgerpb.Record { return QueueCancelledRecord(id, "") }

// QueueCancelledRecord returns the record that cancels a submission if it is to a queue.
func QueueCancelledRecord(id, queue string) *ledgerpb.Record {
	return &ledgerpb.Record{Cancelled: &ledgerpb.Cancelled{Id: id, Queue: queue}}
}

// PlacedRecord returns the record of a run's placement on a worker at an address. It must
// be in the log before the run is started.
func PlacedRecord(run workload.RunID, on workload.Incarnation, address string) *ledgerpb.Record {
	return &ledgerpb.Record{Placed: &ledgerpb.Placed{
		Task: taskMessage(run.Task), Run: run.Run, Worker: on.Worker, Born: on.StartMillis, Address: address,
	}}
}

// EndedRecord returns the record of a run's end. It must be in the log before the
// end is acknowledged to the worker.
func EndedRecord(run workload.RunID, outcome workload.Outcome, checkpoint string) *ledgerpb.Record {
	return &ledgerpb.Record{Ended: &ledgerpb.Ended{Task: taskMessage(run.Task), Run: run.Run, Outcome: int32(outcome), Checkpoint: checkpoint}}
}

// OpenedRecord returns the record that opens an epoch.
func OpenedRecord(o Owner) *ledgerpb.Record {
	return &ledgerpb.Record{Opened: &ledgerpb.Opened{Epoch: o.Epoch, Vm: o.VM, PeerAddress: o.PeerAddress, Sole: o.Sole}}
}

// OwnerOf returns the owner that an Opened record names.
func OwnerOf(r *ledgerpb.Opened) Owner {
	return Owner{Epoch: r.Epoch, VM: r.Vm, PeerAddress: r.PeerAddress, Sole: r.Sole}
}

func taskMessage(id workload.TaskID) *ledgerpb.Task {
	return &ledgerpb.Task{Submission: id.Submission, Occurrence: int32(id.Occurrence), Step: int32(id.Step), Index: int32(id.Index)}
}

func taskIDOf(t *ledgerpb.Task) workload.TaskID {
	return workload.TaskID{
		Submission: t.GetSubmission(), Occurrence: int(t.GetOccurrence()),
		Step: int(t.GetStep()), Index: int(t.GetIndex()),
	}
}

func submittedMessage(s *workload.Submission) *ledgerpb.Submitted {
	steps := make([]*ledgerpb.Step, len(s.Steps))
	for i := range s.Steps {
		steps[i] = stepMessage(&s.Steps[i])
	}
	r := &ledgerpb.Submitted{
		Id: s.ID, Tenant: s.Tenant, Queue: s.Queue, Spec: s.Spec, Steps: steps,
		Policy: &ledgerpb.Policy{
			Service: s.Policy.Service, Priority: int32(s.Policy.Priority), MaxAttempts: int32(s.Policy.MaxAttempts),
			Slack: s.Policy.SlackFactor, TargetMs: s.Policy.TargetCompletion.Milliseconds(),
		},
		Occurrences: int32(s.Occurrences), IntervalMs: s.Interval.Milliseconds(),
		AcceptedAtMs: s.AcceptedAt.UnixMilli(),
	}
	if s.Scheduled() {
		r.StartAtMs = s.StartAt.UnixMilli()
	}
	return r
}

func stepMessage(s *workload.Step) *ledgerpb.Step {
	after := make([]int32, len(s.After))
	for i, a := range s.After {
		after[i] = int32(a)
	}
	return &ledgerpb.Step{
		Tasks: int32(s.Tasks), EstimateMs: s.Estimate.Milliseconds(), After: after,
		Request:     &ledgerpb.Resources{MilliCpu: s.Request.MilliCPU, MemoryMib: s.Request.MemoryMiB, Accelerators: s.Request.Accelerators},
		Checkpoints: s.Checkpoints, Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, DataRack: s.DataRack,
		MaxPerWorker: int32(s.MaxPerWorker), Speculative: s.Speculative, LongRunning: s.LongRunning, Image: s.Image,
		LatencyTargetUs: s.LatencyTarget.Microseconds(), BestEffort: s.BestEffort, UnavailableLimit: int32(s.MaxUnavailable),
	}
}

func submissionOf(r *ledgerpb.Submitted) workload.Submission {
	steps := make([]workload.Step, len(r.Steps))
	for i, s := range r.Steps {
		steps[i] = stepOf(s)
	}
	p := r.GetPolicy()
	return workload.Submission{
		ID: r.Id, Tenant: r.Tenant, Queue: r.Queue, Spec: r.Spec, Steps: steps,
		Policy: workload.Policy{
			Service: p.GetService(), Priority: int(p.GetPriority()), MaxAttempts: int(p.GetMaxAttempts()),
			SlackFactor: p.GetSlack(), TargetCompletion: time.Duration(p.GetTargetMs()) * time.Millisecond,
		},
		Occurrences: int(r.Occurrences), StartAt: time.UnixMilli(r.StartAtMs),
		Interval:   time.Duration(r.IntervalMs) * time.Millisecond,
		AcceptedAt: time.UnixMilli(r.AcceptedAtMs),
	}
}

func stepOf(s *ledgerpb.Step) workload.Step {
	var after []int
	for _, a := range s.After {
		after = append(after, int(a))
	}
	q := s.GetRequest()
	return workload.Step{
		Tasks: int(s.Tasks), Estimate: time.Duration(s.EstimateMs) * time.Millisecond, After: after,
		Request:     hostapi.Resources{MilliCPU: q.GetMilliCpu(), MemoryMiB: q.GetMemoryMib(), Accelerators: q.GetAccelerators()},
		Checkpoints: s.Checkpoints, Gang: s.Gang, SameRack: s.SameRack, Label: s.Label, DataRack: s.DataRack,
		MaxPerWorker: int(s.MaxPerWorker), Speculative: s.Speculative, LongRunning: s.LongRunning, Image: s.Image,
		LatencyTarget: time.Duration(s.LatencyTargetUs) * time.Microsecond, BestEffort: s.BestEffort,
		MaxUnavailable: int(s.UnavailableLimit),
	}
}
