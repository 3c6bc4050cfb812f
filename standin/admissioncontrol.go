package standin

import (
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// AdmissionControl decides which requests a backend server runs, by its free
// slots and the requests' terms. It is not safe for concurrent use.
type AdmissionControl struct {
	slots       int
	active      int
	highestTerm int64
}

// NewAdmissionControl returns the state of a server with the given number of
// slots, all free.
func NewAdmissionControl(slots int) *AdmissionControl {
	return &AdmissionControl{slots: slots}
}

// Admit occupies a slot for a request and returns the number of running
// requests, including this one. The term is 0 if the request carries none. On
// an error no slot is occupied and the request must not run.
func (a *AdmissionControl) Admit(term int64) (int, error) {
	if term != 0 && term < a.highestTerm {
		return a.active, fmt.Errorf("term %d is below %d: %w", term, a.highestTerm, hostapi.ErrLowerTerm)
	}
	if a.active >= a.slots {
		return a.active, result.Errorf(result.NotRunOverloaded, "all %d slots are in use", a.slots)
	}
	a.highestTerm = max(a.highestTerm, term)
	a.active++
	return a.active, nil
}

// Release frees a slot.
func (a *AdmissionControl) Release() {
	a.active--
}
