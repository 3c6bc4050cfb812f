package standin

import (
	"fmt"
	"slices"

	"github.com/cactusreel/cactusreel/result"
)

// Fault is the body of POST /fault.
//
// The targets of request faults are "log", "log/<dc>", "vms", "vms/<dc>",
// "agent", "agent/<worker>", "backend" and "backend/<worker>". The targets
// "worker/<worker>", "rack/<rack>" and "workers/<dc>" select both the agents and
// the backend servers of the workers; worker faults take these targets too.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target"`
	// Off switches the fault off.
	Off bool `json:"off,omitempty"`
	// Count is the number of requests that the fault affects; 0 means all.
	Count int `json:"count,omitempty"`
	// Delay applies to FaultSlow.
	Delay Duration `json:"delay,omitempty"`
	// Bytes applies to FaultCut and FaultFrozen.
	Bytes int `json:"bytes,omitempty"`
	// First applies to FaultTruncated.
	First int64 `json:"first,omitempty"`
}

// Check returns an error with code BadResource if the fault is invalid.
func (f Fault) Check() error {
	isRequestFault := slices.Contains(requestFaults, f.Kind)
	if !isRequestFault && !slices.Contains(stateFaults, f.Kind) {
		return result.Errorf(result.BadResource, "unknown fault kind %q", f.Kind)
	}
	if f.Count < 0 || f.Bytes < 0 || f.First < 0 {
		return result.Errorf(result.BadResource, "fault has a negative number")
	}
	if f.Count > 0 && !isRequestFault {
		return result.Errorf(result.BadResource, "fault %s takes no count", f.Kind)
	}
	if f.Kind == FaultSlow && !f.Off && f.Delay == 0 {
		return result.Errorf(result.BadResource, "fault %s needs a delay", f.Kind)
	}
	return nil
}

func errNoTarget(f Fault) error {
	return result.Errorf(result.NotFound, "%s", fmt.Sprintf("fault %s has no target %q", f.Kind, f.Target))
}
