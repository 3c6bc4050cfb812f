package routing

import (
	"sync/atomic"
	"time"
)

// States of a worker's slot. A value of slotFirstTime or more is the release
// time of an abandoned request in nanoseconds plus slotFirstTime.
const (
	slotFree int64 = iota
	slotBusy
	slotFirstTime
)

// workerSlot is one slot of a worker. The fields other than state may be used
// only by the goroutine that changed the state to slotBusy.
type workerSlot struct {
	state   atomic.Int64
	service *serviceState
	share   *callerShare
}

// abandonedState returns the state of a slot that is in use until a time.
func abandonedState(t time.Duration) int64 {
	return int64(max(0, t)) + slotFirstTime
}

// releaseTime is the inverse of abandonedState.
func releaseTime(state int64) time.Duration {
	return time.Duration(state - slotFirstTime)
}
