package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// vmService implements hostapi.VMList on a VMTable with the real clock.
type vmService struct {
	platform *Platform

	mu    sync.Mutex
	table *VMTable
}

var _ hostapi.VMList = (*vmService)(nil)

// List implements hostapi.VMList.
func (v *vmService) List(_ context.Context, dataCentre string) ([]hostapi.VM, error) {
	var vms []hostapi.VM
	v.withTable(func(now time.Duration, table *VMTable) { vms = table.List(now, dataCentre) })
	return vms, nil
}

// withTable calls use with the current time and the table, under the lock.
func (v *vmService) withTable(use func(now time.Duration, table *VMTable)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	use(v.platform.now(), v.table)
}
