package bench

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

const (
	// templatesPerClass is the number of recurring jobs of a class.
	templatesPerClass = 10
	// declarationError is the standard deviation of the logarithm of the ratio
	// of a declared value to the true one. wrongDeclarationError replaces it in
	// scenarios with wrong declarations.
	declarationError      = 0.1
	wrongDeclarationError = 0.7
	// memoryHeadroom is the factor that users add to the memory they declare.
	memoryHeadroom = 1.2
	// taskSpread is the standard deviation of the logarithm of the ratio of a
	// task's true values to those of its job.
	taskSpread = 0.06
)

// addTemplates draws the recurring jobs of each class.
func (sim *simulation) addTemplates() {
	spread := declarationError
	if sim.scenario.WrongDeclarations {
		spread = wrongDeclarationError
	}
	declarationFactor := func() float64 { return min(max(math.Exp(spread*sim.loadRandom.NormFloat64()), 0.25), 4) }
	for _, class := range sim.deployment.Classes {
		var list []template
		for i := range templatesPerClass {
			vary := func() float64 { return math.Exp(0.2 * sim.loadRandom.NormFloat64()) }
			t := template{name: fmt.Sprintf("%s-%d", class.Kind, i), class: class}
			t.cpu, t.memory, t.soloSeconds = float64(class.CPU)*vary(), float64(class.Memory)*vary(), class.RunTime.Seconds()*vary()
			t.declared.MilliCPU = int64(t.cpu * declarationFactor())
			t.declared.MemoryMiB = int64(t.memory * declarationFactor() * memoryHeadroom)
			t.runTime = time.Duration(t.soloSeconds * declarationFactor() * float64(time.Second))
			t.impossible = sim.loadRandom.Float64() < sim.scenario.ImpossibleJobs
			list = append(list, t)
		}
		sim.templates = append(sim.templates, list)
	}
	sim.nextArrivals = make([]time.Duration, len(sim.deployment.Classes))
}

// batchRate returns the arrival rate of a class, in jobs per second, that gives
// the deployment's utilisation.
func (sim *simulation) batchRate(class *Class) float64 {
	total := sim.deployment.Utilisation * float64(sim.deployment.WorkerCapacity.MilliCPU) * float64(sim.deployment.Workers)
	for _, s := range sim.deployment.Services {
		total -= float64(s.CPU) * float64(s.Replicas)
	}
	return total * class.Share / (float64(class.CPU) * class.RunTime.Seconds() * float64(class.Tasks))
}

// addArrivals adds the jobs that arrive in this tick.
func (sim *simulation) addArrivals() {
	rate := 1.0
	if sim.scenario.Flood {
		rate = 1.6
	}
	for i := range sim.deployment.Classes {
		class := &sim.deployment.Classes[i]
		for sim.nextArrivals[i] <= sim.now {
			gap := sim.loadRandom.ExpFloat64() / sim.batchRate(class) / rate
			sim.nextArrivals[i] += time.Duration(gap * float64(time.Second))
			sim.addJob(&sim.templates[i][sim.loadRandom.IntN(templatesPerClass)])
		}
	}
}

// addJob adds a job with its tasks from a template.
func (sim *simulation) addJob(t *template) {
	sim.version++
	team := sim.loadRandom.IntN(len(sim.teams))
	if sim.scenario.Flood && sim.loadRandom.IntN(2) == 0 {
		team = 0
	}
	j := &fakeJob{
		id: fmt.Sprintf("%s/%d", t.name, sim.version), kindIndex: sim.interference.kindIndex[t.class.Kind],
		team: sim.teams[team].Name, class: t.class,
		declared: t.declared, runTime: t.runTime, impossible: t.impossible,
	}
	sim.jobs = append(sim.jobs, j)
	for i := range t.class.Tasks {
		vary := func() float64 { return math.Exp(taskSpread * sim.loadRandom.NormFloat64()) }
		sim.addTask(&fakeTask{
			id: fmt.Sprintf("%s/%d", j.id, i), job: j, submittedAt: sim.now,
			cpu: t.cpu * vary(), memory: t.memory * vary(), soloSeconds: t.soloSeconds * vary(),
		}, i)
	}
}

// addServices adds the services with their replicas.
func (sim *simulation) addServices() {
	for i := range sim.deployment.Services {
		s := &sim.deployment.Services[i]
		sim.version++
		j := &fakeJob{
			id: fmt.Sprintf("%s/%d", s.Name, sim.version), kindIndex: sim.interference.kindIndex[s.Kind], team: sim.teams[i%len(sim.teams)].Name,
			class:    Class{Kind: s.Kind, CheckpointTime: time.Second},
			service:  s,
			declared: hostapi.Resources{MilliCPU: s.CPU + s.CPU/4, MemoryMiB: s.Memory + s.Memory/4},
		}
		sim.services = append(sim.services, j)
		for n := range s.Replicas {
			sim.addTask(&fakeTask{id: fmt.Sprintf("%s/%d", j.id, n), job: j, cpu: float64(s.CPU), memory: float64(s.Memory), soloSeconds: 1}, n)
		}
	}
}

// addTask makes a task pending in its first cell, computed as in design section 6.
func (sim *simulation) addTask(t *fakeTask, index int) {
	name, _, _ := strings.Cut(t.job.id, "/")
	var order []int
	for dc := range sim.deployment.DataCentres {
		if p := sim.dataCentres[dc].Phase; p == scheduler.InService || p == scheduler.Returning {
			order = append(order, dc)
		}
	}
	rank := func(dc int) uint64 { return xxhash.Sum64String(name + "@" + sim.deployment.DataCentres[dc]) }
	slices.SortFunc(order, func(a, b int) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	dc := order[index%len(order)]
	at := int(xxhash.Sum64String(t.id) % uint64(sim.deployment.CellsPerDataCentre))
	c := sim.cells[dc*sim.deployment.CellsPerDataCentre+at]
	c.pending = append(c.pending, t)
}
