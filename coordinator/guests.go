package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/workload"
)

// checkGuests queries the cells of submissions that transferred tasks to this cell. It
// cancels those that are final there, in the intake of this cell.
func (o *ownership) checkGuests(ctx context.Context, ids []string) {
	byCell := make(map[*cell][]string)
	for _, id := range ids {
		c := o.node.cellOf(id)
		byCell[c] = append(byCell[c], id)
	}
	for home, ids := range byCell {
		o.wg.Go(func() { o.checkGuestsOf(ctx, home, ids) })
	}
}

func (o *ownership) checkGuestsOf(ctx context.Context, home *cell, ids []string) {
	sent := o.node.monotonicNow()
	states, age, ok := o.node.statesAtOwner(ctx, home, ids)
	if !ok {
		return
	}
	confirmed := dispatch.GuestsConfirmed{SentAt: sent - age}
	for i, id := range ids {
		switch {
		case states[i] == unverified:
		case states[i].Final() || states[i] == workload.Unknown:
			o.cancelGuest(ctx, id)
		default:
			confirmed.IDs = append(confirmed.IDs, id)
		}
	}
	o.post(ctx, confirmed)
}

// cancelGuest cancels a guest in the intake of this cell, unless that is in progress.
func (o *ownership) cancelGuest(ctx context.Context, id string) {
	if _, inProgress := o.cancelling.LoadOrStore(id, true); inProgress {
		return
	}
	o.wg.Go(func() {
		defer o.cancelling.Delete(id)
		err := o.intakeWriter.append(ctx, encodeCancelled(id, ""))
		o.node.logger.Log(logevent.SubmissionCancelled, zap.String("id", id), zap.Int("cell", o.number), zap.Error(err))
	})
}

// unverified stands for the state of a submission of which it is not known whether the
// cell has it.
const unverified workload.State = -1

// statesAtOwner returns the states of submissions of a cell from its owner, with the age
// of what it knows: Unknown stands for those that the cell does not have. It returns
// false if no owner answered.
func (n *Node) statesAtOwner(ctx context.Context, c *cell, ids []string) (states []workload.State, age time.Duration, ok bool) {
	if c.owning.Load() {
		call, cancel := context.WithTimeout(ctx, lookupTimeout)
		defer cancel()
		states, age = c.ownerStates(call, ids)
		return states, age, c.hasAuthority()
	}
	ok = n.queryOwner(ctx, c, func(ctx context.Context, owner coordpb.Coordinator) (bool, error) {
		answer, err := owner.States(ctx, &coordpb.StatesRequest{Cell: int32(c.number), Ids: ids})
		if err != nil || !answer.Owner || len(answer.States) != len(ids) {
			return false, err
		}
		states = nil
		for _, state := range answer.States {
			states = append(states, workload.State(state))
		}
		age = time.Duration(answer.AgeMs) * time.Millisecond
		return true, nil
	})
	return states, age, ok
}

// ownerStates returns the states of submissions of a cell that this node owns, and for
// how long the owner has not read its intake. Only an intake that is read to its end
// tells that the cell does not have a submission.
func (c *cell) ownerStates(ctx context.Context, ids []string) ([]workload.State, time.Duration) {
	age := c.intakeAge()
	states := make([]workload.State, len(ids))
	missing := false
	for i, id := range ids {
		states[i] = c.localState(id)
		missing = missing || states[i] == workload.Unknown
	}
	if !missing {
		return states, age
	}
	err := c.readIntakeToEnd(ctx)
	for i, id := range ids {
		if states[i] != workload.Unknown {
			continue
		}
		if states[i] = c.localState(id); err != nil && states[i] == workload.Unknown {
			states[i] = unverified
		}
	}
	return states, age
}

// States handles a query of another node for the states of submissions.
func (n *Node) States(ctx context.Context, q *coordpb.StatesRequest) (*coordpb.StatesAnswer, error) {
	c := n.cell(q.Cell)
	if c == nil || !c.owning.Load() {
		return &coordpb.StatesAnswer{}, nil
	}
	states, age := c.ownerStates(ctx, q.Ids)
	answer := &coordpb.StatesAnswer{Owner: c.owning.Load() && c.hasAuthority(), AgeMs: age.Milliseconds()}
	for _, state := range states {
		answer.States = append(answer.States, int32(state))
	}
	answer.Outlook = c.outlookFor(q.OutlookVersion)
	return answer, nil
}
