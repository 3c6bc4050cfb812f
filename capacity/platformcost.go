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

// measurePlatform measures the requests to the platform over loopback with the
// daemon's clients. Client and server run in this process, so the processor time
// includes both.
func measurePlatform(r *Report) error {
	if err := measureObserve(r); err != nil {
		return err
	}
	if err := measureList(r); err != nil {
		return err
	}
	return measurePoll(r)
}

// measureObserve measures a read of a worker's state by the number of running
// attempts.
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
		p, err := measureExchange(httpapi.NewWorkerAgentHandler(&stateAgent{state: state}), func(address string, client *http.Client) func() error {
			agent := httpapi.NewWorkerAgentClient(address, client)
			return func() error { _, err := agent.Observe(context.Background()); return err }
		})
		if err != nil {
			return err
		}
		spent = append(spent, Point{float64(attempts), p.processorTime})
		bytes = append(bytes, Point{float64(attempts), p.bytes})
	}
	r.addSlope("worker state with usage: processor time at both ends", "attempt", "ns", spent)
	r.addSlope("worker state with usage: bytes, both ways", "attempt", "bytes", bytes)
	return nil
}

// measureList measures a read of the VM list by the number of VMs of the data
// centre.
func measureList(r *Report) error {
	var spent, bytes []Point
	for _, vms := range []int{90, 180, 360, 720} {
		var list fixedVMList
		for i := range vms {
			list = append(list, hostapi.VM{
				ID: fmt.Sprintf("%s-worker-%04d", dataCentreName(0), i), DataCentre: dataCentreName(0), Rack: fmt.Sprintf("rack-%02d", i/11),
				Role: hostapi.RoleWorker, State: hostapi.VMLive, Capacity: workerCapacity, Slots: 8, Connections: 64,
				AgentAddress: "10.11.12.13:7001", BackendAddress: "10.11.12.13:7002",
			})
		}
		p, err := measureExchange(httpapi.NewVMListHandler(list), func(address string, client *http.Client) func() error {
			reader := httpapi.NewVMListClient(address, client)
			return func() error { _, err := reader.List(context.Background(), dataCentreName(0)); return err }
		})
		if err != nil {
			return err
		}
		spent = append(spent, Point{float64(vms), p.processorTime})
		bytes = append(bytes, Point{float64(vms), p.bytes})
	}
	r.addSlope("VM list: processor time at both ends", "listed VM", "ns", spent)
	r.addSlope("VM list: bytes, both ways", "listed VM", "bytes", bytes)
	return nil
}

// measurePoll measures a read of a stream by the number of records that it
// returns.
func measurePoll(r *Report) error {
	var spent, bytes []Point
	data, err := record.EncodeBatch(sampleRecordsOf("put of a job"))
	if err != nil {
		return err
	}
	for _, records := range []int{0, 1, 4, 16, 64} {
		page := hostapi.LogPage{First: 1, Next: int64(records) + 50_000}
		for i := range records {
			page.Records = append(page.Records, hostapi.LogRecord{Offset: int64(i) + 50_000, ID: record.ID{Incarnation: 1 << 63, Sequence: 7}.String(), Data: data})
		}
		p, err := measureExchange(httpapi.NewLogHandler(pageLog{page: page}), func(address string, client *http.Client) func() error {
			log := httpapi.NewLogClient(address, client)
			return func() error {
				_, err := log.Read(context.Background(), record.ResourcesStream, 50_000, 100)
				return err
			}
		})
		if err != nil {
			return err
		}
		spent = append(spent, Point{float64(records), p.processorTime})
		bytes = append(bytes, Point{float64(records), p.bytes})
	}
	r.addSlope("log read: processor time at both ends", "record", "ns", spent)
	r.addSlope("log read: bytes, both ways", "record", "bytes", bytes)
	return nil
}

// exchangeCost is the cost of one request and its response.
type exchangeCost struct {
	// spent is the processor time of both ends in nanoseconds, bytes those of
	// both directions.
	processorTime, bytes float64
}

// measureExchange measures calls to a handler on loopback over a persistent
// connection.
func measureExchange(h http.Handler, newCall func(address string, client *http.Client) func() error) (exchangeCost, error) {
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
	call := newCall(inner.Addr().String(), client)
	if err := call(); err != nil {
		return exchangeCost{}, err
	}
	calls := 0
	before := listener.bytes.Load()
	spent := costPerCall(func(int) {
		calls++
		if failed := call(); failed != nil {
			err = failed
		}
	})
	return exchangeCost{processorTime: spent, bytes: float64(listener.bytes.Load()-before) / float64(calls)}, err
}
