package settings

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Coordinator holds the settings of one `cactusreel coordinator` process.
// Unknown keys are ignored, because a newer platform may set keys that this
// version does not support.
type Coordinator struct {
	VM     CoordinatorVM     `ini:"vm"`
	Listen CoordinatorListen `ini:"listen"`
	Store  CoordinatorStore  `ini:"store"`
	Times  CoordinatorTimes  `ini:"times"`
	Limits CoordinatorLimits `ini:"limits"`
	Log    CoordinatorLog    `ini:"logging"`
}

// CoordinatorVM identifies the VM.
type CoordinatorVM struct {
	// Name is unique among the nodes.
	Name string `ini:"name"`
	// DataCentre is the data centre of the VM.
	DataCentre string `ini:"data_centre"`
}

// CoordinatorListen holds the IP addresses and ports of the listeners.
type CoordinatorListen struct {
	Callers   string `ini:"callers"`
	Readiness string `ini:"readiness"`
	Peers     string `ini:"peers"`
	Metrics   string `ini:"metrics"`
}

// CoordinatorStore holds the address of the platform's store.
type CoordinatorStore struct {
	Address string `ini:"address"`
}

// CoordinatorTimes holds the time settings of the deployment.
type CoordinatorTimes struct {
	// LeaseLimit is the longest lease that workers grant.
	LeaseLimit time.Duration `ini:"lease_limit"`
	// StartEarly is how long before its due time an occurrence may start.
	StartEarly time.Duration `ini:"start_early"`
	// Stop is how long a worker takes to stop a run.
	Stop time.Duration `ini:"stop"`
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration `ini:"grace"`
	// GroupTTLLeast is the minimum time to live that the store's groups accept.
	GroupTTLLeast time.Duration `ini:"group_ttl_least"`
	// DrainNotice is how long after a worker has reported that it drains it may still be
	// sent starts.
	DrainNotice time.Duration `ini:"drain_notice"`
	// EvacuationNotice is the same after the evacuation of a data centre.
	EvacuationNotice time.Duration `ini:"evacuation_notice"`
	// CancelNotice is the same after the cancellation of a submission was acknowledged.
	CancelNotice time.Duration `ini:"cancel_notice"`
	// ManifestNotice is how long after a new version of the manifest, where it declares
	// tenants, calls may still be answered by an older one; 0 means no limit.
	ManifestNotice time.Duration `ini:"manifest_notice"`
	// LogRetention is how long the platform's log keeps records.
	LogRetention time.Duration `ini:"log_retention"`
	// PlaceWait is the longest time for which a task waits for room on the rack of its data although
	// it could run elsewhere. Shorter waits are weighed; 0 means that none waits.
	PlaceWait time.Duration `ini:"place_wait"`
}

// CoordinatorLimits holds the limits and rates of the deployment.
type CoordinatorLimits struct {
	// Cells is the number of cells; all VMs must have the same number. 0
	// derives it from StoreWrites.
	Cells int `ini:"cells"`
	// StoreWrites is the number of calls a second that change the store, over
	// all VMs.
	StoreWrites float64 `ini:"store_writes"`
	// CPUShare is this VM's share of a core.
	CPUShare float64 `ini:"cpu_share"`
	// MemoryMiB is the memory of this VM that the process may use.
	MemoryMiB int64 `ini:"memory_mib"`
	// RemoteFactor is the ratio of a task's run time away from its data to that
	// near it.
	RemoteFactor float64 `ini:"remote_factor"`
	// StorePartitions is the number of partitions of a topic.
	StorePartitions int `ini:"store_partitions"`
	// RejectUnstartable has submissions rejected that the workers can't start while they
	// are of use.
	RejectUnstartable bool `ini:"reject_unstartable"`
	// Descriptors is the number of file descriptors of this VM that the process may use.
	Descriptors int `ini:"descriptors"`
	// ClientMemory is the share of MemoryMiB for callers' connections, heads and bodies.
	ClientMemory float64 `ini:"client_memory"`
	// ClientProgress is the number of bytes of a body that must arrive within 10 s.
	ClientProgress int `ini:"client_progress"`
	// MaxHeaderBytes limits the head of a request.
	MaxHeaderBytes int `ini:"max_header_bytes"`
}

// CoordinatorLog holds the settings of the event log.
type CoordinatorLog struct {
	// Level is the lowest level of events written.
	Level string `ini:"level"`
	// LinesPerSecond is the maximum rate of log lines.
	LinesPerSecond int `ini:"lines_per_second"`
}

// defaultCoordinator returns the settings with the defaults of absent keys.
func defaultCoordinator() Coordinator {
	return Coordinator{
		Times: CoordinatorTimes{
			LeaseLimit: 6 * time.Second, StartEarly: 0, Stop: time.Second, Grace: 6 * time.Second,
			GroupTTLLeast: time.Second,
			DrainNotice:   2 * time.Second, EvacuationNotice: 5 * time.Second, CancelNotice: 3 * time.Second,
			LogRetention: 5 * time.Minute,
		},
		Limits: CoordinatorLimits{
			StoreWrites: 600, CPUShare: 1, MemoryMiB: 256, RemoteFactor: 2, StorePartitions: 24,
			Descriptors: 4096, ClientMemory: 0.15, ClientProgress: 1024, MaxHeaderBytes: 64 << 10,
		},
		Log: CoordinatorLog{Level: "info", LinesPerSecond: 400},
	}
}

// LoadCoordinator reads the settings file of a coordinator. An error of type
// Mistakes lists every invalid value.
func LoadCoordinator(path string) (Coordinator, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Coordinator{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseCoordinator(path, data)
}

// ParseCoordinator reads the content of a settings file; name is the file name
// for messages.
func ParseCoordinator(name string, data []byte) (Coordinator, error) {
	s := defaultCoordinator()
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: true}, data)
	if err != nil {
		return s, Mistakes{{File: name, Problem: err.Error(), Accepted: "sections, and lines of the form key = value"}}
	}
	deleteEmptyKeys(file)
	if err := file.StrictMapTo(&s); err != nil {
		return s, Mistakes{{File: name, Problem: err.Error(), Accepted: "durations with a unit, and numbers"}}
	}
	if s.Limits.Cells == 0 {
		s.Limits.Cells = cellCount(s.Limits.StoreWrites, s.Limits.StorePartitions)
	}
	if mistakes := append(s.check(name), negativeTimes(name, file)...); len(mistakes) > 0 {
		slices.SortStableFunc(mistakes, func(a, b Mistake) int { return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key)) })
		return s, mistakes
	}
	return s, nil
}

// storeWritesPerCell is the number of calls a second that change the store for
// each cell. The platform sets StoreWrites in proportion to the size of the
// deployment: 1,200 for 490 workers and 1,000 starts a second, which use 0.3 of a
// core of the owner.
const storeWritesPerCell = 1200

// minMemoryMiB is the minimum memory for a node: 50 MiB when idle, and as much
// for the state of a cell that it may come to own.
const minMemoryMiB = 100

// Limits of the settings for clients. A node with fewer descriptors can't reach its workers; with
// more memory for callers, too little is left for the state of a cell.
const (
	minDescriptors                   = 300
	minClientMemory, maxClientMemory = 0.05, 0.4
	minHeaderBytes, maxHeaderBytes   = 4 << 10, 1 << 20
)

// cellCount derives the number of cells of a deployment from the rate of store
// writes and the number of partitions. Fewer cells give better placement: each cell
// has its own workers, and work waits before it is transferred to another cell.
func cellCount(writes float64, partitions int) int {
	return max(1, min(partitions, int(writes/storeWritesPerCell)))
}

// deleteEmptyKeys removes keys without a value, so that their defaults apply: the
// template renders an unknown number as an empty value, or as a unit alone.
func deleteEmptyKeys(file *ini.File) {
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if value := key.Value(); value == "" || value == "ms" || value == "s" {
				section.DeleteKey(key.Name())
			}
		}
	}
}

// minNotice is the shortest time within which the views of an owner are read again and a
// start arrives.
const minNotice = time.Second

// minLogRetention is the shortest retention of the log within which snapshots can be written often
// enough.
const minLogRetention = 10 * time.Second

func (s *Coordinator) check(name string) Mistakes {
	var mistakes Mistakes
	addMistake := func(section, key, problem, accepted string) {
		mistakes = append(mistakes, Mistake{File: name, Section: section, Key: key, Problem: problem, Accepted: accepted})
	}
	for key, value := range map[string]string{"callers": s.Listen.Callers, "readiness": s.Listen.Readiness, "peers": s.Listen.Peers} {
		if !validAddress(value) {
			addMistake("listen", key, fmt.Sprintf("has the value %q", value), addressAccepted)
		}
	}
	if s.Listen.Metrics != "" && !validAddress(s.Listen.Metrics) {
		addMistake("listen", "metrics", fmt.Sprintf("has the value %q", s.Listen.Metrics), addressAccepted)
	}
	if !validAddress(s.Store.Address) {
		addMistake("store", "address", fmt.Sprintf("has the value %q", s.Store.Address), addressAccepted)
	}
	if strings.TrimSpace(s.VM.Name) == "" {
		addMistake("vm", "name", "is empty", "a name that no other VM has")
	}
	if s.Limits.Cells < 1 || s.Limits.Cells > s.Limits.StorePartitions {
		addMistake("limits", "cells", fmt.Sprintf("has the value %d", s.Limits.Cells), "1 to the number of the store's partitions")
	}
	if s.Times.LeaseLimit < time.Second {
		addMistake("times", "lease_limit", "has the value "+s.Times.LeaseLimit.String(), "1s or more")
	}
	if s.Times.LogRetention < minLogRetention {
		addMistake("times", "log_retention", "has the value "+s.Times.LogRetention.String(), minLogRetention.String()+" or more")
	}
	for key, value := range map[string]time.Duration{
		"drain_notice": s.Times.DrainNotice, "evacuation_notice": s.Times.EvacuationNotice, "cancel_notice": s.Times.CancelNotice,
		"manifest_notice": s.Times.ManifestNotice,
	} {
		if key == "manifest_notice" && value == 0 {
			continue
		}
		if value < minNotice {
			addMistake("times", key, "has the value "+value.String(), minNotice.String()+" or more")
		}
	}
	if s.Limits.MemoryMiB < minMemoryMiB {
		addMistake("limits", "memory_mib", fmt.Sprintf("has the value %d", s.Limits.MemoryMiB), fmt.Sprintf("%d or more", minMemoryMiB))
	}
	if s.Limits.Descriptors < minDescriptors {
		addMistake("limits", "descriptors", fmt.Sprintf("has the value %d", s.Limits.Descriptors), fmt.Sprintf("%d or more", minDescriptors))
	}
	if !(s.Limits.ClientMemory >= minClientMemory && s.Limits.ClientMemory <= maxClientMemory) {
		addMistake("limits", "client_memory", fmt.Sprintf("has the value %g", s.Limits.ClientMemory), fmt.Sprintf("%g to %g", minClientMemory, maxClientMemory))
	}
	if s.Limits.MaxHeaderBytes < minHeaderBytes || s.Limits.MaxHeaderBytes > maxHeaderBytes {
		addMistake("limits", "max_header_bytes", fmt.Sprintf("has the value %d", s.Limits.MaxHeaderBytes), fmt.Sprintf("%d to %d", minHeaderBytes, maxHeaderBytes))
	}
	if s.Limits.RemoteFactor < 1 {
		addMistake("limits", "remote_factor", fmt.Sprintf("has the value %g", s.Limits.RemoteFactor), "1 or more")
	}
	return append(mistakes, s.checkRanges(name)...)
}

// Limits of numbers that are converted or added up.
const (
	// maxCoordinatorTime is the longest duration of the [times] section.
	maxCoordinatorTime = 24 * time.Hour
	// maxCoordinatorNumber is the largest number of the [limits] section.
	maxCoordinatorNumber = 1e9
)

// negativeTimes reports the negative durations, for which the ini package keeps the
// defaults.
func negativeTimes(name string, file *ini.File) Mistakes {
	var mistakes Mistakes
	for _, key := range []string{
		"lease_limit", "start_early", "stop", "grace", "group_ttl_least", "drain_notice", "evacuation_notice", "cancel_notice", "manifest_notice",
		"place_wait", "log_retention",
	} {
		if value := file.Section("times").Key(key).Value(); strings.HasPrefix(value, "-") {
			mistakes = append(mistakes, Mistake{
				File: name, Section: "times", Key: key, Problem: "has the value " + quoted(value), Accepted: "0s to " + maxCoordinatorTime.String(),
			})
		}
	}
	return mistakes
}

// checkRanges reports the durations that are too long, and the numbers that are negative or too
// large.
func (s *Coordinator) checkRanges(name string) Mistakes {
	var mistakes Mistakes
	for key, value := range map[string]time.Duration{
		"lease_limit": s.Times.LeaseLimit, "start_early": s.Times.StartEarly, "stop": s.Times.Stop, "grace": s.Times.Grace,
		"group_ttl_least": s.Times.GroupTTLLeast, "drain_notice": s.Times.DrainNotice,
		"evacuation_notice": s.Times.EvacuationNotice, "cancel_notice": s.Times.CancelNotice,
		"manifest_notice": s.Times.ManifestNotice,
		"place_wait":      s.Times.PlaceWait, "log_retention": s.Times.LogRetention,
	} {
		if value > maxCoordinatorTime {
			mistakes = append(mistakes, Mistake{
				File: name, Section: "times", Key: key, Problem: "has the value " + value.String(), Accepted: "0s to " + maxCoordinatorTime.String(),
			})
		}
	}
	for key, value := range map[string]float64{
		"store_writes": s.Limits.StoreWrites, "cpu_share": s.Limits.CPUShare, "memory_mib": float64(s.Limits.MemoryMiB),
		"remote_factor": s.Limits.RemoteFactor, "store_partitions": float64(s.Limits.StorePartitions),
		"descriptors": float64(s.Limits.Descriptors), "client_progress": float64(s.Limits.ClientProgress),
	} {
		if math.IsNaN(value) || value < 0 || value > maxCoordinatorNumber {
			mistakes = append(mistakes, Mistake{
				File: name, Section: "limits", Key: key, Problem: fmt.Sprintf("has the value %g", value),
				Accepted: fmt.Sprintf("0 to %g", float64(maxCoordinatorNumber)),
			})
		}
	}
	return mistakes
}
