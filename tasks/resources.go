package tasks

import (
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

func resourcesFromProto(a *recordpb.Amount) hostapi.Resources {
	return hostapi.Resources{
		MilliCPU:     a.GetMilliCpu(),
		MemoryMiB:    a.GetMemoryMib(),
		Accelerators: a.GetAccelerators(),
	}
}

func resourcesToProto(r hostapi.Resources) *recordpb.Amount {
	return &recordpb.Amount{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
	}
}
