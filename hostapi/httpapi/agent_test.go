package httpapi_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/result"
)

var (
	testCommand = hostapi.Command{Term: 9, Boot: "b1", Deadline: 5 * time.Second}
	testID      = hostapi.AttemptID{Task: "calibrate/17/3", Attempt: 2}
)

// Guards against arguments and results of commands that are lost in the encoding.
func TestAgentCommandsRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := testContext(t)
	agent := &fakeAgent{
		attempt: hostapi.Attempt{ID: testID, State: hostapi.AttemptStopped, Checkpoint: "cp", Progress: 0.25},
		state: hostapi.WorkerState{
			Worker: "w", Boot: "b1", Clock: 7, Term: 9,
			Attempts: []hostapi.Attempt{{ID: testID, State: hostapi.AttemptRunning}},
			Usage:    []hostapi.Usage{{ID: testID, Colocated: []string{"bench"}, Slowdown: 1.5}},
		},
	}
	client := httpapi.NewWorkerAgentClient(serve(t, httpapi.NewWorkerAgentHandler(agent)), nil)

	state, err := client.Observe(ctx)
	is.NoErr(err)
	is.Equal(state, agent.state)
	state, err = client.Fence(ctx, 11)
	is.NoErr(err)
	is.Equal(state, agent.state)
	is.Equal(agent.term, int64(11))

	start := hostapi.Start{
		Command: testCommand, ID: testID, Kind: "long", Service: "bench", Checkpoint: "cp0",
		Requests: hostapi.Resources{MilliCPU: 1, MemoryMiB: 2, Accelerators: 3}, LeaseExpiry: 10, Work: time.Minute,
	}
	is.NoErr(client.Start(ctx, start))
	is.Equal(agent.start, start)

	renewals := []hostapi.Renewal{{ID: testID, LeaseExpiry: 77}}
	is.NoErr(client.Renew(ctx, testCommand, renewals))
	is.Equal(agent.renewals, renewals)

	name, err := client.Checkpoint(ctx, testCommand, testID)
	is.NoErr(err)
	is.Equal(name, "cp")
	is.NoErr(client.Throttle(ctx, testCommand, testID, 0.5))
	is.Equal(agent.share, 0.5)
	report, err := client.Stop(ctx, testCommand, testID)
	is.NoErr(err)
	is.Equal(report, agent.attempt)
	agent.command, agent.id = hostapi.Command{}, hostapi.AttemptID{}
	is.NoErr(client.Forget(ctx, testCommand, testID))
	is.Equal(agent.command, testCommand)
	is.Equal(agent.id, testID)
}

// Guards against a refusal that the client decodes as another error or as an
// unknown outcome.
func TestRefusalReasonsRoundTrip(t *testing.T) {
	is := is.New(t)
	refusals := []error{
		hostapi.ErrLowerTerm, hostapi.ErrDeadlinePassed, hostapi.ErrOtherBoot,
		hostapi.ErrNoRoom, hostapi.ErrNoAttempt, hostapi.ErrOldAttempt,
	}
	agent := &fakeAgent{}
	client := httpapi.NewWorkerAgentClient(serve(t, httpapi.NewWorkerAgentHandler(agent)), nil)
	for i, refusal := range refusals {
		agent.err = fmt.Errorf("cause: %w", refusal)
		err := client.Start(testContext(t), hostapi.Start{})
		for j, other := range refusals {
			is.Equal(errors.Is(err, other), i == j)
		}
		is.Equal(result.CodeOf(err, result.OK), result.WorkerRefused)
	}
}

// Guards against an ambiguous failure that is treated as a refusal: a command
// with an unknown outcome must never count as having had no effect.
func TestAmbiguousFailuresAreNotRefusals(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{err: context.DeadlineExceeded}
	client := httpapi.NewWorkerAgentClient(serve(t, httpapi.NewWorkerAgentHandler(agent)), nil)
	err := client.Start(testContext(t), hostapi.Start{})
	is.Equal(result.CodeOf(err, result.OK), result.WorkerUnavailable)
	is.True(!errors.Is(err, hostapi.ErrNotSent))
	for _, c := range []struct {
		status int
		body   string
	}{
		{http.StatusBadGateway, `{"code":3003,"reason":"LowerTerm"}`},
		{http.StatusConflict, `{"code":3003,"reason":"LowerTerm"`},
		{http.StatusConflict, `{"code":2003,"reason":"LowerTerm"}`},
		{http.StatusConflict, `{"code":3003,"reason":"Truncated"}`},
		{http.StatusOK, `{"code":0,"reason":"LowerTerm"}`},
		{http.StatusConflict, ``},
	} {
		err := httpapi.DecodeErrorBody(c.status, []byte(c.body))
		is.True(err != nil)
		is.True(!errors.Is(err, hostapi.ErrLowerTerm))
		is.True(!errors.Is(err, hostapi.ErrTruncated))
	}
}

// Guards against a stop that is treated as successful although the response is
// for another attempt or one that is still running.
func TestStopValidatesResponse(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{attempt: hostapi.Attempt{ID: testID, State: hostapi.AttemptRunning}}
	client := httpapi.NewWorkerAgentClient(serve(t, httpapi.NewWorkerAgentHandler(agent)), nil)
	_, err := client.Stop(testContext(t), testCommand, testID)
	is.True(err != nil)
	agent.attempt = hostapi.Attempt{ID: hostapi.AttemptID{Task: testID.Task, Attempt: 1}, State: hostapi.AttemptStopped}
	_, err = client.Stop(testContext(t), testCommand, testID)
	is.True(err != nil)
}

// Guards against VM fields that are lost in the encoding, against a wrong data
// centre in the request, and against a list with a duplicate id.
func TestVMListRoundTrip(t *testing.T) {
	is := is.New(t)
	list := &fakeVMList{vms: []hostapi.VM{{
		ID: "w1", DataCentre: "giza", Rack: "r", Role: hostapi.RoleWorker, State: hostapi.VMLeaving,
		Capacity: hostapi.Resources{MilliCPU: 1}, Slots: 8, Connections: 64, AgentAddress: "a", BackendAddress: "b",
	}}}
	client := httpapi.NewVMListClient(serve(t, httpapi.NewVMListHandler(list)), nil)
	vms, err := client.List(testContext(t), "giza")
	is.NoErr(err)
	is.Equal(vms, list.vms)
	is.Equal(list.dataCentre, "giza")
	list.vms = append(list.vms, list.vms[0])
	_, err = client.List(testContext(t), "")
	is.True(err != nil) // duplicate id
}

// Guards against a reader that blocks forever on a connection that has stopped
// responding, as happened to a log reader without a deadline.
func TestHTTPClientHasTimeout(t *testing.T) {
	is := is.New(t)
	is.True(httpapi.NewHTTPClient().Timeout > 0)
}
