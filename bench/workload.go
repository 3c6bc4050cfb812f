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
	// templatesPerClass is how many different jobs of a class recur.
	templatesPerClass = 10
	// declarationError is the standard deviation of the log of a declared
	// value over the true one; wrongError is that of the scenario.
	declarationError = 0.1
	wrongError       = 0.7
	// memoryHeadroom is what users add to the memory they declare.
	memoryHeadroom = 1.2
	// taskSpread is the standard deviation of the log of a task's true values
	// around its job's.
	taskSpread = 0.06
)

// addTemplates draws the jobs that recur.
func (w *world) addTemplates() {
	spread := declarationError
	if w.scenario.WrongDeclarations {
		spread = wrongError
	}
	wrong := func() float64 { return min(max(math.Exp(spread*w.load.NormFloat64()), 0.25), 4) }
	for _, class := range w.deployment.Classes {
		var list []template
		for i := range templatesPerClass {
			vary := func() float64 { return math.Exp(0.2 * w.load.NormFloat64()) }
			t := template{name: fmt.Sprintf("%s-%d", class.Kind, i), class: class}
			t.cpu, t.memory, t.work = float64(class.CPU)*vary(), float64(class.Memory)*vary(), class.Run.Seconds()*vary()
			t.declared.MilliCPU = int64(t.cpu * wrong())
			t.declared.MemoryMiB = int64(t.memory * wrong() * memoryHeadroom)
			t.runTime = time.Duration(t.work * wrong() * float64(time.Second))
			t.impossible = w.load.Float64() < w.scenario.ImpossibleJobs
			list = append(list, t)
		}
		w.templates = append(w.templates, list)
	}
	w.arrivals = make([]time.Duration, len(w.deployment.Classes))
}

// batchRate returns the jobs of a class per second that fill the deployment.
func (w *world) batchRate(class *Class) float64 {
	total := w.deployment.Fill * float64(w.deployment.Worker.MilliCPU) * float64(w.deployment.Workers)
	for _, s := range w.deployment.Services {
		total -= float64(s.CPU) * float64(s.Replicas)
	}
	return total * class.Share / (float64(class.CPU) * class.Run.Seconds() * float64(class.Tasks))
}

// arrive makes the jobs whose time has come.
func (w *world) arrive() {
	rate := 1.0
	if w.scenario.Flood {
		rate = 1.6
	}
	for i := range w.deployment.Classes {
		class := &w.deployment.Classes[i]
		for w.arrivals[i] <= w.now {
			gap := w.load.ExpFloat64() / w.batchRate(class) / rate
			w.arrivals[i] += time.Duration(gap * float64(time.Second))
			w.addJob(&w.templates[i][w.load.IntN(templatesPerClass)])
		}
	}
}

// addJob makes one job and its tasks.
func (w *world) addJob(t *template) {
	w.version++
	team := w.load.IntN(len(w.teams))
	if w.scenario.Flood && w.load.IntN(2) == 0 {
		team = 0
	}
	j := &fakeJob{
		id: fmt.Sprintf("%s/%d", t.name, w.version), kind: w.truth.kinds[t.class.Kind],
		team: w.teams[team].Name, class: t.class,
		declared: t.declared, runTime: t.runTime, impossible: t.impossible,
	}
	w.jobs = append(w.jobs, j)
	for i := range t.class.Tasks {
		vary := func() float64 { return math.Exp(taskSpread * w.load.NormFloat64()) }
		w.addTask(&fakeTask{
			id: fmt.Sprintf("%s/%d", j.id, i), job: j, since: w.now,
			cpu: t.cpu * vary(), memory: t.memory * vary(), work: t.work * vary(),
		}, i)
	}
}

// addServices makes the services.
func (w *world) addServices() {
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		w.version++
		j := &fakeJob{
			id: fmt.Sprintf("%s/%d", s.Name, w.version), kind: w.truth.kinds[s.Kind], team: w.teams[i%len(w.teams)].Name,
			class:    Class{Kind: s.Kind, Checkpoint: time.Second},
			service:  s,
			declared: hostapi.Resources{MilliCPU: s.CPU + s.CPU/4, MemoryMiB: s.Memory + s.Memory/4},
		}
		w.services = append(w.services, j)
		for n := range s.Replicas {
			w.addTask(&fakeTask{id: fmt.Sprintf("%s/%d", j.id, n), job: j, cpu: float64(s.CPU), memory: float64(s.Memory), work: 1}, n)
		}
	}
}

// addTask gives a task to its first cell, as design section 6 computes it.
func (w *world) addTask(t *fakeTask, index int) {
	name, _, _ := strings.Cut(t.job.id, "/")
	var order []int
	for dc := range w.deployment.DataCentres {
		if p := w.centres[dc].Phase; p == scheduler.InService || p == scheduler.Returning {
			order = append(order, dc)
		}
	}
	rank := func(dc int) uint64 { return xxhash.Sum64String(name + "@" + w.deployment.DataCentres[dc]) }
	slices.SortFunc(order, func(a, b int) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	dc := order[index%len(order)]
	at := int(xxhash.Sum64String(t.id) % uint64(w.deployment.Cells))
	c := w.cells[dc*w.deployment.Cells+at]
	c.pending = append(c.pending, t)
}
