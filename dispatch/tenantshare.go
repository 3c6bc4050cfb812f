package dispatch

import (
	"cmp"
	"slices"

	"github.com/cactusreel/cactusreel/workload"
)

// shareableCPU is the fraction of the CPU of a service's usable workers that is divided between tenants.
// The rest lies in pieces that fit no task when the workers are full.
const shareableCPU = 0.9

// tenantDemand is what a tenant has and waits for, with its weight.
type tenantDemand struct{ weight, demand float64 }

// fairShares divides an amount between demands by weight: none gets more than it demands, and what it
// leaves goes to the others, so that a demand is cut only if its share per weight is the largest.
func fairShares(amount float64, demands []tenantDemand) []float64 {
	order, weights := make([]int, len(demands)), 0.0
	for i, d := range demands {
		order[i] = i
		weights += d.weight
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(demands[a].demand*demands[b].weight, demands[b].demand*demands[a].weight)
	})
	shares := make([]float64, len(demands))
	for _, i := range order {
		if weights <= 0 {
			break
		}
		shares[i] = min(demands[i].demand, amount*demands[i].weight/weights)
		amount -= shares[i]
		weights -= demands[i].weight
	}
	return shares
}

// poolKey is the CPU of a service that tenants share: that which is reserved, or, without a reservation,
// that of its best-effort runs.
type poolKey struct {
	service    string
	bestEffort bool
}

// poolShare names what a tenant, or "" for none, has of a pool.
type poolShare struct {
	poolKey
	tenant string
}

// tenantPool has the CPU of a pool, in thousandths of a core, by tenant.
type tenantPool struct {
	amount          float64
	running, waited map[string]float64
}

// markBeyondShares marks the waiting steps that are beyond the shares of their tenants, and puts them behind the
// others of their priority that can be of use. It answers the load of a tenant that sends many times its
// usual while the workers are full. A tenant that keeps within its rate is not marked, whatever it requests
// for a moment: the tasks of one submission may take more than a small tenant's share. As long as all
// demands together fit, no step is marked, and room that the others leave goes to marked steps. The marks
// follow from the waiting steps and the runs, so that another owner finds nearly the same.
func (m *Machine) markBeyondShares(waiting []*waitingStep, workers []*worker) {
	if !m.tenants.declared.Declared() || len(waiting) == 0 {
		return
	}
	pools := m.tenantPools(waiting, workers)
	shares := make(map[poolKey]map[string]float64, len(pools))
	for key, p := range pools {
		shares[key] = m.sharesOf(p)
	}
	marked := false
	for _, ws := range waiting {
		if ws.timeliness == veryLate {
			continue
		}
		name, pool := ws.entry.Tenant, pools[poolOf(ws)]
		if given := pool.running[name]; m.tenants.overRate.live[name] > 0 && given >= shares[poolOf(ws)][name] {
			ws.beyondShare, ws.level, marked = true, given/m.weightOf(name), true
		}
		pool.running[name] += m.waitingCPU(ws)
	}
	if marked {
		slices.SortStableFunc(waiting, compareUrgency)
	}
}

func poolOf(ws *waitingStep) poolKey {
	return poolKey{ws.entry.Policy.Service, ws.entry.Steps[ws.stepIndex].BestEffort}
}

// waitingCPU returns the CPU that the waiting tasks of a step request.
func (m *Machine) waitingCPU(ws *waitingStep) float64 {
	return float64(m.missing(ws)) * float64(ws.entry.Steps[ws.stepIndex].Request.MilliCPU)
}

// tenantPools returns the pools for which steps wait. Best-effort tasks wait when they find no more CPU
// unused, so that what their runs have is all that there is.
func (m *Machine) tenantPools(waiting []*waitingStep, workers []*worker) map[poolKey]*tenantPool {
	pools := make(map[poolKey]*tenantPool)
	for _, ws := range waiting {
		if ws.timeliness == veryLate {
			continue
		}
		key := poolOf(ws)
		if pools[key] == nil {
			pools[key] = &tenantPool{running: make(map[string]float64), waited: make(map[string]float64)}
		}
		pools[key].waited[ws.entry.Tenant] += m.waitingCPU(ws)
	}
	for _, w := range workers {
		if p := pools[poolKey{w.Service, false}]; p != nil {
			p.amount += shareableCPU * float64(w.Capacity.MilliCPU)
		}
	}
	for of, cpu := range m.tenants.cpu {
		if p := pools[of.poolKey]; p != nil {
			p.running[of.tenant] += float64(cpu)
			if of.bestEffort {
				p.amount += float64(cpu)
			}
		}
	}
	return pools
}

// sharesOf returns the shares of tenants of a pool.
func (m *Machine) sharesOf(p *tenantPool) map[string]float64 {
	var names []string
	for name := range p.running {
		names = append(names, name)
	}
	for name := range p.waited {
		if _, runs := p.running[name]; !runs {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	demands := make([]tenantDemand, len(names))
	for i, name := range names {
		demands[i] = tenantDemand{weight: m.weightOf(name), demand: p.running[name] + p.waited[name]}
	}
	shares := make(map[string]float64, len(names))
	for i, share := range fairShares(p.amount, demands) {
		shares[names[i]] = share
	}
	return shares
}

// weightOf returns the weight of a tenant. The submissions of public queues, and those of a removed tenant,
// have the mean weight.
func (m *Machine) weightOf(name string) float64 {
	declared := m.tenants.declared
	if t := declared.Find(name); t != nil {
		return t.Weight
	}
	sum := 0.0
	for _, t := range declared.All() {
		sum += t.Weight
	}
	return max(sum/float64(len(declared.All())), workload.DefaultWeight)
}
