package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// seeds are the seeds of the runs that are combined in one row of the table.
var seeds = []uint64{1, 2, 3}

// outcome is the combined result of the runs of one load pattern with one
// strategy. p50 and p99 are latencies in milliseconds.
type outcome struct {
	completed, rejected, forwarded, maxBusy int
	p50, p99                                float64
}

func measure(p *loadPattern, duration time.Duration, strategy func(*simulation) sharingStrategy) outcome {
	var sum outcome
	total := newSimulation(p, 0, 0).latency
	for _, seed := range seeds {
		s := newSimulation(p, seed, duration)
		s.strategy = strategy(s)
		s.simulate()
		sum.completed += s.completed
		sum.rejected += s.rejected
		sum.forwarded += s.forwarded
		sum.maxBusy = max(sum.maxBusy, s.maxBusy)
		total.Merge(s.latency)
	}
	sum.p50 = float64(total.ValueAtQuantile(50)) / 1000
	sum.p99 = float64(total.ValueAtQuantile(99)) / 1000
	return sum
}

// report runs every load pattern with both strategies and writes a table of the
// results.
func report(out io.Writer, patterns []loadPattern, duration time.Duration) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "load\tworkers\tdemand\tway\tdone/s\trejected\thops\tp50 ms\tp99 ms")
	for i := range patterns {
		p := &patterns[i]
		writeRow(t, p, "owner", duration, measure(p, duration, func(s *simulation) sharingStrategy { return newOwnerSharing(s) }))
		writeRow(t, p, "credits", duration, measure(p, duration, func(s *simulation) sharingStrategy { return newCreditSharing(s) }))
	}
	return t.Flush()
}

func writeRow(out io.Writer, p *loadPattern, strategy string, duration time.Duration, o outcome) {
	seconds := duration.Seconds() * float64(len(seeds))
	all := float64(o.completed + o.rejected)
	// Errors of the tab writer are reported by Flush.
	_, _ = fmt.Fprintf(out, "%s\t%d\t%.0f%%\t%s\t%.0f\t%.2f%%\t%.0f%%\t%.1f\t%.1f\n",
		p.name, p.workers, 100*p.load, strategy, float64(o.completed)/seconds, 100*float64(o.rejected)/all,
		100*float64(o.forwarded)/all, o.p50, o.p99)
}
