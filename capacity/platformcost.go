package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/record"
)

// measurePlatform measures the exchanges with the platform over loopback with
// the real clients. Both ends run in this process, so the processor time is the
// sum of both.
func measurePlatform(r *Report) error {
	if err := measureObserve(r); err != nil {
		return err
	}
	if err := measureList(r); err != nil {
		return err
	}
	return measurePoll(r)
}

// measureObserve measures the state of a worker by running attempts.
func measureObserve(r *Report) error {
	var spent, bytes []Point
	c := NewCell(64 * workersPerCell)
	for _, attempts := range []int{0, 8, 16, 32, 64} {
		state := c.State(0)
		state.Attempts = state.Attempts[:attempts]
		for _, a := range state.Attempts {
			state.Usage = append(state.Usage, hostapi.Usage{
				ID: a.ID, MeasuredAt: time.Hour, Colocated: []string{"kind-2", "kind-7"}, Used: a.Requests, Slowdown: 1.1, Load: 0.5,
			})
		}
		p, err := exchange(httpapi.NewWorkerAgentHandler(&stateAgent{state: state}), func(address string, client *http.Client) func() error {
			agent := httpapi.NewWorkerAgentClient(address, client)
			return func() error { _, err := agent.Observe(context.Background()); return err }
		})
		if err != nil {
			return err
		}
		spent = append(spent, Point{float64(attempts), p.spent})
		bytes = append(bytes, Point{float64(attempts), p.bytes})
	}
	r.fit("worker state with usage: processor time at both ends", "attempt", "ns", spent)
	r.fit("worker state with usage: bytes, both ways", "attempt", "bytes", bytes)
	return nil
}

// measureList measures a read of the VM list by VMs of the data centre.
func measureList(r *Report) error {
	var spent, bytes []Point
	for _, vms := range []int{90, 180, 360, 720} {
		var list fixedList
		for i := range vms {
			list = append(list, hostapi.VM{
				ID: fmt.Sprintf("%s-worker-%04d", centreName(0), i), DataCentre: centreName(0), Rack: fmt.Sprintf("rack-%02d", i/11),
				Role: hostapi.RoleWorker, State: hostapi.VMLive, Capacity: workerCapacity, Slots: 8, Connections: 64,
				AgentAddress: "10.11.12.13:7001", BackendAddress: "10.11.12.13:7002",
			})
		}
		p, err := exchange(httpapi.NewVMListHandler(list), func(address string, client *http.Client) func() error {
			reader := httpapi.NewVMListClient(address, client)
			return func() error { _, err := reader.List(context.Background(), centreName(0)); return err }
		})
		if err != nil {
			return err
		}
		spent = append(spent, Point{float64(vms), p.spent})
		bytes = append(bytes, Point{float64(vms), p.bytes})
	}
	r.fit("VM list: processor time at both ends", "listed VM", "ns", spent)
	r.fit("VM list: bytes, both ways", "listed VM", "bytes", bytes)
	return nil
}

// measurePoll measures a read of a stream by records that it returns.
func measurePoll(r *Report) error {
	var spent, bytes []Point
	data, err := record.EncodeBatch(recordsOf("put of a job"))
	if err != nil {
		return err
	}
	for _, records := range []int{0, 1, 4, 16, 64} {
		page := hostapi.LogPage{First: 1, Next: int64(records) + 50_000}
		for i := range records {
			page.Records = append(page.Records, hostapi.LogRecord{Offset: int64(i) + 50_000, ID: record.ID{Incarnation: 1 << 63, Sequence: 7}.String(), Data: data})
		}
		p, err := exchange(httpapi.NewLogHandler(pageLog{page: page}), func(address string, client *http.Client) func() error {
			log := httpapi.NewLogClient(address, client)
			return func() error {
				_, err := log.Read(context.Background(), record.ResourcesStream, 50_000, 100)
				return err
			}
		})
		if err != nil {
			return err
		}
		spent = append(spent, Point{float64(records), p.spent})
		bytes = append(bytes, Point{float64(records), p.bytes})
	}
	r.fit("log read: processor time at both ends", "record", "ns", spent)
	r.fit("log read: bytes, both ways", "record", "bytes", bytes)
	return nil
}

// exchangeCost is the cost of one request and its response.
type exchangeCost struct {
	// spent is the processor time of both ends in nanoseconds, bytes those of
	// both directions.
	spent, bytes float64
}

// exchange measures calls to a handler on loopback over a kept connection.
func exchange(h http.Handler, prepare func(address string, client *http.Client) func() error) (exchangeCost, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exchangeCost{}, err
	}
	listener := &countingListener{Listener: inner}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := httpapi.NewHTTPClient()
	defer client.CloseIdleConnections()
	call := prepare(inner.Addr().String(), client)
	if err := call(); err != nil {
		return exchangeCost{}, err
	}
	calls := 0
	before := listener.bytes.Load()
	spent := cost(func(int) {
		calls++
		if failed := call(); failed != nil {
			err = failed
		}
	})
	return exchangeCost{spent: spent, bytes: float64(listener.bytes.Load()-before) / float64(calls)}, err
}
