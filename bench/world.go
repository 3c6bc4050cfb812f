package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/scheduler"
)

const (
	// tick is the step of virtual time; it is the log poll interval.
	tick = 250 * time.Millisecond
	// cellsPerOwner is how many cells share one process and its knowledge.
	cellsPerOwner = 2
	// summaryEvery is the time between two summaries of a cell.
	summaryEvery = time.Second
	// drainTime is the default of the DataCentre resource.
	drainTime = 120 * time.Second
)

// world is one run.
type world struct {
	deployment Deployment
	scenario   Scenario
	weights    api.WeightsSpec
	now        time.Duration
	truth      *truth
	// The random sources are separate, so that the load of a seed is the same
	// for each variant.
	load, noise *rand.Rand
	cells       []*cell
	workers     []*fakeWorker
	centres     []scheduler.DataCentre
	teams       []scheduler.Team
	summaries   []scheduler.CellSummary
	jobs        []*fakeJob
	services    []*fakeJob
	templates   [][]template
	arrivals    []time.Duration
	later       []scheduled
	metrics     *metrics
	version     int64
}

// newWorld returns a run at its start.
func newWorld(d Deployment, sc Scenario, v Variant, seed uint64) *world {
	name := xxhash.Sum64String(d.Name)
	w := &world{
		deployment: d, scenario: sc, weights: d.Weights,
		load: rand.New(rand.NewPCG(seed, name+1)), noise: rand.New(rand.NewPCG(seed, name+2)),
		centres: make([]scheduler.DataCentre, len(d.DataCentres)),
		metrics: newMetrics(len(d.Services)),
	}
	if v.Weights != nil {
		w.weights = *v.Weights
	}
	w.truth = newTruth(w.load, &d)
	w.addWorkers()
	w.addCells(v, seed)
	w.addTeams()
	w.addTemplates()
	w.addServices()
	return w
}

// addWorkers makes the workers, racks and faults.
func (w *world) addWorkers() {
	for i := range w.deployment.Workers {
		dc := i % len(w.deployment.DataCentres)
		f := &fakeWorker{
			id: fmt.Sprintf("%s-w%02d", w.deployment.DataCentres[dc], i), dc: dc,
			rack: fmt.Sprintf("%s-r%d", w.deployment.DataCentres[dc], i/len(w.deployment.DataCentres)/w.deployment.PerRack),
			boot: "1", capacity: w.deployment.Worker,
			nextRep: time.Duration(w.load.Int64N(int64(reportEvery))),
		}
		w.workers = append(w.workers, f)
	}
	for _, i := range w.load.Perm(len(w.workers))[:w.scenario.FaultyWorkers] {
		w.workers[i].faulty = true
	}
}

// addCells divides the workers into cells and makes the deciders.
func (w *world) addCells(v Variant, seed uint64) {
	var knowledge *scheduler.LearnedState
	for dc, name := range w.deployment.DataCentres {
		for i := range w.deployment.Cells {
			if i%cellsPerOwner == 0 {
				knowledge = scheduler.NewLearnedState()
			}
			c := &cell{id: scheduler.CellID{DataCentre: name, Index: i}, dc: dc, placed: map[string][]*fakeAttempt{}}
			c.decider = v.new(knowledge, rand.New(rand.NewPCG(seed, uint64(len(w.cells)))))
			w.cells = append(w.cells, c)
		}
	}
	for _, f := range w.workers {
		id := scheduler.CellOf(w.deployment.DataCentres[f.dc], f.id, w.deployment.Cells)
		c := w.cell(id)
		c.workers = append(c.workers, f)
	}
}

// addTeams gives each team the same quota; they add up to the capacity of a cell.
func (w *world) addTeams() {
	total := hostapi.Resources{
		MilliCPU:  w.deployment.Worker.MilliCPU * int64(w.deployment.Workers),
		MemoryMiB: w.deployment.Worker.MemoryMiB * int64(w.deployment.Workers),
	}
	parts := int64(w.deployment.Teams * len(w.cells))
	for i := range w.deployment.Teams {
		w.teams = append(w.teams, scheduler.Team{
			Name: fmt.Sprintf("team-%02d", i), MayBorrow: true,
			Quota: hostapi.Resources{MilliCPU: total.MilliCPU / parts, MemoryMiB: total.MemoryMiB / parts},
		})
	}
}

// cell returns a cell by id.
func (w *world) cell(id scheduler.CellID) *cell {
	for _, c := range w.cells {
		if c.id == id {
			return c
		}
	}
	panic("no cell " + id.String())
}

// after schedules something.
func (w *world) after(delay time.Duration, run func()) {
	w.later = append(w.later, scheduled{w.now + delay, run})
}

// run advances the run to the end.
func (w *world) run(duration time.Duration) {
	for w.now = 0; w.now < duration; w.now += tick {
		w.faults()
		w.arrive()
		w.runLater()
		for _, f := range w.workers {
			w.stepWorker(f)
		}
		w.sampleServices()
		if w.now%summaryEvery == 0 {
			w.summarize()
		}
		for _, c := range w.cells {
			w.decide(c)
		}
	}
}

// runLater runs what is due, in the order in which it was scheduled.
func (w *world) runLater() {
	due, rest := []scheduled{}, []scheduled{}
	for _, s := range w.later {
		if s.at <= w.now {
			due = append(due, s)
		} else {
			rest = append(rest, s)
		}
	}
	w.later = rest
	for _, s := range due {
		s.run()
	}
}

// logDown reports whether the log is out.
func (w *world) logDown() bool {
	return w.scenario.LogDown > 0 && w.now >= w.scenario.LogDown && w.now < w.scenario.LogUp
}

// wave returns the load of services relative to the mean.
func (w *world) wave() float64 {
	base := 1 + 0.15*math.Sin(2*math.Pi*w.now.Seconds()/300)
	if w.scenario.Waves && int(w.now.Seconds())%150 >= 90 {
		return base * 1.5
	}
	return base
}

// noisy returns the factor on the interference of batch tasks.
func (w *world) noisy() float64 {
	if w.scenario.Waves && int(w.now.Seconds())%200 >= 120 {
		return 2
	}
	return 1
}
