package dispatch

import (
	"maps"
	"slices"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
)

// minUseForHold is the part of a tenant's cap, as a divisor, that it has in use when a hold of the cap
// begins. Below it, most of the cap would be idle for one step.
const minUseForHold = 2

// capHold is the time for which a tenant's cap is kept since the step for which that began had a placement.
type capHold struct {
	hold
	state *ledger.Step
}

// capHolds keep what becomes free of the caps of tenants for steps that it does not suffice for. They answer
// the load of a tenant at its cap whose small requests would take each piece, so that its large ones wait
// without end.
type capHolds struct {
	// holds has the current hold of each tenant, or the last one while its step waits.
	holds map[string]*capHold
	// awaited are the tenants for whose caps a step waits that can be of use, as of the last planning round.
	awaited map[string]bool
	// kept are the tenants whose caps are kept for a step that had its turn in the planning round.
	kept map[string]bool
}

func newCapHolds() capHolds {
	return capHolds{holds: make(map[string]*capHold), awaited: make(map[string]bool), kept: make(map[string]bool)}
}

// forget forgets the holds of steps that don't wait any more.
func (c *capHolds) forget(waiting []*waitingStep) {
	if len(c.holds) == 0 {
		return
	}
	waits := make(map[*ledger.Step]bool, len(waiting))
	for _, ws := range waiting {
		waits[ws.state] = true
	}
	maps.DeleteFunc(c.holds, func(_ string, h *capHold) bool { return !waits[h.state] })
}

// notePlaced ends the hold of a step that had a placement.
func (c *capHolds) notePlaced(ws *waitingStep) {
	if h := c.holds[ws.entry.Tenant]; h != nil && h.state == ws.state {
		delete(c.holds, ws.entry.Tenant)
	}
}

// withoutCapped returns the steps of which tasks can be placed as far as the caps of tenants go, and begins
// a planning round. It leaves out the steps that come after one for which their cap is kept, but for their
// claims. The others that are left come before it, so that only their own turns keep the cap in the round.
func (m *Machine) withoutCapped(waiting []*waitingStep) []*waitingStep {
	caps := &m.tenants.caps
	caps.forget(waiting)
	clear(caps.awaited)
	clear(caps.kept)
	defer clear(caps.kept)
	return slices.DeleteFunc(waiting, func(ws *waitingStep) bool {
		barred := m.isBarredByCap(ws)
		ws.claimsOnly = caps.kept[ws.entry.Tenant]
		m.keepCapFor(ws)
		return barred
	})
}

// isBarredByCap reports whether no task of a step can be placed in its turn because of its tenant's cap: the
// tenant is at it, or what is left is kept for a step before. Room that tasks of the step claim is part of
// what the tenant has.
func (m *Machine) isBarredByCap(ws *waitingStep) bool {
	switch {
	case ws.entry.Tenant == "":
		return false
	case ws.leaving != nil:
		return m.aboveCap(ws.entry)
	}
	return m.atCap(ws) || m.tenants.caps.kept[ws.entry.Tenant] && m.claimsOf(ws.state) == 0
}

// tasksInTurn returns how many more tasks of a step, beside those that claim room, its tenant may have running
// in the turn of the step: none while its cap is kept for a step before.
func (m *Machine) tasksInTurn(ws *waitingStep) int {
	if ws.claimsOnly || m.tenants.caps.kept[ws.entry.Tenant] {
		return 0
	}
	return m.tasksWithinCap(ws.entry, &ws.entry.Steps[ws.stepIndex])
}

// keepCapFor keeps what is left of a tenant's cap from the steps that come after one that it does not suffice
// for. The first such step of a round has it.
func (m *Machine) keepCapFor(ws *waitingStep) {
	name, caps := ws.entry.Tenant, &m.tenants.caps
	if name == "" || ws.leaving != nil || caps.kept[name] || !m.atCap(ws) || !m.canUseCap(ws) {
		return
	}
	caps.awaited[name] = true
	mayBegin := m.usesMuchOfCap(name)
	switch h := caps.holds[name]; {
	case h != nil:
		caps.kept[name] = h.lasts(m.now, mayBegin)
	case mayBegin:
		caps.holds[name] = &capHold{hold: newHold(m.now), state: ws.state}
		caps.kept[name] = true
	}
}

// canUseCap reports whether a step that waits for its tenant's cap can be of use, and gets what it needs of
// the cap once the tenant's finite runs have ended.
func (m *Machine) canUseCap(ws *waitingStep) bool {
	step := &ws.entry.Steps[ws.stepIndex]
	if ws.timeliness == veryLate || !m.tenants.known || m.missingBeforeCap(ws) == 0 {
		return false
	}
	needed := 1
	if step.Gang {
		needed = step.Tasks
	}
	left := m.tenantRunning(ws.entry.Tenant)
	left.requested = left.longRunning
	if left.longRunning == (hostapi.Resources{}) {
		left.runs = 0 // A task that requests more than the cap runs alone.
	}
	return m.tasksBeside(ws.entry.Tenant, left, step) >= needed
}

// usesMuchOfCap reports whether a tenant has so much of its cap in use that a hold of it may begin.
func (m *Machine) usesMuchOfCap(name string) bool {
	use, limit := m.tenantUse(name).requested, m.capOf(name)
	for _, of := range amounts {
		if whole := of(limit); whole > 0 && minUseForHold*of(use) >= whole {
			return true
		}
	}
	return false
}
