package standin

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cactusreel/cactusreel/hostapi"
)

// MaxTopologyBytes is the maximum size of a topology document.
const MaxTopologyBytes = 4 << 20

// Default limits of backend servers, from design, section 1.4.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// DefaultCapacity is the capacity of the workers in the current deployments.
var DefaultCapacity = hostapi.Resources{MilliCPU: 64_000, MemoryMiB: 256_000}

// Topology describes what the stand-in runs.
type Topology struct {
	DataCentres  []DataCentre            `json:"dataCentres"`
	Kinds        map[string]TaskKindSpec `json:"kinds,omitempty"`
	Interference []Interference          `json:"interference,omitempty"`
}

// DecodeTopology parses and validates a topology. It rejects unknown fields.
func DecodeTopology(data []byte) (Topology, error) {
	if len(data) > MaxTopologyBytes {
		return Topology{}, fmt.Errorf("topology has %d bytes, more than %d", len(data), MaxTopologyBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var t Topology
	err := decoder.Decode(&t)
	if err != nil {
		return Topology{}, fmt.Errorf("topology: %w", err)
	}
	return t, t.check()
}

func (t Topology) check() error {
	if len(t.DataCentres) == 0 {
		return fmt.Errorf("topology has no data centre")
	}
	names := make(map[string]bool)
	ids := make(map[string]bool)
	for _, dc := range t.DataCentres {
		if dc.Name == "" || names[dc.Name] {
			return fmt.Errorf("data centre name %q is empty or used twice", dc.Name)
		}
		names[dc.Name] = true
		err := dc.check(ids)
		if err != nil {
			return fmt.Errorf("data centre %s: %w", dc.Name, err)
		}
	}
	_, err := NewTaskKinds(t.Kinds, t.Interference)
	return err
}
