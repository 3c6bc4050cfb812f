package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// seeds are the seeds of the runs that a line of the table sums up.
var seeds = []uint64{1, 2, 3}

// outcome sums up the runs of one pattern with one way to share slots.
type outcome struct {
	completed, rejected, forwarded, mostBusy int
	p50, p99                                 float64
}

func measure(p *pattern, length time.Duration, way func(*simulation) sharing) outcome {
	var sum outcome
	total := newSimulation(p, 0, 0).latency
	for _, seed := range seeds {
		s := newSimulation(p, seed, length)
		s.sharing = way(s)
		s.simulate()
		sum.completed += s.completed
		sum.rejected += s.rejected
		sum.forwarded += s.forwarded
		sum.mostBusy = max(sum.mostBusy, s.mostBusy)
		total.Merge(s.latency)
	}
	sum.p50 = float64(total.ValueAtQuantile(50)) / 1000
	sum.p99 = float64(total.ValueAtQuantile(99)) / 1000
	return sum
}

// report writes the table.
func report(out io.Writer, patterns []pattern, length time.Duration) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "load\tworkers\tdemand\tway\tdone/s\trejected\thops\tp50 ms\tp99 ms")
	for i := range patterns {
		p := &patterns[i]
		line(t, p, "owner", length, measure(p, length, func(s *simulation) sharing { return newOwner(s) }))
		line(t, p, "credits", length, measure(p, length, func(s *simulation) sharing { return newCredits(s) }))
	}
	return t.Flush()
}

func line(out io.Writer, p *pattern, way string, length time.Duration, o outcome) {
	seconds := length.Seconds() * float64(len(seeds))
	all := float64(o.completed + o.rejected)
	// Errors of the tab writer are reported by Flush.
	_, _ = fmt.Fprintf(out, "%s\t%d\t%.0f%%\t%s\t%.0f\t%.2f%%\t%.0f%%\t%.1f\t%.1f\n",
		p.name, p.workers, 100*p.load, way, float64(o.completed)/seconds, 100*float64(o.rejected)/all,
		100*float64(o.forwarded)/all, o.p50, o.p99)
}
