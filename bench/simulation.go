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
	// tick is the step of virtual time. It equals the log poll interval.
	tick = 250 * time.Millisecond
	// cellsPerOwner is the number of cells that share one process and its
	// learned state.
	cellsPerOwner = 2
	// summaryInterval is the time between two summaries of a cell.
	summaryInterval = time.Second
	// drainTime is the default drain time of the DataCentre resource.
	drainTime = 120 * time.Second
)

// simulation is the state of one run.
type simulation struct {
	deployment   Deployment
	scenario     Scenario
	weights      api.WeightsSpec
	now          time.Duration
	interference *interferenceModel
	// The sources of randomness for load and measurement noise are separate, so
	// that a seed gives the same load for each variant.
	loadRandom, noiseRandom *rand.Rand
	cells                   []*cell
	workers                 []*fakeWorker
	dataCentres             []scheduler.DataCentre
	teams                   []scheduler.Team
	summaries               []scheduler.CellSummary
	jobs                    []*fakeJob
	services                []*fakeJob
	templates               [][]template
	nextArrivals            []time.Duration
	events                  []event
	metrics                 *metrics
	version                 int64
}

// newSimulation returns a simulation at virtual time 0.
func newSimulation(d Deployment, sc Scenario, v Variant, seed uint64) *simulation {
	name := xxhash.Sum64String(d.Name)
	sim := &simulation{
		deployment: d, scenario: sc, weights: d.Weights,
		loadRandom: rand.New(rand.NewPCG(seed, name+1)), noiseRandom: rand.New(rand.NewPCG(seed, name+2)),
		dataCentres: make([]scheduler.DataCentre, len(d.DataCentres)),
		metrics:     newMetrics(len(d.Services)),
	}
	if v.Weights != nil {
		sim.weights = *v.Weights
	}
	sim.interference = newInterferenceModel(sim.loadRandom, &d)
	sim.addWorkers()
	sim.addCells(v, seed)
	sim.addTeams()
	sim.addTemplates()
	sim.addServices()
	return sim
}

// addWorkers creates the workers, assigns them to racks and selects the faulty
// ones.
func (sim *simulation) addWorkers() {
	for i := range sim.deployment.Workers {
		dc := i % len(sim.deployment.DataCentres)
		f := &fakeWorker{
			id: fmt.Sprintf("%s-w%02d", sim.deployment.DataCentres[dc], i), dc: dc,
			rack: fmt.Sprintf("%s-r%d", sim.deployment.DataCentres[dc], i/len(sim.deployment.DataCentres)/sim.deployment.WorkersPerRack),
			boot: "1", capacity: sim.deployment.WorkerCapacity,
			nextReport: time.Duration(sim.loadRandom.Int64N(int64(reportInterval))),
		}
		sim.workers = append(sim.workers, f)
	}
	for _, i := range sim.loadRandom.Perm(len(sim.workers))[:sim.scenario.FaultyWorkers] {
		sim.workers[i].faulty = true
	}
}

// addCells creates the cells with their deciders and assigns the workers to them.
func (sim *simulation) addCells(v Variant, seed uint64) {
	var learned *scheduler.LearnedState
	for dc, name := range sim.deployment.DataCentres {
		for i := range sim.deployment.CellsPerDataCentre {
			if i%cellsPerOwner == 0 {
				learned = scheduler.NewLearnedState()
			}
			c := &cell{id: scheduler.CellID{DataCentre: name, Index: i}, dc: dc, placed: map[string][]*fakeAttempt{}}
			c.decider = v.new(learned, rand.New(rand.NewPCG(seed, uint64(len(sim.cells)))))
			sim.cells = append(sim.cells, c)
		}
	}
	for _, f := range sim.workers {
		id := scheduler.CellOf(sim.deployment.DataCentres[f.dc], f.id, sim.deployment.CellsPerDataCentre)
		c := sim.cell(id)
		c.workers = append(c.workers, f)
	}
}

// addTeams creates the teams with equal quotas, which add up to the mean capacity
// of a cell.
func (sim *simulation) addTeams() {
	total := hostapi.Resources{
		MilliCPU:  sim.deployment.WorkerCapacity.MilliCPU * int64(sim.deployment.Workers),
		MemoryMiB: sim.deployment.WorkerCapacity.MemoryMiB * int64(sim.deployment.Workers),
	}
	shares := int64(sim.deployment.Teams * len(sim.cells))
	for i := range sim.deployment.Teams {
		sim.teams = append(sim.teams, scheduler.Team{
			Name: fmt.Sprintf("team-%02d", i), MayBorrow: true,
			Quota: hostapi.Resources{MilliCPU: total.MilliCPU / shares, MemoryMiB: total.MemoryMiB / shares},
		})
	}
}

// cell returns a cell by id; an unknown id is a programming error.
func (sim *simulation) cell(id scheduler.CellID) *cell {
	for _, c := range sim.cells {
		if c.id == id {
			return c
		}
	}
	panic("no cell " + id.String())
}

// schedule runs a function after a delay in virtual time.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.events = append(sim.events, event{sim.now + delay, run})
}

// run advances the simulation until the given virtual time.
func (sim *simulation) run(duration time.Duration) {
	for sim.now = 0; sim.now < duration; sim.now += tick {
		sim.injectFaults()
		sim.addArrivals()
		sim.runDueEvents()
		for _, f := range sim.workers {
			sim.stepWorker(f)
		}
		sim.sampleServices()
		if sim.now%summaryInterval == 0 {
			sim.summarize()
		}
		for _, c := range sim.cells {
			sim.decide(c)
		}
	}
}

// runDueEvents runs the due events in the order in which they were scheduled.
func (sim *simulation) runDueEvents() {
	due, rest := []event{}, []event{}
	for _, s := range sim.events {
		if s.at <= sim.now {
			due = append(due, s)
		} else {
			rest = append(rest, s)
		}
	}
	sim.events = rest
	for _, s := range due {
		s.run()
	}
}

// logDown reports whether the log is unavailable.
func (sim *simulation) logDown() bool {
	return sim.scenario.LogDownAt > 0 && sim.now >= sim.scenario.LogDownAt && sim.now < sim.scenario.LogUpAt
}

// serviceLoadFactor returns the current load of services relative to the mean.
func (sim *simulation) serviceLoadFactor() float64 {
	base := 1 + 0.15*math.Sin(2*math.Pi*sim.now.Seconds()/300)
	if sim.scenario.Waves && int(sim.now.Seconds())%150 >= 90 {
		return base * 1.5
	}
	return base
}

// batchInterferenceFactor returns the current factor on the interference that
// batch tasks cause.
func (sim *simulation) batchInterferenceFactor() float64 {
	if sim.scenario.Waves && int(sim.now.Seconds())%200 >= 120 {
		return 2
	}
	return 1
}
