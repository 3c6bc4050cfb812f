package coordinator

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/witness"
)

// witnessMemory is how long after its last call a node can be chosen as a witness.
const witnessMemory = endWait + time.Second

// candidate is a process that can be a witness, as its calls tell.
type candidate struct {
	witness.Candidate
	// calledAt is when the process called last, on the node's monotonic clock.
	calledAt time.Duration
}

// candidates are the processes whose calls wait for the end of this node's ownership of a
// cell, by process.
type candidates struct {
	mu  sync.Mutex
	all map[int64]candidate
}

// noteCaller records the process that waits for the end of an ownership. Nodes of earlier
// versions don't name it.
func (c *cell) noteCaller(q *coordpb.AwaitEndRequest) {
	if q.PeerAddress == "" || q.Process == 0 {
		return
	}
	now := c.node.monotonicNow()
	c.candidates.mu.Lock()
	defer c.candidates.mu.Unlock()
	if c.candidates.all == nil {
		c.candidates.all = make(map[int64]candidate)
	}
	maps.DeleteFunc(c.candidates.all, func(_ int64, known candidate) bool {
		return known.PeerAddress == q.PeerAddress || now-known.calledAt > witnessMemory
	})
	c.candidates.all[q.Process] = candidate{
		Candidate: witness.Candidate{
			Witness:    ledger.Witness{VM: q.Vm, PeerAddress: q.PeerAddress, Process: q.Process},
			DataCentre: q.DataCentre,
		},
		calledAt: now,
	}
}

// askWitnesses has the witnesses confirm this owner until ctx is done, and has them recorded
// when they change.
func (o *ownership) askWitnesses(ctx context.Context) {
	for {
		o.requestReport(ctx)
		for _, c := range o.witnesses.Calls(o.node.authorityNow()) {
			o.node.wg.Go(func() { o.askWitness(ctx, c) })
		}
		if !o.sleepUntilRound(ctx) {
			return
		}
		if chosen := o.witnesses.Choose(o.candidateList(), o.node.config.DataCentre, o.node.authorityNow()); chosen != nil {
			o.post(ctx, dispatch.WitnessesChosen{Witnesses: *chosen})
		}
	}
}

// sleepUntilRound waits until the witnesses are to be called again. It returns false if ctx is done.
func (o *ownership) sleepUntilRound(ctx context.Context) bool {
	next := time.NewTimer(witness.CallInterval)
	defer next.Stop()
	select {
	case <-next.C:
	case <-o.lastReportMade:
	case <-ctx.Done():
		return false
	}
	return true
}

func (o *ownership) askWitness(ctx context.Context, c witness.Call) {
	report := o.witnesses.ReportFor(c, o.node.authorityNow())
	if report == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, witness.CallTimeout)
	defer cancel()
	answer, err := o.node.peers.client(c.Witness.PeerAddress).ConfirmOwner(call, &coordpb.ConfirmOwnerRequest{
		Cell: int32(o.number), Epoch: o.epoch, Process: c.Witness.Process, Report: reportMessage(report),
	})
	switch {
	case err == nil:
		o.witnesses.Answered(c, witness.Answer{
			Confirmed: answer.Confirmed, Leaving: answer.Leaving,
			Report: answer.Report, Known: witness.Known{Numbering: answer.Numbering, Workers: int(answer.KnownWorkers)},
		})
	case errors.Is(err, syscall.ECONNREFUSED):
		o.witnesses.Answered(c, witness.Answer{Leaving: true})
	}
}

// candidateList returns the processes that have called lately.
func (c *cell) candidateList() []witness.Candidate {
	now := c.node.monotonicNow()
	c.candidates.mu.Lock()
	defer c.candidates.mu.Unlock()
	var out []witness.Candidate
	for _, one := range c.candidates.all {
		if now-one.calledAt <= witnessMemory {
			out = append(out, one.Candidate)
		}
	}
	slices.SortFunc(out, func(a, b witness.Candidate) int { return cmp.Compare(a.Process, b.Process) })
	return out
}
