package dispatch

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// TenantsDeclared reports the tenants of the manifest in force.
type TenantsDeclared struct {
	// Version is that of the manifest.
	Version int64
	Tenants workload.Tenants
}

func (TenantsDeclared) isEvent() {}

// tenants has the declared tenants, and what each may have running on the workers of the cell.
type tenants struct {
	// known: the declarations have been passed on in this epoch.
	known    bool
	version  int64
	declared workload.Tenants
	// lowest has the lowest cap that is declared of each resource.
	lowest hostapi.Resources
	// running has the runs that may exist, by tenant.
	running map[string]tenantRuns
	// cpu has what their runs, and those without a tenant, request of each pool, in thousandths of a core.
	cpu        map[poolShare]int64
	reportedAt time.Duration
	overRate   rateExcess
	caps       capHolds
	// unlisted has the runs that workers list and this owner does not have. It is nil if it has to
	// be determined again.
	unlisted map[string]tenantRuns
}

// tenantRuns are runs of a tenant with the sum of their requests, in full also for best-effort runs.
type tenantRuns struct {
	runs      int
	requested hostapi.Resources
	// longRunning is the part of requested that belongs to long-running runs.
	longRunning hostapi.Resources
}

func newTenants() *tenants {
	return &tenants{running: make(map[string]tenantRuns), cpu: make(map[poolShare]int64), overRate: newRateExcess(), caps: newCapHolds()}
}

func (t tenantRuns) with(step *workload.Step, sign int64) tenantRuns {
	t.runs += int(sign)
	t.requested = addTimes(t.requested, step.Request, sign)
	if step.LongRunning {
		t.longRunning = addTimes(t.longRunning, step.Request, sign)
	}
	return t
}

// count adds a run that may exist or, with a sign of -1, subtracts one that can't any more.
func (t *tenants) count(r *run, sign int64) {
	if t == nil {
		return
	}
	name, pool := r.entry.Tenant, poolKey{r.entry.Policy.Service, r.step.BestEffort}
	of := poolShare{pool, name}
	if t.cpu[of] += sign * r.step.Request.MilliCPU; t.cpu[of] == 0 {
		delete(t.cpu, of)
	}
	if name == "" {
		return
	}
	if sum := t.running[name].with(r.step, sign); sum.runs > 0 {
		t.running[name] = sum
	} else {
		delete(t.running, name)
	}
}

// tenantsDeclared applies the tenants of a manifest. Runs above a lowered cap go on.
func (m *Machine) tenantsDeclared(ev TenantsDeclared) {
	t := m.tenants
	if t.known && ev.Version <= t.version {
		return
	}
	if t.known {
		m.reportCapChanges(t.declared, ev)
	}
	t.known, t.version, t.declared = true, ev.Version, ev.Tenants
	t.lowest = lowestCaps(ev.Tenants)
	if !t.declared.Declared() {
		t.overRate = newRateExcess()
	}
	m.rateInherited()
	m.planNeeded = true
}

// lowestCaps returns the lowest cap of each resource, or 0 where no tenant has one.
func lowestCaps(declared workload.Tenants) hostapi.Resources {
	lower := func(a, b int64) int64 {
		if a == 0 || b == 0 {
			return a + b
		}
		return min(a, b)
	}
	var out hostapi.Resources
	for _, t := range declared.All() {
		out.MilliCPU = lower(out.MilliCPU, t.Cap.MilliCPU)
		out.MemoryMiB = lower(out.MemoryMiB, t.Cap.MemoryMiB)
		out.Accelerators = lower(out.Accelerators, t.Cap.Accelerators)
	}
	return out
}

// capOf returns what a tenant may have running on the workers of the cell, 0 for no limit: its cap,
// divided equally between the cells, because none knows what runs in the others. A tenant that was
// removed with accepted work has the lowest cap.
func (m *Machine) capOf(name string) hostapi.Resources {
	limit := m.tenants.lowest
	if t := m.tenants.declared.Find(name); t != nil {
		limit = t.Cap
	}
	cells := int64(max(1, m.config.Cells))
	share := func(whole int64) int64 {
		if whole == 0 {
			return 0
		}
		return max(1, whole/cells)
	}
	return hostapi.Resources{MilliCPU: share(limit.MilliCPU), MemoryMiB: share(limit.MemoryMiB), Accelerators: share(limit.Accelerators)}
}

// tenantRunning returns the runs of a tenant that may exist on the workers of the cell.
func (m *Machine) tenantRunning(name string) tenantRuns {
	known, unlisted := m.tenants.running[name], m.unlistedRuns()[name]
	return tenantRuns{
		runs:        known.runs + unlisted.runs,
		requested:   known.requested.Add(unlisted.requested),
		longRunning: known.longRunning.Add(unlisted.longRunning),
	}
}

// unlistedRuns returns the runs of each tenant that workers list and this owner does not have.
func (m *Machine) unlistedRuns() map[string]tenantRuns {
	if m.tenants.unlisted != nil {
		return m.tenants.unlisted
	}
	out := make(map[string]tenantRuns)
	for _, w := range m.sorted {
		for id := range w.unknownRuns {
			e := m.ledger.Find(id.Task.Submission)
			if e != nil && e.Tenant != "" && id.Task.Step >= 0 && id.Task.Step < len(e.Steps) {
				out[e.Tenant] = out[e.Tenant].with(&e.Steps[id.Task.Step], 1)
			}
		}
	}
	m.tenants.unlisted = out
	return out
}

// claimedBy returns the runs for which tasks of a tenant claim room, but for those whose former run is
// counted still.
func (m *Machine) claimedBy(name string) tenantRuns {
	var out tenantRuns
	for id, c := range m.claims {
		if c.entry.Tenant == name && m.active[id] == nil {
			out = out.with(&c.entry.Steps[id.Step], 1)
		}
	}
	return out
}

// tasksWithinCap returns how many more tasks of a step its tenant may have running beside those that
// claim room. It has the decision for every placement; place asks it once more for each run.
func (m *Machine) tasksWithinCap(e *ledger.Entry, step *workload.Step) int {
	if e.Tenant == "" {
		return workload.MaxTasks
	}
	return m.tasksBeside(e.Tenant, m.tenantUse(e.Tenant), step)
}

// tenantUse returns the runs of a tenant with those for which its tasks claim room.
func (m *Machine) tenantUse(name string) tenantRuns {
	use, claimed := m.tenantRunning(name), m.claimedBy(name)
	use.runs += claimed.runs
	use.requested = use.requested.Add(claimed.requested)
	return use
}

// tasksBeside returns how many tasks of a step a tenant may have running beside other runs. Before the
// tenants are known it is none. A tenant whose cap is below the request of one task may have that
// running alone.
func (m *Machine) tasksBeside(name string, running tenantRuns, step *workload.Step) int {
	if !m.tenants.known {
		return 0
	}
	limit, fit := m.capOf(name), int64(workload.MaxTasks)
	for _, of := range amounts {
		if whole, request := of(limit), of(step.Request); whole > 0 && request > 0 {
			fit = min(fit, max(0, whole-of(running.requested))/request)
		}
	}
	if fit == 0 && running.runs == 0 && m.config.Cells <= 1 {
		return 1
	}
	return int(fit)
}

// amounts return the amount of each resource.
var amounts = [...]func(hostapi.Resources) int64{
	func(r hostapi.Resources) int64 { return r.MilliCPU },
	func(r hostapi.Resources) int64 { return r.MemoryMiB },
	func(r hostapi.Resources) int64 { return r.Accelerators },
}

// place places a task on a worker, or returns nil if its tenant would be above its cap.
func (m *Machine) place(ws *waitingStep, t *ledger.Task, number int64, w *worker) *run {
	if m.tasksWithinCap(ws.entry, &ws.entry.Steps[ws.stepIndex]) == 0 {
		return nil
	}
	return m.newRun(ws.entry, t, number, w)
}

// atCap reports whether no task of a step can be placed because of its tenant's cap. A gang is placed as
// a whole. Tasks that claim room have been counted.
func (m *Machine) atCap(ws *waitingStep) bool {
	switch step := &ws.entry.Steps[ws.stepIndex]; {
	case ws.entry.Tenant == "":
		return false
	case ws.leaving != nil:
		return m.aboveCap(ws.entry)
	case step.Gang:
		return m.tasksWithinCap(ws.entry, step) < m.missing(ws)
	default:
		return m.tasksWithinCap(ws.entry, step) == 0 && m.claimsOf(ws.state) == 0
	}
}

// withinCap returns as many of the tasks of a step as can be placed as far as its tenant's cap goes. A gang
// is placed as a whole.
func (m *Machine) withinCap(ws *waitingStep, tasks []*ledger.Task) []*ledger.Task {
	step := &ws.entry.Steps[ws.stepIndex]
	fit := m.tasksInTurn(ws)
	if step.Gang && fit < len(tasks) {
		return nil
	}
	return tasks[:min(len(tasks), fit)]
}

// tenantAboveCap blocks the start of a run that was recorded before its tenant's cap was lowered.
const tenantAboveCap = "tenant is above its cap"

// awaitsTenants reports whether a submission's tenant is not known to have a cap because no declarations
// have been passed on in this epoch.
func (m *Machine) awaitsTenants(e *ledger.Entry) bool { return e.Tenant != "" && !m.tenants.known }

// aboveCap reports whether a submission's tenant has more running than its cap, in more than one run:
// the cap was lowered. A run that ends can't be replaced then.
func (m *Machine) aboveCap(e *ledger.Entry) bool {
	if e.Tenant == "" {
		return false
	}
	if !m.tenants.known {
		return true
	}
	running, limit := m.tenantRunning(e.Tenant), m.capOf(e.Tenant)
	above := false
	for _, of := range amounts {
		above = above || of(limit) > 0 && of(running.requested) > of(limit)
	}
	return above && running.runs > 1
}

// describeAtCap says why a submission's tenant can have no more running.
func (m *Machine) describeAtCap(e *ledger.Entry) string {
	if m.awaitsTenants(e) {
		return "the caps of tenants are not known yet"
	}
	running, limit := m.tenantRunning(e.Tenant), m.capOf(e.Tenant)
	return fmt.Sprintf("tenant %s is at its cap: %d runs with %s of %s", e.Tenant, running.runs, describeResources(running.requested), describeResources(limit))
}

func describeResources(r hostapi.Resources) string {
	return fmt.Sprintf("%dm CPU, %d MiB, %d accelerators", r.MilliCPU, r.MemoryMiB, r.Accelerators)
}
