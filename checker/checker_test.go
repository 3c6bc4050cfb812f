package checker_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/checker"
)

const second = time.Second

func worker(at time.Duration, name string) checker.Event {
	return checker.Event{
		At: at, Type: checker.WorkerSeen, Worker: name, DataCentre: "giza",
		Capacity: checker.Resources{MilliCPU: 2000, MemoryMiB: 100, Accelerators: 1},
		Slots:    2, Connections: 2,
	}
}

func start(at time.Duration, name, task string, attempt int64, checkpoint string) checker.Event {
	return checker.Event{
		At: at, Type: checker.AttemptStarted, Worker: name, Task: task, Attempt: attempt,
		Checkpoint: checkpoint, Requests: checker.Resources{MilliCPU: 1000, MemoryMiB: 10},
	}
}

func end(at time.Duration, name, task string, attempt int64, outcome checker.Outcome, checkpoint string) checker.Event {
	return checker.Event{
		At: at, Type: checker.AttemptEnded, Worker: name, Task: task, Attempt: attempt,
		Outcome: outcome, Checkpoint: checkpoint,
	}
}

func run(at time.Duration, id string, n int64) checker.Event {
	return checker.Event{At: at, Type: checker.RunStarted, Worker: "w1", Request: id, Run: n}
}

func runEnd(at time.Duration, id string, n int64) checker.Event {
	return checker.Event{At: at, Type: checker.RunEnded, Worker: "w1", Request: id, Run: n}
}

func sent(at time.Duration, id string, sequence int64) checker.Event {
	return checker.Event{At: at, Type: checker.RequestSent, Caller: "c", VM: "e1", Request: id, Sequence: sequence}
}

func answered(at time.Duration, id string, sequence int64, r checker.Result, answer string, complete bool) checker.Event {
	return checker.Event{
		At: at, Type: checker.RequestAnswered, Caller: "c", Request: id, Sequence: sequence,
		Result: r, Answer: answer, Expected: "whole", Complete: complete,
	}
}

// Guards against a checker that reports breaches in a correct history: one
// with an eviction, a resume, a worker loss, a take-out, a leaving server, a
// planned stop and a configuration change.
func TestCorrectHistoryHasNoViolation(t *testing.T) {
	is := is.New(t)
	history := []checker.Event{
		{At: 0, Type: checker.VMStarted, VM: "e1"},
		worker(0, "w1"), worker(0, "w2"),
		{At: 0, Type: checker.TaskAccepted, Task: "a"},
		start(1*second, "w1", "a", 1, ""),
		end(2*second, "w1", "a", 1, checker.Stopped, "cp1"),
		start(3*second, "w2", "a", 2, "cp1"),
		{At: 4 * second, Type: checker.WorkerLost, Worker: "w2"},
		start(5*second, "w1", "a", 3, "cp1"),
		end(6*second, "w1", "a", 3, checker.Completed, ""),
		{At: 7 * second, Type: checker.ConfigurationAccepted, Version: 3},
		{At: 8 * second, Type: checker.ConfigurationInForce, VM: "e1", Version: 3},
		{At: 8 * second, Type: checker.TakenOut, DataCentre: "giza"},
		start(12*second, "w1", "b", 1, ""),
		sent(13*second, "r1", 1), run(13*second, "r1", 1),
		{At: 13 * second, Type: checker.ServerLeaving, Worker: "w1"},
		{At: 13 * second, Type: checker.StopRequested, VM: "e1"},
		runEnd(14*second, "r1", 1), answered(14*second, "r1", 1, checker.Answered, "whole", true),
		{At: 15 * second, Type: checker.StopFinished, VM: "e1"},
		{At: 15 * second, Type: checker.HistoryEnd},
	}
	violations, err := checker.Check(history, checker.DefaultBounds())
	is.NoErr(err)
	is.Equal(len(violations), 0)
}

// Guards against a judge that does not see the breach it is there for: each
// history is broken on purpose in one way.
func TestEachBrokenHistoryIsCaught(t *testing.T) {
	large := start(1*second, "w1", "b", 1, "")
	large.Requests.Accelerators = 2
	idempotent := sent(0, "r", 1)
	idempotent.Idempotent = true
	cases := []struct {
		name    string
		want    checker.Invariant
		history []checker.Event
	}{
		{"third processor of two", checker.NoOvercommit, []checker.Event{
			worker(0, "w1"), start(1, "w1", "a", 1, ""), start(2, "w1", "b", 1, ""), start(3, "w1", "c", 1, "")}},
		{"second accelerator of one", checker.NoOvercommit, []checker.Event{worker(0, "w1"), large}},
		{"third slot of two", checker.NoOvercommit, []checker.Event{
			worker(0, "w1"), run(1, "r1", 1), run(2, "r2", 2), runEnd(3, "r1", 1), run(4, "r3", 3), run(5, "r4", 4)}},
		{"third connection of two", checker.NoOvercommit, []checker.Event{
			worker(0, "w1"), {Type: checker.ConnectionOpened, Worker: "w1"},
			{Type: checker.ConnectionOpened, Worker: "w1"}, {Type: checker.ConnectionOpened, Worker: "w1"}}},
		{"two places", checker.OneRunningAttempt, []checker.Event{
			worker(0, "w1"), worker(0, "w2"), start(1, "w1", "a", 1, ""), start(2, "w2", "a", 2, "")}},
		{"old attempt starts late", checker.OneRunningAttempt, []checker.Event{
			worker(0, "w1"), start(1, "w1", "a", 2, ""), end(2, "w1", "a", 2, checker.Failed, ""), start(3, "w1", "a", 1, "")}},
		{"resume without the checkpoint", checker.ExactlyOnceCompletion, []checker.Event{
			worker(0, "w1"), start(1, "w1", "a", 1, ""), end(2, "w1", "a", 1, checker.Stopped, "cp"), start(3, "w1", "a", 2, "")}},
		{"completed twice", checker.ExactlyOnceCompletion, []checker.Event{
			worker(0, "w1"), start(1, "w1", "a", 1, ""), end(2, "w1", "a", 1, checker.Completed, ""),
			end(3, "w1", "a", 1, checker.Completed, "")}},
		{"accepted task lost", checker.ExactlyOnceCompletion, []checker.Event{
			{Type: checker.TaskAccepted, Task: "a"}, {At: 1, Type: checker.HistoryEnd}}},
		{"start after take-out", checker.NoStartWhenTakenOut, []checker.Event{
			worker(0, "w1"), {Type: checker.TakenOut, DataCentre: "giza"}, start(6*second, "w1", "a", 1, "")}},
		{"shortened answer looks whole", checker.AnswerIntegrity, []checker.Event{
			sent(0, "r", 1), answered(1, "r", 1, checker.Answered, "who", true)}},
		{"not run and had run", checker.NotRunMeansNotExecuted, []checker.Event{
			worker(0, "w1"), sent(0, "r", 1), run(1, "r", 1), answered(2, "r", 1, checker.NotRun, "", true)}},
		{"not run and runs later", checker.NotRunMeansNotExecuted, []checker.Event{
			worker(0, "w1"), idempotent, answered(2, "r", 1, checker.NotRun, "", true), run(3, "r", 1)}},
		{"second run", checker.AtMostOnce, []checker.Event{
			worker(0, "w1"), sent(0, "r", 1), run(1, "r", 1), sent(2, "r", 2), run(3, "r", 2)}},
		{"work for a leaving server", checker.NoWorkWhenLeaving, []checker.Event{
			worker(0, "w1"), {Type: checker.ServerLeaving, Worker: "w1"}, run(6*second, "r", 1)}},
		{"request cut off by a stop", checker.GracefulStop, []checker.Event{
			sent(0, "r", 1), {At: 1, Type: checker.StopRequested, VM: "e1"}, answered(2, "r", 1, checker.NoAnswer, "", false)}},
		{"stop with exit code 3", checker.GracefulStop, []checker.Event{
			{At: 1, Type: checker.StopRequested, VM: "e1"}, {At: 2, Type: checker.StopFinished, VM: "e1", ExitCode: 3}}},
		{"configuration goes back", checker.ConfigurationConvergence, []checker.Event{
			{Type: checker.VMStarted, VM: "e1"}, {At: 1, Type: checker.ConfigurationInForce, VM: "e1", Version: 5},
			{At: 2, Type: checker.ConfigurationInForce, VM: "e1", Version: 4}}},
		{"configuration comes late", checker.ConfigurationConvergence, []checker.Event{
			{Type: checker.VMStarted, VM: "e1"}, {At: 1, Type: checker.ConfigurationAccepted, Version: 5},
			{At: 6 * second, Type: checker.ConfigurationInForce, VM: "e1", Version: 5}}},
		{"configuration never comes", checker.ConfigurationConvergence, []checker.Event{
			{Type: checker.VMStarted, VM: "e1"}, {At: 1, Type: checker.ConfigurationAccepted, Version: 5},
			{At: 9 * second, Type: checker.HistoryEnd}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			violations, err := checker.Check(c.history, checker.DefaultBounds())
			is.NoErr(err)
			is.True(len(violations) > 0) // the breach must be seen
			for _, v := range violations {
				is.Equal(v.Invariant, c.want) // and nothing else
			}
		})
	}
}

// Guards against a history file that reads back as something else.
func TestHistoryRoundTrip(t *testing.T) {
	is := is.New(t)
	history := []checker.Event{worker(0, "w1"), start(1, "w1", "a", 1, "cp"), sent(2, "r", 1)}
	var file bytes.Buffer
	is.NoErr(checker.WriteHistory(&file, history))
	read, err := checker.ReadHistory(&file)
	is.NoErr(err)
	is.Equal(read, history)
	_, err = checker.ReadHistory(bytes.NewReader([]byte("{}\n")))
	is.True(err != nil)
}

// Guards against judging events in the wrong order.
func TestUnorderedHistoryIsRefused(t *testing.T) {
	is := is.New(t)
	_, err := checker.Check([]checker.Event{worker(2, "w1"), worker(1, "w1")}, checker.DefaultBounds())
	is.True(err != nil)
}
