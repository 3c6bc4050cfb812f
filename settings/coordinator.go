package settings

import (
	"fmt"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Coordinator holds the settings of one `cactusreel coordinator` process.
// Unknown keys are ignored: a newer platform may state more than this version
// knows.
type Coordinator struct {
	VM     CoordinatorVM     `ini:"vm"`
	Listen CoordinatorListen `ini:"listen"`
	Store  CoordinatorStore  `ini:"store"`
	Times  CoordinatorTimes  `ini:"times"`
	Limits CoordinatorLimits `ini:"limits"`
	Log    CoordinatorLog    `ini:"logging"`
}

// CoordinatorVM names the VM.
type CoordinatorVM struct {
	// Name is unique among the nodes.
	Name string `ini:"name"`
	// DataCentre is where the VM is.
	DataCentre string `ini:"data_centre"`
}

// CoordinatorListen holds IP addresses and ports.
type CoordinatorListen struct {
	Callers   string `ini:"callers"`
	Readiness string `ini:"readiness"`
	Peers     string `ini:"peers"`
	Metrics   string `ini:"metrics"`
}

// CoordinatorStore tells where the platform's store is.
type CoordinatorStore struct {
	Address string `ini:"address"`
}

// CoordinatorTimes holds the deployment's times.
type CoordinatorTimes struct {
	// LeaseLimit is the longest lease that workers grant.
	LeaseLimit time.Duration `ini:"lease_limit"`
	// StartEarly is how much before its due time an occurrence may start.
	StartEarly time.Duration `ini:"start_early"`
	// Stop is how long a worker takes to stop a run.
	Stop time.Duration `ini:"stop"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration `ini:"grace"`
	// GroupTTLLeast is the least time to live that the store's groups accept.
	GroupTTLLeast time.Duration `ini:"group_ttl_least"`
}

// CoordinatorLimits holds the deployment's figures that are not times.
type CoordinatorLimits struct {
	// Cells is the number of cells; all VMs must have the same number. 0
	// derives it from StoreWrites.
	Cells int `ini:"cells"`
	// StoreWrites is the number of calls a second that change the store, of
	// all VMs together.
	StoreWrites float64 `ini:"store_writes"`
	// CPUShare is this VM's share of a core.
	CPUShare float64 `ini:"cpu_share"`
	// MemoryMiB is the memory of this VM for the process.
	MemoryMiB int64 `ini:"memory_mib"`
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64 `ini:"remote_factor"`
	// StorePartitions is the number of partitions of a topic.
	StorePartitions int `ini:"store_partitions"`
}

// CoordinatorLog bounds the log.
type CoordinatorLog struct {
	// Level is the lowest level of events written.
	Level string `ini:"level"`
	// LinesPerSecond is the budget of log lines.
	LinesPerSecond int `ini:"lines_per_second"`
}

// presetCoordinator returns the values of absent keys.
func presetCoordinator() Coordinator {
	return Coordinator{
		Times: CoordinatorTimes{
			LeaseLimit: 6 * time.Second, StartEarly: 0, Stop: time.Second, Grace: 6 * time.Second,
			GroupTTLLeast: time.Second,
		},
		Limits: CoordinatorLimits{StoreWrites: 600, CPUShare: 1, MemoryMiB: 256, RemoteFactor: 2, StorePartitions: 24},
		Log:    CoordinatorLog{Level: "info", LinesPerSecond: 400},
	}
}

// LoadCoordinator reads the settings of a coordinator. An error of type
// Mistakes lists every bad value.
func LoadCoordinator(path string) (Coordinator, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Coordinator{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseCoordinator(path, data)
}

// ParseCoordinator reads the content of a settings file; name stands in messages.
func ParseCoordinator(name string, data []byte) (Coordinator, error) {
	s := presetCoordinator()
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: true}, data)
	if err != nil {
		return s, Mistakes{{File: name, Problem: err.Error(), Accepted: "sections, and lines of the form key = value"}}
	}
	dropEmpty(file)
	if err := file.StrictMapTo(&s); err != nil {
		return s, Mistakes{{File: name, Problem: err.Error(), Accepted: "durations with a unit, and numbers"}}
	}
	if s.Limits.Cells == 0 {
		s.Limits.Cells = cellsFor(s.Limits.StoreWrites, s.Limits.StorePartitions)
	}
	if mistakes := s.check(name); len(mistakes) > 0 {
		return s, mistakes
	}
	return s, nil
}

// writesPerCell is the number of the store's writing calls a second for each
// cell. The platform states these in proportion to the deployment's size: 1,200
// for 490 workers and 1,000 starts a second, which take their owner 0.3 of a core.
const writesPerCell = 1200

// leastMemoryMiB is the least memory that a node runs in: 50 MiB at rest, and as
// much for the state of a cell that it may have to own.
const leastMemoryMiB = 100

// cellsFor returns the number of cells of a deployment. Fewer cells place better:
// each has its own workers, and what one lacks another may leave unused.
func cellsFor(writes float64, partitions int) int {
	return max(1, min(partitions, int(writes/writesPerCell)))
}

// dropEmpty removes keys without a value, so that their presets hold: a
// template renders an unknown figure as nothing, or as a unit alone.
func dropEmpty(file *ini.File) {
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if value := key.Value(); value == "" || value == "ms" || value == "s" {
				section.DeleteKey(key.Name())
			}
		}
	}
}

func (s *Coordinator) check(name string) Mistakes {
	var mistakes Mistakes
	wrong := func(section, key, problem, accepted string) {
		mistakes = append(mistakes, Mistake{File: name, Section: section, Key: key, Problem: problem, Accepted: accepted})
	}
	for key, value := range map[string]string{"callers": s.Listen.Callers, "readiness": s.Listen.Readiness, "peers": s.Listen.Peers} {
		if !validAddress(value) {
			wrong("listen", key, fmt.Sprintf("has the value %q", value), addressAccepted)
		}
	}
	if s.Listen.Metrics != "" && !validAddress(s.Listen.Metrics) {
		wrong("listen", "metrics", fmt.Sprintf("has the value %q", s.Listen.Metrics), addressAccepted)
	}
	if !validAddress(s.Store.Address) {
		wrong("store", "address", fmt.Sprintf("has the value %q", s.Store.Address), addressAccepted)
	}
	if strings.TrimSpace(s.VM.Name) == "" {
		wrong("vm", "name", "is empty", "a name that no other VM has")
	}
	if s.Limits.Cells < 1 || s.Limits.Cells > s.Limits.StorePartitions {
		wrong("limits", "cells", fmt.Sprintf("has the value %d", s.Limits.Cells), "1 to the number of the store's partitions")
	}
	if s.Times.LeaseLimit < time.Second {
		wrong("times", "lease_limit", "has the value "+s.Times.LeaseLimit.String(), "1s or more")
	}
	if s.Limits.MemoryMiB < leastMemoryMiB {
		wrong("limits", "memory_mib", fmt.Sprintf("has the value %d", s.Limits.MemoryMiB), fmt.Sprintf("%d or more", leastMemoryMiB))
	}
	if s.Limits.RemoteFactor < 1 {
		wrong("limits", "remote_factor", fmt.Sprintf("has the value %g", s.Limits.RemoteFactor), "1 or more")
	}
	return mistakes
}
