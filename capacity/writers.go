package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/writer"
)

// writerRun is one run of a writer at a rate of starts per second.
type writerRun struct {
	latency  time.Duration
	interval time.Duration
	starts   int
	appends  float64
	bytes    float64
	meanWait time.Duration
}

// writerTime is the wall time of a run.
const writerTime = 4 * time.Second

// measureWriter measures the appends per second that group commit of one task
// stream needs. A start writes two records, placed and ended, of which the
// second comes at another time.
func measureWriter(r *Report) error {
	runs := writerRuns()
	var done sync.WaitGroup
	errs := make([]error, len(runs))
	for i := range runs {
		done.Go(func() { errs[i] = runs[i].measure() })
	}
	done.Wait()
	var rows [][]string
	for i, run := range runs {
		if errs[i] != nil {
			return errs[i]
		}
		rows = append(rows, []string{
			fmt.Sprint(run.interval), fmt.Sprint(run.latency), fmt.Sprint(run.starts), fmt.Sprintf("%.1f", run.appends),
			fmt.Sprintf("%.2f", run.bytes/1000), fmt.Sprint(run.meanWait.Round(time.Millisecond)),
		})
	}
	r.section("Group commit of one task stream (wall time)", []string{"interval", "one-way latency", "starts/s", "appends/s", "KB/s", "mean time to read-back"}, rows)
	return nil
}

func writerRuns() []*writerRun {
	var runs []*writerRun
	for _, interval := range []time.Duration{0, 500 * time.Millisecond} {
		for _, latency := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
			for _, starts := range []int{2, 9, 18, 36} {
				runs = append(runs, &writerRun{latency: latency, interval: interval, starts: starts})
			}
		}
	}
	return runs
}

// measure submits two records per start, evenly spread, and counts appends.
func (w *writerRun) measure() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := streamLog{&memoryLog{latency: w.latency}}
	out := writer.New(log, writer.Options{Stream: record.TasksStream(centreName(0), 0), Incarnation: 1, Interval: w.interval})
	log.readBack = out.Observed
	go func() { _ = out.Run(ctx) }()
	item, err := record.Encode(sampleRecords()[0].record)
	if err != nil {
		return err
	}
	var waits waitSum
	ticker := time.NewTicker(time.Second / time.Duration(2*w.starts))
	defer ticker.Stop()
	for range int(writerTime/time.Second) * 2 * w.starts {
		<-ticker.C
		submission, err := out.Submit(item)
		if err != nil {
			return err
		}
		waits.add(submission)
	}
	w.meanWait = waits.mean()
	w.appends = float64(out.Stats().Appends) / writerTime.Seconds()
	w.bytes = float64(log.bytes.Load()) / writerTime.Seconds()
	return nil
}
