package hostapi

import "context"

// VMRole is the role of a VM.
type VMRole string

// VM roles.
const (
	RoleWorker VMRole = "worker"
	RoleEntry  VMRole = "entry"
)

// VMState is the state of a VM as reported by the platform.
type VMState string

// VM states. VMs that no longer exist are not in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Resources is an amount of compute resources: the capacity of a VM or the
// requests of a task.
type Resources struct {
	// MilliCPU is in thousandths of a processor core.
	MilliCPU int64 `json:"milliCPU"`
	// MemoryMiB is in mebibytes.
	MemoryMiB int64 `json:"memoryMiB"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		MemoryMiB:    r.MemoryMiB + o.MemoryMiB,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o; the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		MemoryMiB:    r.MemoryMiB - o.MemoryMiB,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// VM is an entry of the platform's VM list.
type VM struct {
	ID         string    `json:"id"`
	DataCentre string    `json:"dataCentre"`
	Rack       string    `json:"rack"`
	Role       VMRole    `json:"role"`
	State      VMState   `json:"state"`
	Capacity   Resources `json:"capacity"`
	// Slots is the maximum number of requests that a worker runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that a worker accepts.
	Connections int `json:"connections"`
	// AgentAddress is the IP address and port of the worker agent.
	AgentAddress string `json:"agentAddress"`
	// BackendAddress is the IP address and port of the backend server on a
	// worker, which serves all service replicas on the worker.
	BackendAddress string `json:"backendAddress"`
}

// VMList is the platform's list of live and leaving VMs. It can lag behind the
// actual state.
type VMList interface {
	// List returns all VMs of a data centre, or of all data centres if
	// dataCentre is "".
	List(ctx context.Context, dataCentre string) ([]VM, error)
}
