package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// spreadSeeds is the number of runs per model.
const spreadSeeds = 1000

// Bytes of a message: for a push, the put of a job (284 bytes) with its id and
// offset and the headers of UDP and IP, which is an estimate; for a read of one
// record, what measurePoll measures.
const (
	pushBytes = 330
	readBytes = 687
)

// spreadModel is one way of dissemination over one kind of links.
type spreadModel struct {
	name  string
	links links
	bytes int
	run   func(*rand.Rand) spreadRun
}

// spreadModels returns the baseline and gossip with several growths, over the
// links of today's data centres and over slower ones between regions.
func spreadModels() []spreadModel {
	var models []spreadModel
	for _, l := range []links{
		{delay: interDelay, jitter: time.Millisecond, loss: packetLoss},
		{delay: interDelay, jitter: time.Millisecond, loss: 5 * packetLoss},
		{delay: 8 * interDelay, jitter: 8 * time.Millisecond, loss: packetLoss},
	} {
		models = append(models, spreadModel{
			name: fmt.Sprintf("direct reading, poll every %s", logPoll), links: l, bytes: readBytes,
			run: func(random *rand.Rand) spreadRun { return polling(l, logPoll, random) },
		})
		for _, growth := range []float64{2, 3, 5} {
			plan := fanouts(growth)
			round := 2 * l.delay
			models = append(models, spreadModel{
				name: fmt.Sprintf("adaptive fanout, growth %.0f, %d rounds of %s", growth, len(plan), round), links: l, bytes: pushBytes,
				run: func(random *rand.Rand) spreadRun { return gossip(l, round, plan, random) },
			})
		}
	}
	return models
}

// spreadResult sums up the runs of a model.
type spreadResult struct {
	mean, p99, max time.Duration
	// complete is the share of runs that reached all VMs.
	complete float64
	messages float64
}

// summarise runs a model with all seeds.
func (m *spreadModel) summarise() spreadResult {
	var out spreadResult
	var times []time.Duration
	for seed := range uint64(spreadSeeds) {
		run := m.run(rand.New(rand.NewPCG(seed, 1)))
		times = append(times, run.all)
		out.mean += run.all / spreadSeeds
		out.messages += float64(run.messages) / spreadSeeds
		if run.reached == entryVMs {
			out.complete += 1.0 / spreadSeeds
		}
	}
	slices.Sort(times)
	out.p99, out.max = times[len(times)*99/100], times[len(times)-1]
	return out
}

// measureSpread compares the ways in which a configuration change reaches all
// entry VMs, in virtual time.
func measureSpread(r *Report) {
	var rows [][]string
	for _, m := range spreadModels() {
		s := m.summarise()
		rows = append(rows, []string{
			m.name, fmt.Sprintf("%s + %s, %.0f%%", m.links.delay, m.links.jitter, 100*m.links.loss),
			fmt.Sprint(s.mean.Round(time.Millisecond)), fmt.Sprint(s.p99.Round(time.Millisecond)), fmt.Sprint(s.max.Round(time.Millisecond)),
			fmt.Sprintf("%.1f%%", 100*s.complete), fmt.Sprintf("%.0f", s.messages), fmt.Sprintf("%.1f", s.messages*float64(m.bytes)/1000),
		})
	}
	r.section(fmt.Sprintf("Dissemination of a change to %d entry VMs (virtual time, %d seeds)", entryVMs, spreadSeeds),
		[]string{"way", "delay + mean jitter, loss", "mean", "p99", "max", "runs that reach all", "messages", "KB"}, rows)
}
