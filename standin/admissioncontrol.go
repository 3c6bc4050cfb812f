package standin

import (
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
)

// AdmissionControl is the admission state of a backend server. It is not safe for
// concurrent use.
type AdmissionControl struct {
	slots  int
	active int
	term   int64
}

// NewAdmissionControl returns a guard for a number of slots.
func NewAdmissionControl(slots int) *AdmissionControl {
	return &AdmissionControl{slots: slots}
}

// Admit takes a slot for a request with a term, or 0 if it carries none, and
// returns how many requests run now, this one included. An error means that
// the request was not run.
func (g *AdmissionControl) Admit(term int64) (int, error) {
	if term != 0 && term < g.term {
		return g.active, fmt.Errorf("term %d is below %d: %w", term, g.term, hostapi.ErrLowerTerm)
	}
	if g.active >= g.slots {
		return g.active, result.Errorf(result.NotRunOverloaded, "all %d slots are in use", g.slots)
	}
	g.term = max(g.term, term)
	g.active++
	return g.active, nil
}

// Release frees a slot.
func (g *AdmissionControl) Release() {
	g.active--
}
