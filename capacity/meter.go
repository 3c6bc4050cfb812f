package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// minimumCost is the minimum processor time of a measurement. The kernel's
// accounting is too coarse for shorter ones.
const minimumCost = 60 * time.Millisecond

// ProcessorTime returns the user and system time that this process has used, or 0
// if the kernel does not report it.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// costPerCall returns the mean processor time of a call in nanoseconds. It
// repeats the call, with a counter from 0, until the total is large enough to be
// measured.
func costPerCall(call func(i int)) float64 {
	calls := 0
	begin := ProcessorTime()
	for spent := time.Duration(0); spent < minimumCost; spent = ProcessorTime() - begin {
		batch := max(1, calls)
		for range batch {
			call(calls)
			calls++
		}
	}
	return float64(ProcessorTime()-begin) / float64(calls)
}

// liveHeap returns by how many bytes the live heap grows through build. The value
// that build returns keeps the measured objects reachable.
func liveHeap(build func() any) float64 {
	before := liveBytes()
	kept := build()
	after := liveBytes()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
