package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// minimumCost is the processor time that a measurement takes at least; the
// kernel's accounting is too coarse for less.
const minimumCost = 60 * time.Millisecond

// ProcessorTime returns the user and system time of this process so far, or 0
// if the kernel does not tell.
func ProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cost returns the processor time of one call in nanoseconds. It repeats the
// call, with its number from 0, until the sum is large enough to be measured.
func cost(call func(i int)) float64 {
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

// heap returns the bytes of live objects that build leaves, which it keeps
// alive through the value that it returns.
func heap(build func() any) float64 {
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
