package bench

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
)

// Deployment is a model of an existing deployment with the sizes of design 1.4.
type Deployment struct {
	Name        string
	DataCentres []string
	// Workers is the number of workers over all data centres.
	Workers            int
	WorkersPerRack     int
	CellsPerDataCentre int
	WorkerCapacity     hostapi.Resources
	Weights            api.WeightsSpec
	Teams              int
	// Services run during the whole run.
	Services []Service
	// Classes are the classes of batch jobs; jobs arrive as a Poisson process.
	Classes []Class
	// Utilisation is the fraction of the processors that all work would use if
	// it were placed without loss.
	Utilisation float64
}

// Deployments returns both deployments.
func Deployments() []Deployment {
	return []Deployment{consortium(), bensalama()}
}

// consortium is a deployment that gives most weight to tail latency and data
// centre changes.
func consortium() Deployment {
	return Deployment{
		Name: "consortium", DataCentres: []string{"giza", "heliopolis", "maadi"},
		Workers: 65, WorkersPerRack: 11, CellsPerDataCentre: 4, Teams: 12, Utilisation: 0.62,
		WorkerCapacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 250 * 1024},
		Weights:        api.WeightsSpec{TailLatency: 100, DataCentreChanges: 80, Evictions: 30, Throughput: 20},
		Services: []Service{
			{Name: "register", Kind: "register", Replicas: 30, CPU: 8000, Memory: 16 << 10, Target: 80 * time.Millisecond},
			{Name: "menus", Kind: "menus", Replicas: 24, CPU: 6000, Memory: 12 << 10, Target: 120 * time.Millisecond},
			{Name: "allergens", Kind: "allergens", Replicas: 18, CPU: 6000, Memory: 12 << 10, Target: 60 * time.Millisecond},
			{Name: "billing", Kind: "billing", Replicas: 18, CPU: 8000, Memory: 24 << 10, Target: 200 * time.Millisecond},
		},
		Classes: []Class{
			{Kind: "import", Share: 0.3, CPU: 6000, Memory: 16 << 10, RunTime: 90 * time.Second, Tasks: 12, CheckpointTime: 2 * time.Second},
			{Kind: "reconcile", Share: 0.25, CPU: 8000, Memory: 24 << 10, RunTime: 150 * time.Second, Tasks: 8, CheckpointTime: 3 * time.Second},
			{Kind: "statistics", Share: 0.25, CPU: 12000, Memory: 32 << 10, RunTime: 200 * time.Second, Tasks: 6, CheckpointTime: 4 * time.Second},
			{Kind: "archive", Share: 0.15, CPU: 4000, Memory: 40 << 10, RunTime: 120 * time.Second, Tasks: 10, CheckpointTime: 5 * time.Second},
			{Kind: "recall", Share: 0.05, CPU: 4000, Memory: 8 << 10, RunTime: 20 * time.Second, Tasks: 4, Urgent: true, CheckpointTime: time.Second},
		},
	}
}

// bensalama is a deployment that gives most weight to evictions and throughput.
func bensalama() Deployment {
	return Deployment{
		Name: "bensalama", DataCentres: []string{"sfax-a", "sfax-b", "sfax-c"},
		Workers: 50, WorkersPerRack: 8, CellsPerDataCentre: 4, Teams: 9, Utilisation: 0.62,
		WorkerCapacity: hostapi.Resources{MilliCPU: 64000, MemoryMiB: 250 * 1024},
		Weights:        api.WeightsSpec{TailLatency: 40, DataCentreChanges: 30, Evictions: 100, Throughput: 90},
		Services: []Service{
			{Name: "bench-check", Kind: "bench-check", Replicas: 18, CPU: 6000, Memory: 8 << 10, Target: 50 * time.Millisecond},
			{Name: "watch", Kind: "watch", Replicas: 15, CPU: 5000, Memory: 12 << 10, Target: 250 * time.Millisecond},
			{Name: "parts", Kind: "parts", Replicas: 9, CPU: 4000, Memory: 8 << 10, Target: 150 * time.Millisecond},
		},
		Classes: []Class{
			{Kind: "calibration", Share: 0.45, CPU: 8000, Memory: 24 << 10, RunTime: 420 * time.Second, Tasks: 6, CheckpointTime: 6 * time.Second},
			{Kind: "spring-model", Share: 0.25, CPU: 16000, Memory: 48 << 10, RunTime: 300 * time.Second, Tasks: 4, CheckpointTime: 8 * time.Second},
			{Kind: "image-fit", Share: 0.2, CPU: 6000, Memory: 32 << 10, RunTime: 120 * time.Second, Tasks: 8, CheckpointTime: 3 * time.Second},
			{Kind: "timing-check", Share: 0.1, CPU: 2000, Memory: 4 << 10, RunTime: 8 * time.Second, Tasks: 6, Urgent: true, CheckpointTime: time.Second},
		},
	}
}
