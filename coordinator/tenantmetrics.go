package coordinator

import (
	"strconv"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/metrics"
)

// tenantPrefix begins the names of the gauges of tenants.
const tenantPrefix = "tenant_"

// reportTenants sets the gauges of a cell's tenants. Those that are not reported any more are removed.
func (m *Metrics) reportTenants(cell int, tenants map[string]dispatch.TenantDump) {
	number, reported := strconv.Itoa(cell), make(map[string]bool)
	for tenant, t := range tenants {
		for name, value := range map[string]int64{
			"running_tasks": int64(t.Running), "running_cpu_millicores": t.Requested.MilliCPU,
			"waiting_tasks": int64(t.WaitingTasks), "tasks_at_cap": int64(t.AtCap), "share_millicores": t.ShareMilliCPU,
		} {
			full := metrics.Name(tenantPrefix+name, "cell", number, "tenant", tenant)
			gometrics.GetOrRegisterGauge(full, m.Registry).Update(value)
			reported[full] = true
		}
	}
	m.Registry.Each(func(name string, _ any) {
		if strings.HasPrefix(name, tenantPrefix) && strings.Contains(name, `{cell="`+number+`"`) && !reported[name] {
			m.Registry.Unregister(name)
		}
	})
}
