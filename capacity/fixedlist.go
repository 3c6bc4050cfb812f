package capacity

import (
	"context"

	"github.com/cactusreel/cactusreel/platform"
)

// fixedList is a VM list that does not change.
type fixedList []platform.VM

// List implements platform.VMList.
func (l fixedList) List(context.Context, string) ([]platform.VM, error) {
	return l, nil
}
