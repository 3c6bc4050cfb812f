package tasks

import (
	"github.com/cactusreel/cactusreel/platform"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

func amount(a *recordpb.Amount) platform.Resources {
	return platform.Resources{
		MilliCPU:     a.GetMilliCpu(),
		MemoryMiB:    a.GetMemoryMib(),
		Accelerators: a.GetAccelerators(),
	}
}

func amountOf(r platform.Resources) *recordpb.Amount {
	return &recordpb.Amount{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
	}
}
