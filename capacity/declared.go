package capacity

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/resources"
)

// jobSizes are numbers of declared jobs; the last one is a day at the planned
// scale.
var jobSizes = []int{6_000, 12_000, 24_000, 48_000}

// batchNeed is what a batch task requests.
var batchNeed = hostapi.Resources{MilliCPU: 1500, MemoryMiB: 4096}

// NewStore returns a resource store with the data centres of the planned scale
// and a number of jobs, as the log's records build it.
func NewStore(jobs int) (*resources.Store, error) {
	s := resources.New(resources.Limits{})
	for i := range dataCentres {
		r := api.Resource{
			Meta:       api.Meta{Kind: api.KindDataCentre, Name: centreName(i)},
			DataCentre: &api.DataCentreSpec{InService: true, Cells: cellsPerCentre, DrainSeconds: 120},
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

func centreName(i int) string {
	return fmt.Sprintf("centre-%02d", i)
}

// jobResource is a job of 20 tasks with every field that operators set.
func jobResource(i int) api.Resource {
	return api.Resource{
		Meta: api.Meta{Kind: api.KindJob, Name: fmt.Sprintf("nightly-import-%05d", i)},
		Job: &api.JobSpec{
			Team: fmt.Sprintf("team-%03d", i%teams), TaskKind: fmt.Sprintf("kind-%d", i%20),
			Tasks: 20, Requests: batchNeed, Priority: api.PriorityOrdinary, RunSeconds: 600, MaxRetries: 3,
		},
	}
}

// apply puts a resource as the next record.
func apply(s *resources.Store, r api.Resource) error {
	offset := s.View().Offset() + 1
	op, err := resources.NewPut(fmt.Sprintf("operation-%016x", offset), r, resources.Precondition{})
	if err != nil {
		return err
	}
	_, err = s.Apply(offset, op)
	return err
}

// measureStore measures the resource store per declared job.
func measureStore(r *Report) error {
	var build, live, shot, size []Point
	for _, jobs := range jobSizes {
		var store *resources.Store
		var err error
		begin := ProcessorTime()
		live = append(live, Point{float64(jobs), heap(func() any {
			store, err = NewStore(jobs)
			return store
		})})
		if err != nil {
			return err
		}
		build = append(build, Point{float64(jobs), float64(ProcessorTime() - begin)})
		data, _, err := store.Snapshot()
		if err != nil {
			return err
		}
		size = append(size, Point{float64(jobs), float64(len(data))})
		shot = append(shot, Point{float64(jobs), cost(func(int) { _, _, _ = store.Snapshot() })})
	}
	r.fit("resource store: apply", "job", "ns", build)
	r.fit("resource store: heap", "job", "bytes", live)
	r.fit("resource store: snapshot size", "job", "bytes", size)
	r.fit("resource store: snapshot time", "job", "ns", shot)
	return nil
}

// minute is the local time at which the machines of measurements begin.
const minute = time.Minute
