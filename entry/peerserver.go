package entry

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/result"
)

// maxRelayedRecords is the maximum number of records of one relayed read.
const maxRelayedRecords = 1000

// peerServer serves the requests of other entry VMs. It implements peerpb.Peer.
type peerServer struct {
	node *Node
}

// Freshness implements peerpb.Peer.
func (s *peerServer) Freshness(context.Context, *peerpb.FreshnessRequest) (*peerpb.FreshnessResponse, error) {
	n := s.node
	n.freshnessMu.Lock()
	defer n.freshnessMu.Unlock()
	report, ok := n.freshnessMachine.Report(n.clock())
	if !ok {
		return &peerpb.FreshnessResponse{AgeNanos: -1}, nil
	}
	return &peerpb.FreshnessResponse{Head: report.Head, AgeNanos: int64(report.Age)}, nil
}

// ReadLog implements peerpb.Peer. It reads the log directly, never through
// another peer, so that relays can't form a loop.
func (s *peerServer) ReadLog(ctx context.Context, r *peerpb.ReadLogRequest) (*peerpb.ReadLogResponse, error) {
	limit := min(max(1, int(r.Limit)), maxRelayedRecords)
	page, err := s.node.directLog.Read(ctx, r.Stream, r.From, limit)
	truncated := errors.Is(err, hostapi.ErrTruncated)
	if err != nil && !truncated {
		return nil, err
	}
	response := &peerpb.ReadLogResponse{First: page.First, Next: page.Next, Truncated: truncated}
	for _, rec := range page.Records {
		response.Records = append(response.Records, &peerpb.LogRecord{Offset: rec.Offset, Id: rec.ID, Data: rec.Data})
	}
	return response, nil
}

// FetchResources implements peerpb.Peer.
func (s *peerServer) FetchResources(_ context.Context, r *peerpb.FetchResourcesRequest) (*peerpb.FetchResourcesResponse, error) {
	feed := s.node.feed
	if head := feed.store.View().Offset(); head <= r.Known {
		return &peerpb.FetchResourcesResponse{Head: head}, nil
	}
	data, head, err := feed.snapshot()
	if err != nil {
		return nil, err
	}
	return &peerpb.FetchResourcesResponse{Head: head, Snapshot: data}, nil
}

// AppendLog implements peerpb.Peer.
func (s *peerServer) AppendLog(ctx context.Context, r *peerpb.AppendLogRequest) (*peerpb.AppendLogResponse, error) {
	offset, err := s.node.directLog.Append(ctx, r.Stream, r.Id, r.Data)
	if errors.Is(err, hostapi.ErrNotSent) {
		return &peerpb.AppendLogResponse{NotSent: true}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peerpb.AppendLogResponse{Offset: offset}, nil
}

// Promise implements peerpb.Peer.
func (s *peerServer) Promise(ctx context.Context, r *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error) {
	claims := s.node.claims.Load()
	if claims == nil || r.DataCentre != s.node.settings.DataCentre {
		return &peerpb.PromiseResponse{}, nil
	}
	ev := ownership.PromiseAsked{From: r.Vm}
	for _, c := range r.Cells {
		ev.Cells = append(ev.Cells, ownership.CellTerm{Cell: int(c.Cell), Term: c.Term})
	}
	answer, err := claims.answerPromiseRequest(ctx, ev)
	if err != nil {
		return nil, err
	}
	response := &peerpb.PromiseResponse{}
	for _, cell := range answer.Granted {
		response.Granted = append(response.Granted, int32(cell))
	}
	for _, c := range answer.Newer {
		response.Newer = append(response.Newer, &peerpb.CellTerm{Cell: int32(c.Cell), Term: c.Term})
	}
	return response, nil
}

// AcknowledgeIntent implements peerpb.Peer.
func (s *peerServer) AcknowledgeIntent(_ context.Context, r *peerpb.IntentRequest) (*peerpb.IntentResponse, error) {
	n := s.node
	if r.Incarnation != n.incarnation {
		return &peerpb.IntentResponse{Code: int32(result.NotRunRepeatProtection), Message: "process has restarted"}, nil
	}
	cell := dedup.Cell{DataCentre: r.DataCentre, Number: int(r.Cell)}
	in := dedup.Intent{Cell: cell, Term: r.Term, ID: r.RequestId, Fingerprint: r.Fingerprint}
	if err := n.tables.Table(cell).AcknowledgeIntent(n.clock(), in); err != nil {
		return &peerpb.IntentResponse{Code: int32(result.CodeOf(err, result.NotRunRepeatProtection)), Message: err.Error()}, nil
	}
	return &peerpb.IntentResponse{Acknowledged: true}, nil
}

// Synchronise implements peerpb.Peer.
func (s *peerServer) Synchronise(_ context.Context, r *peerpb.SynchroniseRequest) (*peerpb.SynchroniseResponse, error) {
	n := s.node
	var part dedup.Copy
	if r.Incarnation != n.incarnation {
		return &peerpb.SynchroniseResponse{}, nil
	}
	if err := json.Unmarshal(r.Copy, &part); err != nil {
		return nil, err
	}
	cell := dedup.Cell{DataCentre: r.DataCentre, Number: int(r.Cell)}
	full, err := n.tables.Table(cell).ImportCopyPart(n.clock(), part)
	return &peerpb.SynchroniseResponse{Accepted: err == nil, Full: full}, nil
}

// Summary implements peerpb.Peer.
func (s *peerServer) Summary(_ context.Context, r *peerpb.SummaryRequest) (*peerpb.SummaryResponse, error) {
	return s.node.currentSummary(r.Known), nil
}

// CountTasks implements peerpb.Peer.
func (s *peerServer) CountTasks(_ context.Context, r *peerpb.CountTasksRequest) (*peerpb.CountTasksResponse, error) {
	return &peerpb.CountTasksResponse{Cells: s.node.ownedTaskCounts(r.Work)}, nil
}

// OfferMove implements peerpb.Peer.
func (s *peerServer) OfferMove(_ context.Context, r *peerpb.MoveRequest) (*peerpb.MoveResponse, error) {
	return &peerpb.MoveResponse{Delivered: s.node.deliverMoveLocally(r, true)}, nil
}

// ConfirmMove implements peerpb.Peer.
func (s *peerServer) ConfirmMove(_ context.Context, r *peerpb.MoveRequest) (*peerpb.MoveResponse, error) {
	return &peerpb.MoveResponse{Delivered: s.node.deliverMoveLocally(r, false)}, nil
}
