package standin

import (
	"fmt"
	"net/netip"

	"github.com/cactusreel/cactusreel/hostapi"
)

// DataCentre describes one data centre. Its workers are named
// "<name>-w<number>" and its racks "<name>-r<number>", numbered from 0. Worker i
// is in rack i modulo Racks.
type DataCentre struct {
	Name    string `json:"name"`
	Racks   int    `json:"racks"`
	Workers int    `json:"workers"`
	// Worker describes each worker; zero fields mean the defaults.
	Worker WorkerSpec `json:"worker"`
	// LogAddress and VMsAddress are the listen addresses of the log and of the
	// VM list for this data centre; "" means any port of Options.IP.
	LogAddress string `json:"logAddress,omitempty"`
	VMsAddress string `json:"vmsAddress,omitempty"`
	// Entries are the entry VMs. The stand-in does not run them; it only adds
	// them to the VM list.
	Entries []EntryVM `json:"entries,omitempty"`
}

// check validates the data centre and adds the ids of its entry VMs to ids,
// which holds the ids that are already in use.
func (dc DataCentre) check(ids map[string]bool) error {
	if dc.Workers < 0 || dc.Racks < 0 {
		return fmt.Errorf("number of workers or racks is negative")
	}
	spec := dc.Worker
	if !(hostapi.Resources{}).Fits(spec.Capacity) || spec.Slots < 0 || spec.Connections < 0 {
		return fmt.Errorf("worker has a negative capacity, slot or connection number")
	}
	for _, address := range []string{dc.LogAddress, dc.VMsAddress} {
		if address == "" {
			continue
		}
		err := checkLoopback(address)
		if err != nil {
			return err
		}
	}
	for _, entry := range dc.Entries {
		if entry.ID == "" || ids[entry.ID] {
			return fmt.Errorf("entry VM id %q is empty or used twice", entry.ID)
		}
		ids[entry.ID] = true
		_, err := netip.ParseAddrPort(entry.Address)
		if err != nil {
			return fmt.Errorf("entry VM %s: %w", entry.ID, err)
		}
	}
	return nil
}

// workerVMs returns the VM list entries of the workers, without addresses.
func (dc DataCentre) workerVMs() []hostapi.VM {
	spec := dc.Worker
	setDefault(&spec.Capacity, DefaultCapacity)
	setDefault(&spec.Slots, DefaultSlots)
	setDefault(&spec.Connections, DefaultConnections)
	vms := make([]hostapi.VM, 0, dc.Workers)
	for i := range dc.Workers {
		vms = append(vms, hostapi.VM{
			ID:          fmt.Sprintf("%s-w%d", dc.Name, i),
			DataCentre:  dc.Name,
			Rack:        fmt.Sprintf("%s-r%d", dc.Name, i%max(dc.Racks, 1)),
			Role:        hostapi.RoleWorker,
			State:       hostapi.VMLive,
			Capacity:    spec.Capacity,
			Slots:       spec.Slots,
			Connections: spec.Connections,
		})
	}
	return vms
}

func (dc DataCentre) entryVMs() []hostapi.VM {
	vms := make([]hostapi.VM, 0, len(dc.Entries))
	for _, entry := range dc.Entries {
		vms = append(vms, hostapi.VM{
			ID:           entry.ID,
			DataCentre:   dc.Name,
			Role:         hostapi.RoleEntry,
			State:        hostapi.VMLive,
			AgentAddress: entry.Address,
		})
	}
	return vms
}

// clockDrift returns the drift of worker i's clock as a fraction, positive for a
// fast clock.
func (dc DataCentre) clockDrift(i int) float64 {
	drift := dc.Worker.DriftPerMille / 1000
	if i%2 == 1 {
		return -drift
	}
	return drift
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
