package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/platform"
)

// vmService is the platform.VMList with the real clock.
type vmService struct {
	platform *Platform

	mu    sync.Mutex
	table *VMTable
}

var _ platform.VMList = (*vmService)(nil)

// List implements platform.VMList.
func (v *vmService) List(_ context.Context, dataCentre string) ([]platform.VM, error) {
	var vms []platform.VM
	v.update(func(now time.Duration, table *VMTable) { vms = table.List(now, dataCentre) })
	return vms, nil
}

// update calls change with the present time and the table.
func (v *vmService) update(change func(now time.Duration, table *VMTable)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v.platform.now(), v.table)
}
