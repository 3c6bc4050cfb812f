package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// disseminationSeeds is the number of runs per model.
const disseminationSeeds = 1000

// Bytes of a message. A push is the put of a job (284 bytes) with its id and
// offset and the headers of UDP and IP, which is an estimate. A read is that of
// one record in measurePoll.
const (
	pushBytes = 330
	readBytes = 687
)

// disseminationModel is a dissemination protocol over a kind of links.
type disseminationModel struct {
	name  string
	links links
	bytes int
	run   func(*rand.Rand) disseminationRun
}

// disseminationModels returns the baseline and gossip with several growth
// factors, over links as in the existing deployment, over links with five times
// the loss, and over slower links between regions.
func disseminationModels() []disseminationModel {
	var models []disseminationModel
	for _, l := range []links{
		{delay: interCentreDelay, jitter: time.Millisecond, loss: packetLoss},
		{delay: interCentreDelay, jitter: time.Millisecond, loss: 5 * packetLoss},
		{delay: 8 * interCentreDelay, jitter: 8 * time.Millisecond, loss: packetLoss},
	} {
		models = append(models, disseminationModel{
			name: fmt.Sprintf("direct reading, poll every %s", logPoll), links: l, bytes: readBytes,
			run: func(random *rand.Rand) disseminationRun { return polling(l, logPoll, random) },
		})
		for _, growth := range []float64{2, 3, 5} {
			plan := fanouts(growth)
			round := 2 * l.delay
			models = append(models, disseminationModel{
				name: fmt.Sprintf("adaptive fanout, growth %.0f, %d rounds of %s", growth, len(plan), round), links: l, bytes: pushBytes,
				run: func(random *rand.Rand) disseminationRun { return gossip(l, round, plan, random) },
			})
		}
	}
	return models
}

// disseminationResult summarises the runs of a model.
type disseminationResult struct {
	mean, p99, max time.Duration
	// complete is the fraction of runs that reached all VMs; messages is the
	// mean number of messages.
	complete float64
	messages float64
}

// runAll runs a model with all seeds.
func (m *disseminationModel) runAll() disseminationResult {
	var out disseminationResult
	var times []time.Duration
	for seed := range uint64(disseminationSeeds) {
		run := m.run(rand.New(rand.NewPCG(seed, 1)))
		times = append(times, run.lastArrival)
		out.mean += run.lastArrival / disseminationSeeds
		out.messages += float64(run.messages) / disseminationSeeds
		if run.reached == entryVMs {
			out.complete += 1.0 / disseminationSeeds
		}
	}
	slices.Sort(times)
	out.p99, out.max = times[len(times)*99/100], times[len(times)-1]
	return out
}

// measureDissemination compares, in virtual time, the protocols that bring a
// configuration change to all entry VMs.
func measureDissemination(r *Report) {
	var rows [][]string
	for _, m := range disseminationModels() {
		s := m.runAll()
		rows = append(rows, []string{
			m.name, fmt.Sprintf("%s + %s, %.0f%%", m.links.delay, m.links.jitter, 100*m.links.loss),
			fmt.Sprint(s.mean.Round(time.Millisecond)), fmt.Sprint(s.p99.Round(time.Millisecond)), fmt.Sprint(s.max.Round(time.Millisecond)),
			fmt.Sprintf("%.1f%%", 100*s.complete), fmt.Sprintf("%.0f", s.messages), fmt.Sprintf("%.1f", s.messages*float64(m.bytes)/1000),
		})
	}
	r.addTable(fmt.Sprintf("Dissemination of a change to %d entry VMs (virtual time, %d seeds)", entryVMs, disseminationSeeds),
		[]string{"way", "delay + mean jitter, loss", "mean", "p99", "max", "runs that reach all", "messages", "KB"}, rows)
}
