package checker_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/checker"
)

const second = time.Second

func workerSeen(at time.Duration, name string) checker.Event {
	return checker.Event{
		At: at, Type: checker.WorkerSeen, Worker: name, DataCentre: "giza",
		Capacity: checker.Resources{MilliCPU: 2000, MemoryMiB: 100, Accelerators: 1},
		Slots:    2, Connections: 2,
	}
}

func attemptStarted(at time.Duration, name, task string, attempt int64, checkpoint string) checker.Event {
	return checker.Event{
		At: at, Type: checker.AttemptStarted, Worker: name, Task: task, Attempt: attempt,
		Checkpoint: checkpoint, Requests: checker.Resources{MilliCPU: 1000, MemoryMiB: 10},
	}
}

func attemptEnded(at time.Duration, name, task string, attempt int64, outcome checker.Outcome, checkpoint string) checker.Event {
	return checker.Event{
		At: at, Type: checker.AttemptEnded, Worker: name, Task: task, Attempt: attempt,
		Outcome: outcome, Checkpoint: checkpoint,
	}
}

func runStarted(at time.Duration, id string, n int64) checker.Event {
	return checker.Event{At: at, Type: checker.RunStarted, Worker: "w1", Request: id, Run: n}
}

func runEnded(at time.Duration, id string, n int64) checker.Event {
	return checker.Event{At: at, Type: checker.RunEnded, Worker: "w1", Request: id, Run: n}
}

func requestSent(at time.Duration, id string, sequence int64) checker.Event {
	return checker.Event{At: at, Type: checker.RequestSent, Caller: "c", VM: "e1", Request: id, Sequence: sequence}
}

func requestAnswered(at time.Duration, id string, sequence int64, r checker.Result, answer string, complete bool) checker.Event {
	return checker.Event{
		At: at, Type: checker.RequestAnswered, Caller: "c", Request: id, Sequence: sequence,
		Result: r, Answer: answer, Expected: "whole", Complete: complete,
	}
}

// Guards against violations reported for a correct history: one with an
// eviction, a resume, a lost worker, a take-out, a leaving server, a planned stop
// and a configuration change.
func TestCorrectHistoryHasNoViolation(t *testing.T) {
	is := is.New(t)
	history := []checker.Event{
		{At: 0, Type: checker.VMStarted, VM: "e1"},
		workerSeen(0, "w1"), workerSeen(0, "w2"),
		{At: 0, Type: checker.TaskAccepted, Task: "a"},
		attemptStarted(1*second, "w1", "a", 1, ""),
		attemptEnded(2*second, "w1", "a", 1, checker.Stopped, "cp1"),
		attemptStarted(3*second, "w2", "a", 2, "cp1"),
		{At: 4 * second, Type: checker.WorkerLost, Worker: "w2"},
		attemptStarted(5*second, "w1", "a", 3, "cp1"),
		attemptEnded(6*second, "w1", "a", 3, checker.Completed, ""),
		{At: 7 * second, Type: checker.ConfigurationAccepted, Version: 3},
		{At: 8 * second, Type: checker.ConfigurationInForce, VM: "e1", Version: 3},
		{At: 8 * second, Type: checker.TakenOut, DataCentre: "giza"},
		attemptStarted(12*second, "w1", "b", 1, ""),
		requestSent(13*second, "r1", 1), runStarted(13*second, "r1", 1),
		{At: 13 * second, Type: checker.ServerLeaving, Worker: "w1"},
		{At: 13 * second, Type: checker.StopRequested, VM: "e1"},
		runEnded(14*second, "r1", 1), requestAnswered(14*second, "r1", 1, checker.Answered, "whole", true),
		{At: 15 * second, Type: checker.StopFinished, VM: "e1"},
		{At: 15 * second, Type: checker.HistoryEnd},
	}
	violations, err := checker.Check(history, checker.DefaultBounds())
	is.NoErr(err)
	is.Equal(len(violations), 0)
}

// Guards against a checker that misses a violation of its invariant: each
// history violates one invariant in one way.
func TestEachViolationIsReported(t *testing.T) {
	large := attemptStarted(1*second, "w1", "b", 1, "")
	large.Requests.Accelerators = 2
	idempotent := requestSent(0, "r", 1)
	idempotent.Idempotent = true
	cases := []struct {
		name    string
		want    checker.Invariant
		history []checker.Event
	}{
		{"three processors used of two", checker.NoOvercommit, []checker.Event{
			workerSeen(0, "w1"), attemptStarted(1, "w1", "a", 1, ""), attemptStarted(2, "w1", "b", 1, ""), attemptStarted(3, "w1", "c", 1, "")}},
		{"two accelerators used of one", checker.NoOvercommit, []checker.Event{workerSeen(0, "w1"), large}},
		{"three slots used of two", checker.NoOvercommit, []checker.Event{
			workerSeen(0, "w1"), runStarted(1, "r1", 1), runStarted(2, "r2", 2), runEnded(3, "r1", 1), runStarted(4, "r3", 3), runStarted(5, "r4", 4)}},
		{"three connections open of two", checker.NoOvercommit, []checker.Event{
			workerSeen(0, "w1"), {Type: checker.ConnectionOpened, Worker: "w1"},
			{Type: checker.ConnectionOpened, Worker: "w1"}, {Type: checker.ConnectionOpened, Worker: "w1"}}},
		{"two running attempts", checker.OneRunningAttempt, []checker.Event{
			workerSeen(0, "w1"), workerSeen(0, "w2"), attemptStarted(1, "w1", "a", 1, ""), attemptStarted(2, "w2", "a", 2, "")}},
		{"lower attempt starts after a higher one", checker.OneRunningAttempt, []checker.Event{
			workerSeen(0, "w1"), attemptStarted(1, "w1", "a", 2, ""), attemptEnded(2, "w1", "a", 2, checker.Failed, ""), attemptStarted(3, "w1", "a", 1, "")}},
		{"resume without the newest checkpoint", checker.ExactlyOnceCompletion, []checker.Event{
			workerSeen(0, "w1"), attemptStarted(1, "w1", "a", 1, ""), attemptEnded(2, "w1", "a", 1, checker.Stopped, "cp"), attemptStarted(3, "w1", "a", 2, "")}},
		{"completed twice", checker.ExactlyOnceCompletion, []checker.Event{
			workerSeen(0, "w1"), attemptStarted(1, "w1", "a", 1, ""), attemptEnded(2, "w1", "a", 1, checker.Completed, ""),
			attemptEnded(3, "w1", "a", 1, checker.Completed, "")}},
		{"accepted task never completes", checker.ExactlyOnceCompletion, []checker.Event{
			{Type: checker.TaskAccepted, Task: "a"}, {At: 1, Type: checker.HistoryEnd}}},
		{"start after take-out", checker.NoStartWhenTakenOut, []checker.Event{
			workerSeen(0, "w1"), {Type: checker.TakenOut, DataCentre: "giza"}, attemptStarted(6*second, "w1", "a", 1, "")}},
		{"truncated answer marked complete", checker.AnswerIntegrity, []checker.Event{
			requestSent(0, "r", 1), requestAnswered(1, "r", 1, checker.Answered, "who", true)}},
		{"reported as not run after a run", checker.NotRunMeansNotExecuted, []checker.Event{
			workerSeen(0, "w1"), requestSent(0, "r", 1), runStarted(1, "r", 1), requestAnswered(2, "r", 1, checker.NotRun, "", true)}},
		{"runs after it was reported as not run", checker.NotRunMeansNotExecuted, []checker.Event{
			workerSeen(0, "w1"), idempotent, requestAnswered(2, "r", 1, checker.NotRun, "", true), runStarted(3, "r", 1)}},
		{"non-idempotent request runs twice", checker.AtMostOnce, []checker.Event{
			workerSeen(0, "w1"), requestSent(0, "r", 1), runStarted(1, "r", 1), requestSent(2, "r", 2), runStarted(3, "r", 2)}},
		{"work for a leaving server", checker.NoWorkWhenLeaving, []checker.Event{
			workerSeen(0, "w1"), {Type: checker.ServerLeaving, Worker: "w1"}, runStarted(6*second, "r", 1)}},
		{"request cut off by a stop", checker.GracefulStop, []checker.Event{
			requestSent(0, "r", 1), {At: 1, Type: checker.StopRequested, VM: "e1"}, requestAnswered(2, "r", 1, checker.NoAnswer, "", false)}},
		{"request cut off by a stop that has finished", checker.GracefulStop, []checker.Event{
			requestSent(0, "r", 1), {At: 1, Type: checker.StopRequested, VM: "e1"}, {At: 2, Type: checker.StopFinished, VM: "e1"},
			requestAnswered(3, "r", 1, checker.NoAnswer, "", false)}},
		{"request cut off by a stop is reported after the restart", checker.GracefulStop, []checker.Event{
			requestSent(0, "r", 1), {At: 1, Type: checker.StopRequested, VM: "e1"}, {At: 2, Type: checker.StopFinished, VM: "e1"},
			{At: 3, Type: checker.VMStarted, VM: "e1"}, requestAnswered(4, "r", 1, checker.NoAnswer, "", false)}},
		{"stop with exit code 3", checker.GracefulStop, []checker.Event{
			{At: 1, Type: checker.StopRequested, VM: "e1"}, {At: 2, Type: checker.StopFinished, VM: "e1", ExitCode: 3}}},
		{"configuration version decreases", checker.ConfigurationConvergence, []checker.Event{
			{Type: checker.VMStarted, VM: "e1"}, {At: 1, Type: checker.ConfigurationInForce, VM: "e1", Version: 5},
			{At: 2, Type: checker.ConfigurationInForce, VM: "e1", Version: 4}}},
		{"configuration in force too late", checker.ConfigurationConvergence, []checker.Event{
			{Type: checker.VMStarted, VM: "e1"}, {At: 1, Type: checker.ConfigurationAccepted, Version: 5},
			{At: 6 * second, Type: checker.ConfigurationInForce, VM: "e1", Version: 5}}},
		{"configuration never in force", checker.ConfigurationConvergence, []checker.Event{
			{Type: checker.VMStarted, VM: "e1"}, {At: 1, Type: checker.ConfigurationAccepted, Version: 5},
			{At: 9 * second, Type: checker.HistoryEnd}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			violations, err := checker.Check(c.history, checker.DefaultBounds())
			is.NoErr(err)
			is.True(len(violations) > 0) // the violation is reported
			for _, v := range violations {
				is.Equal(v.Invariant, c.want) // no other invariant is reported
			}
		})
	}
}

// Guards against a checker that reports a request which a VM lost after a planned stop, when
// it had been started again, as cut off by that stop.
func TestStopEndsWithTheProcess(t *testing.T) {
	is := is.New(t)
	violations, err := checker.Check([]checker.Event{
		{Type: checker.VMStarted, VM: "e1"}, {At: 1, Type: checker.StopRequested, VM: "e1"}, {At: 2, Type: checker.StopFinished, VM: "e1"},
		{At: 3, Type: checker.VMStarted, VM: "e1"}, requestSent(4, "r", 1), requestAnswered(5, "r", 1, checker.NoAnswer, "", false),
	}, checker.DefaultBounds())
	is.NoErr(err)
	is.Equal(len(violations), 0)
}

// Guards against a history that changes when it is written and read back, and
// against events without a type.
func TestHistoryRoundTrip(t *testing.T) {
	is := is.New(t)
	history := []checker.Event{workerSeen(0, "w1"), attemptStarted(1, "w1", "a", 1, "cp"), requestSent(2, "r", 1)}
	var file bytes.Buffer
	is.NoErr(checker.WriteHistory(&file, history))
	read, err := checker.ReadHistory(&file)
	is.NoErr(err)
	is.Equal(read, history)
	_, err = checker.ReadHistory(bytes.NewReader([]byte("{}\n")))
	is.True(err != nil)
}

// Guards against a check of events that are not in order of time.
func TestUnorderedHistoryIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := checker.Check([]checker.Event{workerSeen(2, "w1"), workerSeen(1, "w1")}, checker.DefaultBounds())
	is.True(err != nil)
}
