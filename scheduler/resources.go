package scheduler

import "github.com/cactusreel/cactusreel/hostapi"

// maxResources returns the larger value in each dimension.
func maxResources(a, b hostapi.Resources) hostapi.Resources {
	return hostapi.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// minResources returns the smaller value in each dimension.
func minResources(a, b hostapi.Resources) hostapi.Resources {
	return hostapi.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// scaleResources returns r times f, rounded down.
func scaleResources(r hostapi.Resources, f float64) hostapi.Resources {
	return hostapi.Resources{
		MilliCPU:     int64(float64(r.MilliCPU) * f),
		MemoryMiB:    int64(float64(r.MemoryMiB) * f),
		Accelerators: int64(float64(r.Accelerators) * f),
	}
}

// dominantShare returns the largest share of r in total over all dimensions. Any
// positive amount in a dimension with a total of zero counts as a share of 1.
func dominantShare(r, total hostapi.Resources) float64 {
	share := ratio(r.MilliCPU, total.MilliCPU)
	share = max(share, ratio(r.MemoryMiB, total.MemoryMiB))
	return max(share, ratio(r.Accelerators, total.Accelerators))
}

// ratio returns part over whole, 0 for a part of at most 0, and 1 for any other
// part of a whole of at most 0.
func ratio(part, whole int64) float64 {
	if part <= 0 {
		return 0
	}
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
