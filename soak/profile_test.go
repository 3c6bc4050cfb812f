package soak_test

import "time"

// profile is the size of the deployment, the load and the faults of a seed.
type profile struct {
	coordinators, cells int
	// callers submit one request at a time each, with pauses of up to maxPause.
	callers  int
	maxPause time.Duration
	// workerCPU is in thousandths of a core, workerMemory in MB.
	workerCPU, workerMemory int
	// storeLatency is the maximum time that a request to the store, and its response, take.
	storeLatency time.Duration
	// dealInterval is the time between dealings of the cells, in series beside the faults.
	// 0 means none.
	dealInterval time.Duration
	// faultKinds is the number of kinds of faults that injectFault chooses from, of which up
	// to overlapping are in progress at a time.
	faultKinds, overlapping int
	// faultDelay is the time from the beginning in which there are no such faults.
	faultDelay time.Duration
	// restarts is how often all coordinators are restarted at the beginning.
	restarts int
	// upgrade: every second coordinator runs another program at first.
	upgrade bool
}

// smallProfile has few coordinators, and a store that answers at once.
func smallProfile(faultKinds, overlapping int) profile {
	return profile{
		coordinators: 3, cells: 2, callers: 4, maxPause: 150 * time.Millisecond, workerCPU: 8000, workerMemory: 8000,
		faultKinds: faultKinds, overlapping: overlapping,
	}
}

// profiles are the profiles of seeds that are not regression seeds, by name.
var profiles = map[string]profile{
	"faults":   smallProfile(allFaultKinds, 2),
	"dealings": dealingsProfile(7),
	"crowd":    dealingsProfile(24).withRestarts(3),
	"upgrade":  dealingsProfile(8).withUpgrade(),
}

// dealingsProfile has one cell, which the group gives to any coordinator again and again while
// calls of the store take their time.
func dealingsProfile(coordinators int) profile {
	return profile{
		coordinators: coordinators, cells: 1, callers: 8, maxPause: 100 * time.Millisecond, workerCPU: 128000, workerMemory: 128000,
		storeLatency: 10 * time.Millisecond, dealInterval: 300 * time.Millisecond,
		faultKinds: allFaultKinds, overlapping: 2, faultDelay: 5 * time.Second,
	}
}

func (p profile) withRestarts(restarts int) profile {
	p.restarts = restarts
	return p
}

func (p profile) withUpgrade() profile {
	p.upgrade = true
	return p
}
