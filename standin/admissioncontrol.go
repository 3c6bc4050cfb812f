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
func (g *AdmissionControl) Admit(term int64) (int, error) {
	if term != 0 && term < g.highestTerm {
		return g.active, fmt.Errorf("term %d is below %d: %w", term, g.highestTerm, hostapi.ErrLowerTerm)
	}
	if g.active >= g.slots {
		return g.active, result.Errorf(result.NotRunOverloaded, "all %d slots are in use", g.slots)
	}
	g.highestTerm = max(g.highestTerm, term)
	g.active++
	return g.active, nil
}

// Release frees a slot.
func (g *AdmissionControl) Release() {
	g.active--
}
