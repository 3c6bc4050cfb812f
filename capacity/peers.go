package capacity

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cactusreel/cactusreel/peer"
	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// peerServer is a peer that returns a fixed summary.
type peerServer struct {
	peerpb.Peer
	summary *peerpb.SummaryResponse
}

// Summary implements peerpb.Peer.
func (s *peerServer) Summary(_ context.Context, r *peerpb.SummaryRequest) (*peerpb.SummaryResponse, error) {
	if r.Known == s.summary.Version {
		return &peerpb.SummaryResponse{Vm: s.summary.Vm, Incarnation: s.summary.Incarnation, DataCentre: s.summary.DataCentre, Ready: true, Version: r.Known, Unchanged: true}, nil
	}
	return s.summary, nil
}

// Freshness implements peerpb.Peer.
func (s *peerServer) Freshness(context.Context, *peerpb.FreshnessRequest) (*peerpb.FreshnessResponse, error) {
	return &peerpb.FreshnessResponse{Head: 53_400, AgeNanos: int64(100 * time.Millisecond)}, nil
}

// summaryWithServices returns a summary of two cells with the given number of
// services each.
func summaryWithServices(services int) *peerpb.SummaryResponse {
	s := &peerpb.SummaryResponse{Vm: vmName(1), Incarnation: 1 << 60, DataCentre: dataCentreName(0), Ready: true, Version: 9_000_000}
	for cell := range 2 {
		c := &peerpb.CellSummary{
			DataCentre: dataCentreName(0), Cell: int32(cell), Term: 5_000_000, Workers: workersPerCell, Accepting: true,
			FreeMilliCpu: 900_000, FreeMemoryMib: 4_000_000, FreeAccelerators: 20, LargestMilliCpu: 30_000, LargestMemoryMib: 120_000,
			LargestAccelerators: 2, CapacityMilliCpu: 2_880_000, CapacityMemoryMib: 11_250_000, CapacityAccelerators: 80,
			PendingMilliCpu: 40_000, PendingMemoryMib: 90_000, Phase: 1,
		}
		for i := range services {
			c.Services = append(c.Services, &peerpb.ServiceSummary{Service: fmt.Sprintf("front-end-%04d", i), Replicas: 2, FreeSlots: 7, Created: 40_000})
		}
		s.Cells = append(s.Cells, c)
	}
	return s
}

// measurePeers measures the requests between entry VMs over loopback. Client and
// server run in this process, so the processor time includes both.
func measurePeers(r *Report) error {
	var full, fullBytes [][2]float64
	var rows [][]string
	for _, services := range []int{0, 50, 100, 200, 400} {
		server := &peerServer{summary: summaryWithServices(services)}
		spent, bytes, err := callPeer(server, func(c *peer.Client) error {
			_, err := c.Summary(context.Background(), &peerpb.SummaryRequest{})
			return err
		})
		if err != nil {
			return err
		}
		full = append(full, [2]float64{float64(services), spent})
		fullBytes = append(fullBytes, [2]float64{float64(services), bytes})
	}
	server := &peerServer{summary: summaryWithServices(400)}
	for name, call := range map[string]func(*peer.Client) error{
		"summary unchanged": func(c *peer.Client) error {
			_, err := c.Summary(context.Background(), &peerpb.SummaryRequest{Known: server.summary.Version})
			return err
		},
		"freshness": func(c *peer.Client) error {
			_, err := c.Freshness(context.Background(), &peerpb.FreshnessRequest{})
			return err
		},
	} {
		spent, bytes, err := callPeer(server, call)
		if err != nil {
			return err
		}
		rows = append(rows, []string{name, fmt.Sprintf("%.0f", bytes), fmt.Sprintf("%.0f", spent/1000)})
	}
	r.addSlope("peer summary of 2 cells: processor time at both ends", "service per cell", "ns", pointsOf(full))
	r.addSlope("peer summary of 2 cells: bytes on the wire, both ways", "service per cell", "bytes", pointsOf(fullBytes))
	r.addTable("Questions between entry VMs", []string{"question", "bytes, both ways", "processor time at both ends, µs"}, rows)
	return nil
}

func pointsOf(pairs [][2]float64) []Point {
	points := make([]Point, 0, len(pairs))
	for _, p := range pairs {
		points = append(points, Point{p[0], p[1]})
	}
	return points
}

// callPeer returns the processor time in nanoseconds and the bytes of one call to
// a server on loopback over a persistent connection.
func callPeer(s peerpb.Peer, call func(*peer.Client) error) (spent, bytes float64, err error) {
	p, err := measureExchange(peerpb.NewPeerServer(s), func(address string, client *http.Client) func() error {
		c := peer.NewClient(peer.Address{VM: vmName(1), HostPort: address}, client.Transport)
		return func() error { return call(c) }
	})
	return p.processorTime, p.bytes, err
}
