package dispatchtest

import (
	"time"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/witness"
	"github.com/cactusreel/cactusreel/workload"
)

const (
	// witnessCount is the number of processes that can be witnesses, which is the least.
	witnessCount = 3
	// lateness is how late answers of witnesses are if they are late.
	lateness = 1500 * time.Millisecond
)

// confirmedExpiry is the time, from the last confirmation of an owner by a witness, after which
// all leases that it granted have expired.
var confirmedExpiry = dispatch.LeaseExpiryBound(witness.ConfirmedDuration + leaseDuration)

// witnessLinks says which witnesses the owners reach.
type witnessLinks int

const (
	allWitnesses witnessLinks = iota
	firstWitnesses
	lastWitness
	linkStates
)

func (l witnessLinks) reach(i int) bool {
	return l == allWitnesses || (l == lastWitness) == (i == witnessCount-1)
}

// witnessProcess is a process that witnesses, the newest on its VM.
type witnessProcess struct {
	*witness.Confirmations
	process   int64
	startedAt time.Duration
	// held are the leases in the newest report that it holds of each epoch.
	held map[int64]map[workload.Incarnation]time.Duration
}

// startWitness starts a process, in place of one that ends.
func (c *World) startWitness(i int) {
	process := int64(i + 1)
	if w := c.witnesses[i]; w != nil {
		process = w.process + witnessCount
	}
	c.witnesses[i] = &witnessProcess{
		Confirmations: witness.NewConfirmations(process, c.Now), process: process, startedAt: c.Now,
		held: make(map[int64]map[workload.Incarnation]time.Duration),
	}
}

// witnessIndex returns the number of the VM of a process.
func witnessIndex(process int64) int { return int((process - 1) % witnessCount) }

// callWitnesses has the witnesses confirm an owner until its ownership and its hand-over have
// ended.
func (c *World) callWitnesses(o *owner) {
	if o.ended && !o.handingOver {
		return
	}
	if !o.ended {
		o.reported = o.machine.ReportedLeases(c.Now)
		o.witnesses.Report(o.reported)
	}
	c.callRound(o)
	c.after(witness.CallInterval, func() {
		if chosen := o.witnesses.Choose(c.candidates(), "", c.Now); chosen != nil {
			c.step(o, dispatch.WitnessesChosen{Witnesses: *chosen})
		}
		c.callWitnesses(o)
	})
}

// callRound calls each witness of an owner once.
func (c *World) callRound(o *owner) {
	o.called = [witnessCount]bool{}
	for _, call := range o.witnesses.Calls(c.Now) {
		o.called[witnessIndex(call.Witness.Process)] = true
		c.callWitness(o, call)
	}
}

func (c *World) callWitness(o *owner, call witness.Call) {
	i := witnessIndex(call.Witness.Process)
	if o.node.witnessesCut[i] || !c.witnessLinks.reach(i) {
		return
	}
	report := o.witnesses.ReportFor(call, c.Now)
	answer := c.witnesses[i].Confirm(call.Witness.Process, o.epoch, report, c.Now)
	if answer.Confirmed {
		o.confirmedAt = c.Now
	}
	if answer.Report == report.Number {
		c.witnesses[i].held[o.epoch] = o.reported
	}
	if !c.lateAnswers {
		o.witnesses.Answered(call, answer)
		return
	}
	c.after(lateness, func() { o.witnesses.Answered(call, answer) })
}

// candidates returns the processes whose calls reach the owners, which are all: a link may
// carry calls in one direction only.
func (c *World) candidates() (out []witness.Candidate) {
	for _, w := range c.witnesses {
		out = append(out, witness.Candidate{Witness: ledger.Witness{Process: w.process}})
	}
	return out
}

// inquiry is what a successor knows from the witnesses of the previous owner.
type inquiry struct {
	*witness.Inquiry
	named    ledger.Witnesses
	answered [witnessCount]bool
	// reported are the leases in the report that a majority of them tells of.
	reported map[workload.Incarnation]time.Duration
}

// askWitnesses asks the witnesses of the previous owner that have not answered. It returns when
// that owner can have been confirmed last once a majority has answered.
func (c *World) askWitnesses(o *owner) (last time.Duration, complete bool) {
	q := o.inquiry
	if q == nil {
		return 0, false
	}
	for _, one := range q.named.All {
		i := witnessIndex(one.Process)
		if q.answered[i] || o.node.witnessesCut[i] {
			continue
		}
		q.answered[i] = true
		answer := c.witnesses[i].LastConfirmed(one.Process, o.previous.epoch, c.Now)
		if holder, told := q.Held(one, answer.Report); told {
			_, q.reported = c.witnesses[witnessIndex(holder.Process)].LastReport(holder.Process, o.previous.epoch, c.Now)
			learned := q.reported
			c.after(2*time.Millisecond, func() { c.step(o, dispatch.LeasesReported{Expiry: learned}) })
		}
		if last, complete = q.Answered(answer, c.Now); complete {
			return last, true
		}
	}
	return 0, false
}

// latestConfirmation returns when the previous owner can have been confirmed last, as far as
// the processes that are left can tell.
func (c *World) latestConfirmation(o *owner) time.Duration {
	latest := o.previous.confirmedAt
	for _, one := range o.inquiry.named.All {
		if w := c.witnesses[witnessIndex(one.Process)]; w.process != one.Process {
			latest = max(latest, w.startedAt)
		}
	}
	return latest
}
