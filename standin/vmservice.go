package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// vmService is the hostapi.VMList with the real clock.
type vmService struct {
	platform *Platform

	mu    sync.Mutex
	table *VMTable
}

var _ hostapi.VMList = (*vmService)(nil)

// List implements hostapi.VMList.
func (v *vmService) List(_ context.Context, dataCentre string) ([]hostapi.VM, error) {
	var vms []hostapi.VM
	v.update(func(now time.Duration, table *VMTable) { vms = table.List(now, dataCentre) })
	return vms, nil
}

// update calls change with the present time and the table.
func (v *vmService) update(change func(now time.Duration, table *VMTable)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v.platform.now(), v.table)
}
