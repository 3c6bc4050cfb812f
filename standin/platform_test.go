package standin_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/standin"
)

// longWork is a work time longer than any test. The request ends when the
// platform is closed or by a fault.
const longWork = "work=1h"

// testPlatform is a running stand-in with two data centres of two workers each.
type testPlatform struct {
	is        *is.I
	t         *testing.T
	platform  *standin.Platform
	addresses standin.Addresses
	ctx       context.Context
}

func startTestPlatform(t *testing.T) *testPlatform {
	t.Helper()
	is := is.New(t)
	dc := func(name string) standin.DataCentre {
		entry := standin.EntryVM{ID: "entry-" + name, Address: "127.0.0.1:1"}
		return standin.DataCentre{Name: name, Racks: 2, Workers: 2, Entries: []standin.EntryVM{entry}}
	}
	p, err := standin.Start(standin.Topology{DataCentres: []standin.DataCentre{dc("giza"), dc("maadi")}}, standin.Options{MaxRequestTime: time.Hour})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(func() {
		cancel()
		is.NoErr(p.Close())
	})
	return &testPlatform{is: is, t: t, platform: p, addresses: p.Addresses(), ctx: ctx}
}

func (s *testPlatform) setFault(f standin.Fault) {
	s.t.Helper()
	s.is.NoErr(s.platform.SetFault(f))
}

func (s *testPlatform) log(dataCentre string) *httpapi.LogClient {
	return httpapi.NewLogClient(s.addresses.Log[dataCentre], nil)
}

func (s *testPlatform) agent(worker int) *httpapi.WorkerAgentClient {
	return httpapi.NewWorkerAgentClient(s.addresses.Workers[worker].AgentAddress, nil)
}

// request sends a request to a worker's backend server and returns the response
// and its body.
func (s *testPlatform) request(worker int, id, query string, headers map[string]string) (*http.Response, []byte, error) {
	url := fmt.Sprintf("http://%s/x?%s", s.addresses.Workers[worker].BackendAddress, query)
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPost, url, nil)
	s.is.NoErr(err)
	request.Header.Set(standin.HeaderRequestID, id)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := httpapi.NewHTTPClient()
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// eventually waits until the history satisfies the condition.
func (s *testPlatform) eventually(condition func(standin.HistoryView) bool) {
	s.t.Helper()
	for !condition(s.platform.History()) {
		s.is.NoErr(s.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

func (s *testPlatform) listedVM(id string) *hostapi.VM {
	vms, err := httpapi.NewVMListClient(s.addresses.VMs["maadi"], nil).List(s.ctx, "")
	s.is.NoErr(err)
	for _, vm := range vms {
		if vm.ID == id {
			return &vm
		}
	}
	return nil
}

// Guards against log addresses that serve different logs, and against faults that
// affect the wrong data centre or whose target does not recover.
func TestLogFaults(t *testing.T) {
	s := startTestPlatform(t)
	giza, maadi := s.log("giza"), s.log("maadi")
	_, err := giza.Append(s.ctx, "claims/giza", "a", []byte("1"))
	s.is.NoErr(err)

	s.setFault(standin.Fault{Kind: standin.FaultResponseLost, Target: "log", Count: 1})
	_, err = giza.Append(s.ctx, "claims/giza", "b", []byte("2"))
	s.is.True(err != nil)
	s.is.True(!errors.Is(err, hostapi.ErrNotSent))
	s.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log", Count: 1})
	_, err = giza.Append(s.ctx, "claims/giza", "c", []byte("3"))
	s.is.True(err != nil)

	s.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log/giza"})
	_, err = s.log("giza").Append(s.ctx, "claims/giza", "d", nil) // on a new connection
	s.is.True(errors.Is(err, hostapi.ErrNotSent))
	page, err := maadi.Read(s.ctx, "claims/giza", 1, 10)
	s.is.NoErr(err)
	s.is.Equal(len(page.Records), 2) // a, and b whose response was lost
	s.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log/giza", Off: true})
	_, err = giza.Append(s.ctx, "claims/giza", "e", nil)
	s.is.NoErr(err)

	s.setFault(standin.Fault{Kind: standin.FaultTruncated, Target: "stream/claims/giza", First: 3})
	page, err = maadi.Read(s.ctx, "claims/giza", 1, 10)
	s.is.True(errors.Is(err, hostapi.ErrTruncated))
	s.is.Equal(page, hostapi.LogPage{First: 3, Next: 4})
	s.is.Equal(result.CodeOf(s.platform.SetFault(standin.Fault{Kind: standin.FaultDown, Target: "log/nowhere"}), result.OK), result.NotFound)
}

// Guards against a truncated response that appears complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	s := startTestPlatform(t)
	s.setFault(standin.Fault{Kind: standin.FaultCut, Target: "backend/giza-w0", Count: 1, Bytes: 10})
	_, body, err := s.request(0, "r1", "size=100", nil)
	s.is.True(errors.Is(err, io.ErrUnexpectedEOF))
	s.is.Equal(len(body), 10)
	_, body, err = s.request(0, "r2", "size=100", nil)
	s.is.NoErr(err)
	s.is.Equal(body, standin.EchoBody("r2", 100))
	s.is.Equal(len(s.platform.History().Executions), 2)
}

// Guards against a frozen connection that still sends data or is closed, and
// against new connections that are also frozen.
func TestFrozenConnectionSendsNothing(t *testing.T) {
	s := startTestPlatform(t)
	c, err := net.Dial("tcp", s.addresses.Workers[0].BackendAddress)
	s.is.NoErr(err)
	defer c.Close()
	send := func(id string) {
		_, err := fmt.Fprintf(c, "GET /x?size=3 HTTP/1.1\r\nHost: x\r\n%s: %s\r\n\r\n", standin.HeaderRequestID, id)
		s.is.NoErr(err)
	}
	reader := bufio.NewReader(c)
	send("before")
	response, err := http.ReadResponse(reader, nil)
	s.is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	s.is.NoErr(err)

	s.setFault(standin.Fault{Kind: standin.FaultFrozen, Target: "backend/giza-w0"})
	send("after")
	s.eventually(func(h standin.HistoryView) bool { return len(h.Executions) == 2 && h.Executions[1].End > 0 })
	_, _, err = s.request(0, "other", "size=3", nil)
	s.is.NoErr(err)
	s.is.NoErr(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = reader.ReadByte()
	s.is.True(errors.Is(err, os.ErrDeadlineExceeded)) // neither data nor EOF

	// With Count and Bytes, the connection freezes within the response.
	s.setFault(standin.Fault{Kind: standin.FaultFrozen, Target: "backend/giza-w1", Count: 1, Bytes: 20})
	partial, err := net.Dial("tcp", s.addresses.Workers[1].BackendAddress)
	s.is.NoErr(err)
	defer partial.Close()
	_, err = io.WriteString(partial, "GET /x?size=1000 HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.NoErr(err)
	received := make([]byte, 20)
	_, err = io.ReadFull(partial, received)
	s.is.NoErr(err)
	s.is.NoErr(partial.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = partial.Read(received)
	s.is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against more concurrent requests than the 8 slots, a refused request that
// is not marked as not run, and a history that lacks requests.
func TestBackendLimitsConcurrentRequests(t *testing.T) {
	s := startTestPlatform(t)
	for i := range standin.DefaultSlots {
		go func() { _, _, _ = s.request(0, fmt.Sprint(i), longWork, nil) }()
	}
	s.eventually(func(h standin.HistoryView) bool { return len(h.Executions) == standin.DefaultSlots })
	response, _, err := s.request(0, "ninth", longWork, nil)
	s.is.NoErr(err)
	s.is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	s.is.Equal(response.Header.Get(standin.HeaderNotRun), "true")
	executions := s.platform.History().Executions
	s.is.Equal(executions[7].ConcurrentRequests, 8)
	s.is.Equal(executions[7].RefusalReason, "")
	s.is.Equal(executions[7].End, time.Duration(0))
	s.is.Equal(executions[8].RequestID, "ninth")
	s.is.True(executions[8].RefusalReason != "")

	// A crash ends the requests, and all slots are free after the restart.
	s.setFault(standin.Fault{Kind: standin.FaultWorkerDown, Target: "worker/giza-w0"})
	s.eventually(func(h standin.HistoryView) bool { return h.Executions[7].End > 0 })
	s.setFault(standin.Fault{Kind: standin.FaultWorkerDown, Target: "worker/giza-w0", Off: true})
	_, _, err = s.request(0, "tenth", "", nil)
	s.is.NoErr(err)
	s.is.Equal(s.platform.History().Executions[9].ConcurrentRequests, 1)
}

// Guards against more connections than the limit, and against closed connections
// that still count towards it.
func TestBackendLimitsConnections(t *testing.T) {
	s := startTestPlatform(t)
	var conns []net.Conn
	for range standin.DefaultConnections {
		c, err := net.Dial("tcp", s.addresses.Workers[2].BackendAddress)
		s.is.NoErr(err)
		conns = append(conns, c)
	}
	s.eventually(func(h standin.HistoryView) bool { return h.Workers[2].Connections == standin.DefaultConnections })
	extra, err := net.Dial("tcp", s.addresses.Workers[2].BackendAddress)
	s.is.NoErr(err)
	defer extra.Close()
	// The server may close the connection before or after the request.
	_, _ = io.WriteString(extra, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = extra.Read(make([]byte, 1))
	s.is.True(err != nil) // no response
	for _, c := range conns {
		s.is.NoErr(c.Close())
	}
	s.eventually(func(h standin.HistoryView) bool { return h.Workers[2].Connections == 0 })
	view := s.platform.History().Workers[2]
	s.is.Equal(view.MaxConnections, standin.DefaultConnections)
	s.is.Equal(view.RefusedConnections, int64(1))
}

// Guards against a server that runs requests with a lower term, and against one
// that does not announce that it is leaving.
func TestBackendTermAndLeaving(t *testing.T) {
	s := startTestPlatform(t)
	for _, c := range []struct {
		term   string
		status int
	}{{"7", 200}, {"6", 503}, {"", 200}, {"x", 503}, {"8", 200}} {
		response, _, err := s.request(0, "r", "", map[string]string{standin.HeaderTerm: c.term})
		s.is.NoErr(err)
		s.is.Equal(response.StatusCode, c.status)
		s.is.Equal(response.Header.Get(standin.HeaderNotRun) == "true", c.status == 503)
		s.is.Equal(response.Header.Get(standin.HeaderLeaving), "")
	}
	s.setFault(standin.Fault{Kind: standin.FaultLagging, Target: "vms"})
	s.setFault(standin.Fault{Kind: standin.FaultLeaving, Target: "worker/giza-w0"})
	response, _, err := s.request(0, "r", "", nil)
	s.is.NoErr(err)
	s.is.Equal(response.Header.Get(standin.HeaderLeaving), "true")
	health, err := http.Get("http://" + s.addresses.Workers[0].BackendAddress + "/healthz")
	s.is.NoErr(err)
	defer health.Body.Close()
	s.is.Equal(health.StatusCode, http.StatusOK)
	s.is.Equal(health.Header.Get(standin.HeaderLeaving), "true")
	s.is.Equal(s.listedVM("giza-w0").State, hostapi.VMLive) // the list lags
	s.setFault(standin.Fault{Kind: standin.FaultLagging, Target: "vms", Off: true})
	s.is.Equal(s.listedVM("giza-w0").State, hostapi.VMLeaving)
	s.setFault(standin.Fault{Kind: standin.FaultGone, Target: "vm/entry-giza"})
	s.is.Equal(s.listedVM("entry-giza"), nil)
	s.setFault(standin.Fault{Kind: standin.FaultGone, Target: "vm/entry-giza", Off: true})
	s.is.Equal(s.listedVM("entry-giza").Role, hostapi.RoleEntry)
}

// Guards against an agent that differs from the simulated worker, and against a
// restart that keeps the tasks or the boot id, or a crash that keeps the VM list
// entry.
func TestAgentOverHTTP(t *testing.T) {
	s := startTestPlatform(t)
	agent := s.agent(3)
	state, err := agent.Observe(s.ctx)
	s.is.NoErr(err)
	s.is.Equal(state.Worker, "maadi-w1")
	start := hostapi.Start{
		Command: hostapi.Command{Term: 3, Boot: state.Boot, Deadline: state.Clock + time.Hour},
		ID:      attemptID("j/1/0", 1), Kind: "batch",
		Requests: hostapi.Resources{MilliCPU: 1000}, LeaseExpiry: state.Clock + time.Hour, Work: time.Hour,
	}
	s.is.NoErr(agent.Start(s.ctx, start))
	s.is.NoErr(agent.Throttle(s.ctx, start.Command, start.ID, 0.5))
	name, err := agent.Checkpoint(s.ctx, start.Command, start.ID)
	s.is.NoErr(err)
	state, err = agent.Fence(s.ctx, 4)
	s.is.NoErr(err)
	s.is.Equal(state.Attempts[0].Checkpoint, name)
	s.is.Equal(state.Attempts[0].Throttle, 0.5)
	_, err = agent.Stop(s.ctx, start.Command, start.ID)
	s.is.True(errors.Is(err, hostapi.ErrLowerTerm))

	s.setFault(standin.Fault{Kind: standin.FaultWorkerDown, Target: "rack/maadi-r1"})
	_, err = s.agent(3).Observe(s.ctx) // on a new connection, which is refused
	s.is.True(errors.Is(err, hostapi.ErrNotSent))
	s.is.Equal(s.listedVM("maadi-w1"), nil)
	view := s.platform.History()
	s.is.Equal(len(view.Attempts), 1)
	run := view.Attempts[0]
	s.is.Equal(run.State, standin.AttemptLost)
	s.is.Equal(run.DataCentre, "maadi")
	s.is.True(run.Start > 0 && run.Start < run.End && run.End < view.Now)
	s.is.True(view.Workers[3].Down && !view.Workers[2].Down)

	s.setFault(standin.Fault{Kind: standin.FaultWorkerDown, Target: "rack/maadi-r1", Off: true})
	restarted, err := agent.Observe(s.ctx)
	s.is.NoErr(err)
	s.is.True(restarted.Boot != state.Boot)
	s.is.Equal(len(restarted.Attempts), 0)
	s.is.True(s.listedVM("maadi-w1") != nil)
	s.is.True(errors.Is(agent.Start(s.ctx, start), hostapi.ErrOtherBoot))
}
