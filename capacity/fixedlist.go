package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/hostapi"
)

// fixedList is a VM list that does not change.
type fixedList []hostapi.VM

// List implements hostapi.VMList.
func (l fixedList) List(context.Context, string) ([]hostapi.VM, error) {
	return l, nil
}
