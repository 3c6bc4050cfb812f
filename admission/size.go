package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

// Size classifies a submission by its work among the recent submissions of its queue.
type Size int

// Sizes.
const (
	// Other: neither of the other sizes, or not known.
	Other Size = iota
	// Large: in the fifth below the largest tenth.
	Large
	// Largest: in the largest tenth.
	Largest
	sizeCount
)

// String returns the name in metrics and logs.
func (s Size) String() string { return [...]string{"other", "large", "largest"}[s] }

// Applies reports whether a submission may be rejected: it runs once, at once, and its tasks
// need room and end by themselves. Long-running tasks have waits of their own, and what
// best-effort tasks wait for isn't room.
func Applies(s *workload.Submission) bool {
	if s.Scheduled() {
		return false
	}
	for i := range s.Steps {
		if s.Steps[i].LongRunning || s.Steps[i].BestEffort {
			return false
		}
	}
	return true
}

// Sizing tells the size of a submission by its expected work.
type Sizing struct {
	// A task is expected to run for Scale times its estimate, in seconds, to the power of Slope.
	Scale, Slope float64
	// Quantiles are the works below which the first, second, ... of equally many parts of the queue's
	// submissions lie. Without them all submissions are Other.
	Quantiles []float64
}

// Parts is the number of parts into which Quantiles divide a queue's submissions.
const Parts = 20

// bounds are the ranks at which each size begins, and the last one ends.
var bounds = [sizeCount + 1]float64{0, 0.7, 0.9, 1}

// Of returns the size of a submission.
func (z *Sizing) Of(s *workload.Submission) Size {
	size, _ := z.place(s, 0.5)
	return size
}

// place returns the size of a submission, and its rank by work within that size, from 0 to 1. draw places
// it among those of the same work.
func (z *Sizing) place(s *workload.Submission, draw float64) (Size, float64) {
	if len(z.Quantiles) != Parts-1 {
		return Other, draw
	}
	work := z.Work(s)
	below, _ := slices.BinarySearch(z.Quantiles, work)
	upTo := below
	for upTo < len(z.Quantiles) && z.Quantiles[upTo] <= work {
		upTo++
	}
	// Without a greater quantile the submission is in the last part.
	rank := (float64(below) + draw*float64(upTo+1-below)) / Parts
	size := Other
	for size < Largest && rank >= bounds[size+1] {
		size++
	}
	return size, (rank - bounds[size]) / (bounds[size+1] - bounds[size])
}

// Work returns the expected work of a submission, in seconds of a core.
func (z *Sizing) Work(s *workload.Submission) float64 {
	sum := 0.0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Estimate > 0 {
			sum += float64(step.Tasks) * float64(step.Request.MilliCPU) / 1000 * z.Scale * math.Pow(step.Estimate.Seconds(), z.Slope)
		}
	}
	return sum
}

// Room counts, for each request of a grid of CPU requests, the tasks that fit the free room of
// a service's workers.
type Room []int32

// roomRequests is the size of the grid, which reaches from minRoomRequest thousandths of a core
// to about 80 cores. Its ratio says by how much a request may be rounded down.
const (
	roomRequests   = 45
	minRoomRequest = 200
	roomRatio      = 1.15
)

var roomGrid = func() (grid [roomRequests]int64) {
	request := float64(minRoomRequest)
	for i := range grid {
		grid[i] = int64(request)
		request *= roomRatio
	}
	return grid
}()

// NewRoom returns the room of a service without workers.
func NewRoom() Room { return make(Room, roomRequests) }

// Add adds the free room of a worker.
func (r Room) Add(free hostapi.Resources) {
	for i, request := range roomGrid {
		if free.MilliCPU < request {
			return
		}
		r[i] += int32(free.MilliCPU / request)
	}
}

// Fits returns how many tasks that request CPU fit. The request is rounded down to the grid, and
// memory, labels and racks don't count, so it is never less than what fits.
func (r Room) Fits(milliCPU int64) int {
	if milliCPU < minRoomRequest {
		return workload.MaxTasks
	}
	n := 0
	for i, tasks := range r {
		if i >= roomRequests || roomGrid[i] > milliCPU {
			break
		}
		n = int(tasks)
	}
	return n
}

// firstFits returns how many tasks fit of the step, among those that a submission begins with, that the
// most fit of.
func (r Room) firstFits(s *workload.Submission) int {
	most := 0
	for i := range s.Steps {
		if len(s.Steps[i].After) == 0 {
			most = max(most, r.Fits(s.Steps[i].Request.MilliCPU))
		}
	}
	return most
}

// seconds rounds a duration up to whole seconds, at least one.
func seconds(d time.Duration) time.Duration {
	return max(time.Second, (d + time.Second - 1).Truncate(time.Second))
}
