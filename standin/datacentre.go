package standin

import (
	"fmt"
	"net/netip"

	"github.com/cactusreel/cactusreel/hostapi"
)

// DataCentre describes one data centre. Its workers are named
// "<name>-w<number>" and its racks "<name>-r<number>", both from 0; worker i is
// in rack i modulo Racks.
type DataCentre struct {
	Name    string `json:"name"`
	Racks   int    `json:"racks"`
	Workers int    `json:"workers"`
	// Worker is the shape of each worker; zero fields stand for the defaults.
	Worker WorkerSpec `json:"worker"`
	// LogAddress and VMsAddress are where the log and the VM list listen for
	// this data centre; "" stands for any port of Options.IP.
	LogAddress string `json:"logAddress,omitempty"`
	VMsAddress string `json:"vmsAddress,omitempty"`
	// Entries are the entry VMs, which the stand-in only lists.
	Entries []EntryVM `json:"entries,omitempty"`
}

// check adds the ids of the entry VMs to ids.
func (dc DataCentre) check(ids map[string]bool) error {
	if dc.Workers < 0 || dc.Racks < 0 {
		return fmt.Errorf("number of workers or racks is negative")
	}
	shape := dc.Worker
	if !(hostapi.Resources{}).Fits(shape.Capacity) || shape.Slots < 0 || shape.Connections < 0 {
		return fmt.Errorf("worker has a negative capacity")
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

// workers returns the workers of the data centre, without addresses.
func (dc DataCentre) workers() []hostapi.VM {
	shape := dc.Worker
	orDefault(&shape.Capacity, DefaultCapacity)
	orDefault(&shape.Slots, DefaultSlots)
	orDefault(&shape.Connections, DefaultConnections)
	vms := make([]hostapi.VM, 0, dc.Workers)
	for i := range dc.Workers {
		vms = append(vms, hostapi.VM{
			ID:          fmt.Sprintf("%s-w%d", dc.Name, i),
			DataCentre:  dc.Name,
			Rack:        fmt.Sprintf("%s-r%d", dc.Name, i%max(dc.Racks, 1)),
			Role:        hostapi.RoleWorker,
			State:       hostapi.VMLive,
			Capacity:    shape.Capacity,
			Slots:       shape.Slots,
			Connections: shape.Connections,
		})
	}
	return vms
}

func (dc DataCentre) entries() []hostapi.VM {
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

// drift returns the drift of worker i's clock as a factor.
func (dc DataCentre) drift(i int) float64 {
	drift := dc.Worker.DriftPerMille / 1000
	if i%2 == 1 {
		return -drift
	}
	return drift
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
