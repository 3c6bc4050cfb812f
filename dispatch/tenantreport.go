package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// reportCapChanges emits a decision that names the tenants whose caps a manifest changes.
func (m *Machine) reportCapChanges(before workload.Tenants, ev TenantsDeclared) {
	var changes []string
	for _, t := range ev.Tenants.All() {
		switch old := before.Find(t.Name); {
		case old == nil:
			changes = append(changes, fmt.Sprintf("%s added with %s", t.Name, describeResources(t.Cap)))
		case old.Cap != t.Cap:
			changes = append(changes, fmt.Sprintf("%s from %s to %s", t.Name, describeResources(old.Cap), describeResources(t.Cap)))
		}
	}
	for _, t := range before.All() {
		if ev.Tenants.Find(t.Name) == nil {
			changes = append(changes, t.Name+" removed")
		}
	}
	if len(changes) == 0 {
		return
	}
	slices.Sort(changes)
	m.emit(Decision{Kind: CapsChanged, Reason: fmt.Sprintf("version %d: %s", ev.Version, strings.Join(changes, "; "))})
}

// TenantDump is what a tenant has running and waiting on the workers of a cell, of what it may have.
type TenantDump struct {
	Running   int                `json:"running"`
	Requested hostapi.Resources  `json:"requested"`
	Cap       *hostapi.Resources `json:"cap,omitempty"`
	// WaitingTasks counts the tasks that wait, AtCap those of them that wait because of the cap.
	WaitingTasks int `json:"waitingTasks"`
	AtCap        int `json:"atCap"`
	// ShareMilliCPU is what the tenant gets of the usable workers' CPU by its weight when all tenants
	// request more.
	ShareMilliCPU int64 `json:"shareMilliCPU"`
}

// tenantReportInterval is the time between two reports of what tenants have.
const tenantReportInterval = time.Second

// TenantsReported tells what the tenants have running and waiting. It is emitted while tenants are declared
// or have work.
type TenantsReported struct{ Tenants map[string]TenantDump }

func (TenantsReported) isAction() {}

func (m *Machine) reportTenants() {
	if m.now-m.tenants.reportedAt < tenantReportInterval || !m.tenants.declared.Declared() && len(m.tenants.running) == 0 {
		return
	}
	m.tenants.reportedAt = m.now
	m.forgetRates()
	m.emit(TenantsReported{Tenants: m.dumpTenants(m.waitingSteps())})
}

// dumpTenants returns the tenants that are declared or have work, or nil if there are none.
func (m *Machine) dumpTenants(waiting []*waitingStep) map[string]TenantDump {
	out := make(map[string]TenantDump)
	for _, t := range m.tenants.declared.All() {
		out[t.Name] = TenantDump{}
	}
	for name := range m.tenants.running {
		out[name] = TenantDump{}
	}
	for _, ws := range waiting {
		name := ws.entry.Tenant
		if name == "" {
			continue
		}
		d, tasks := out[name], ws.state.Local()-m.occupied[ws.state]
		d.WaitingTasks += tasks
		if m.atCap(ws) {
			d.AtCap += tasks
		}
		out[name] = d
	}
	capacity, weights := int64(0), 0.0
	for _, w := range m.usableWorkers() {
		capacity += w.Capacity.MilliCPU
	}
	for _, t := range m.tenants.declared.All() {
		weights += t.Weight
	}
	for name, d := range out {
		if t := m.tenants.declared.Find(name); t != nil && weights > 0 {
			d.ShareMilliCPU = int64(t.Weight / weights * float64(capacity))
		}
		running := m.tenantRunning(name)
		d.Running, d.Requested = running.runs, running.requested
		if limit := m.capOf(name); limit != (hostapi.Resources{}) {
			d.Cap = &limit
		}
		out[name] = d
	}
	if len(out) == 0 {
		return nil
	}
	return out
}
