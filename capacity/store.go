package capacity

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/resources"
)

// jobSizes are the measured numbers of declared jobs. The last one is the number
// of a day at the planned scale.
var jobSizes = []int{6_000, 12_000, 24_000, 48_000}

// batchRequests are the resource requests of a batch task.
var batchRequests = hostapi.Resources{MilliCPU: 1500, MemoryMiB: 4096}

// NewStore returns a resource store with the data centres of the planned scale
// and the given number of jobs, built from operations as a reader of the log
// applies them.
func NewStore(jobs int) (*resources.Store, error) {
	s := resources.New(resources.Limits{})
	for i := range dataCentres {
		r := api.Resource{
			Meta:       api.Meta{Kind: api.KindDataCentre, Name: dataCentreName(i)},
			DataCentre: &api.DataCentreSpec{InService: true, Cells: cellsPerDataCentre, DrainSeconds: 120},
		}
		if err := apply(s, r); err != nil {
			return nil, err
		}
	}
	for i := range jobs {
		if err := apply(s, jobResource(i)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func dataCentreName(i int) string {
	return fmt.Sprintf("centre-%02d", i)
}

// jobResource returns a job of 20 tasks with every field that operators set.
func jobResource(i int) api.Resource {
	return api.Resource{
		Meta: api.Meta{Kind: api.KindJob, Name: fmt.Sprintf("nightly-import-%05d", i)},
		Job: &api.JobSpec{
			Team: fmt.Sprintf("team-%03d", i%teams), TaskKind: fmt.Sprintf("kind-%d", i%20),
			Tasks: 20, Requests: batchRequests, Priority: api.PriorityOrdinary, RunSeconds: 600, MaxRetries: 3,
		},
	}
}

// apply applies the put of a resource at the next offset.
func apply(s *resources.Store, r api.Resource) error {
	offset := s.View().Offset() + 1
	op, err := resources.NewPut(fmt.Sprintf("operation-%016x", offset), r, resources.Precondition{})
	if err != nil {
		return err
	}
	_, err = s.Apply(offset, op)
	return err
}

// measureStore measures the costs of the resource store per declared job.
func measureStore(r *Report) error {
	var applyTime, heapSize, snapshotTime, snapshotSize []Point
	for _, jobs := range jobSizes {
		var store *resources.Store
		var err error
		begin := ProcessorTime()
		heapSize = append(heapSize, Point{float64(jobs), liveHeap(func() any {
			store, err = NewStore(jobs)
			return store
		})})
		if err != nil {
			return err
		}
		applyTime = append(applyTime, Point{float64(jobs), float64(ProcessorTime() - begin)})
		data, _, err := store.Snapshot()
		if err != nil {
			return err
		}
		snapshotSize = append(snapshotSize, Point{float64(jobs), float64(len(data))})
		snapshotTime = append(snapshotTime, Point{float64(jobs), costPerCall(func(int) { _, _, _ = store.Snapshot() })})
	}
	r.addSlope("resource store: apply", "job", "ns", applyTime)
	r.addSlope("resource store: heap", "job", "bytes", heapSize)
	r.addSlope("resource store: snapshot size", "job", "bytes", snapshotSize)
	r.addSlope("resource store: snapshot time", "job", "ns", snapshotTime)
	return nil
}

// startTime is the initial local time of the measured state machines.
const startTime = time.Minute
