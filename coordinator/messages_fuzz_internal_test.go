package coordinator

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/witness"
)

// handleMessage passes a request of another node to its handler.
func handleMessage[Q proto.Message, A any](data []byte, q Q, handler func(context.Context, Q) (A, error)) {
	if proto.Unmarshal(data, q) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, _ = handler(ctx, q)
}

// Guards against a message of another node that ends this process or takes memory without
// bound: a negative cell, an index beyond a list, a report of workers that nobody numbered.
func FuzzMessagesOfOtherNodes(f *testing.F) {
	ends := []*coordpb.KnownEnd{{Worker: "w", Submission: "s", Occurrence: -1, Step: 9, Run: -3, Outcome: 99, AgeMs: -1 << 62}}
	ended := &coordpb.ResignAnswer{Resigned: true, LeasesKnown: true, Leases: []*coordpb.WorkerLease{{Worker: "w", ExpiryMs: 1 << 62}}, Ends: ends}
	for kind, seed := range []proto.Message{
		&coordpb.LookupRequest{Cell: -1, Id: "s"}, &coordpb.StatesRequest{Cell: -1, Ids: []string{"s", ""}, OutlookVersion: -1},
		&coordpb.PendingRequest{Cell: 1 << 30, Queue: "q"}, &coordpb.NotifyRequest{Offset: -1, Record: []byte{0xff}, OutlookVersion: math.MaxInt64},
		&coordpb.ResignRequest{Epoch: 1 << 62},
		&coordpb.AwaitEndRequest{WaitMs: -1, KnownEpoch: 3, Ended: ended, Ends: ends, PeerAddress: "a", Process: 1},
		&coordpb.ConfirmOwnerRequest{Epoch: 2, Process: 1, Report: &coordpb.LeaseReport{Number: -1, FirstWorker: 1 << 30, Expiry: []byte{1, 2}, Numbering: 3}},
		&coordpb.LastConfirmedRequest{Epoch: -1, Process: 1}, &coordpb.LastReportRequest{Epoch: 2, Process: 1},
		&coordpb.FreeCapacityRequest{Demands: []*coordpb.Demand{{Tasks: -1, MilliCpu: -5}}},
	} {
		data, err := proto.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(byte(kind), data)
	}
	f.Fuzz(func(_ *testing.T, kind byte, data []byte) {
		n := NewNode(Config{VM: "a", Cells: 2}, Platform{}, nil, NewMetrics())
		// A node chooses the number of its process at random; the requests name process 1.
		n.cells[0].confirmations = witness.NewConfirmations(1, 0)
		for range 2 { // The second one meets what the first one has left.
			switch kind % 10 {
			case 0:
				handleMessage(data, &coordpb.LookupRequest{}, n.Lookup)
			case 1:
				handleMessage(data, &coordpb.StatesRequest{}, n.States)
			case 2:
				handleMessage(data, &coordpb.PendingRequest{}, n.Pending)
			case 3:
				handleMessage(data, &coordpb.NotifyRequest{}, n.Notify)
			case 4:
				handleMessage(data, &coordpb.ResignRequest{}, n.Resign)
			case 5:
				handleMessage(data, &coordpb.AwaitEndRequest{}, n.AwaitEnd)
			case 6:
				handleMessage(data, &coordpb.ConfirmOwnerRequest{}, n.ConfirmOwner)
			case 7:
				handleMessage(data, &coordpb.LastConfirmedRequest{}, n.LastConfirmed)
			case 8:
				handleMessage(data, &coordpb.LastReportRequest{}, n.LastReport)
			case 9:
				handleMessage(data, &coordpb.FreeCapacityRequest{}, n.FreeCapacity)
			}
		}
	})
}
