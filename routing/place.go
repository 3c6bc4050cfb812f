package routing

import (
	"sync/atomic"
	"time"
)

// States of a place. A value from placeFirstTime on is the release time of an
// abandoned request in nanoseconds plus placeFirstTime.
const (
	placeFree int64 = iota
	placeBusy
	placeFirstTime
)

// place is one slot of a worker. The other fields belong to the goroutine
// that changed the state to placeBusy.
type place struct {
	state   atomic.Int64
	account *serviceAccount
	share   *callerShare
}

func placeUntil(t time.Duration) int64 {
	return int64(max(0, t)) + placeFirstTime
}

func releaseTime(state int64) time.Duration {
	return time.Duration(state - placeFirstTime)
}
