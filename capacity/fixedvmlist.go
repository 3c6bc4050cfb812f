package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// fixedVMList is a VM list that does not change.
type fixedVMList []hostapi.VM

// List implements hostapi.VMList.
func (l fixedVMList) List(context.Context, string) ([]hostapi.VM, error) {
	return l, nil
}
