package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/writer"
)

// writerRun is a run of a writer at a fixed rate of starts, with its results.
type writerRun struct {
	latency          time.Duration
	interval         time.Duration
	startsPerSecond  int
	appendsPerSecond float64
	bytesPerSecond   float64
	meanReadBack     time.Duration
}

// writerRunTime is the wall time of a run.
const writerRunTime = 4 * time.Second

// measureWriter measures the appends per second that one task stream needs with
// group commit. A start writes two records, placed and ended, at different times.
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
			fmt.Sprint(run.interval), fmt.Sprint(run.latency), fmt.Sprint(run.startsPerSecond), fmt.Sprintf("%.1f", run.appendsPerSecond),
			fmt.Sprintf("%.2f", run.bytesPerSecond/1000), fmt.Sprint(run.meanReadBack.Round(time.Millisecond)),
		})
	}
	r.addTable("Group commit of one task stream (wall time)", []string{"interval", "one-way latency", "starts/s", "appends/s", "KB/s", "mean time to read-back"}, rows)
	return nil
}

func writerRuns() []*writerRun {
	var runs []*writerRun
	for _, interval := range []time.Duration{0, 500 * time.Millisecond} {
		for _, latency := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond} {
			for _, starts := range []int{2, 9, 18, 36} {
				runs = append(runs, &writerRun{latency: latency, interval: interval, startsPerSecond: starts})
			}
		}
	}
	return runs
}

// measure submits two records per start at a constant rate, and counts appends.
func (w *writerRun) measure() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := streamLog{&memoryLog{latency: w.latency}}
	out := writer.New(log, writer.Options{Stream: record.TasksStream(dataCentreName(0), 0), Incarnation: 1, Interval: w.interval})
	log.readBack = out.Observed
	go func() { _ = out.Run(ctx) }()
	item, err := record.Encode(sampleRecords()[0].record)
	if err != nil {
		return err
	}
	var delays readBackDelays
	ticker := time.NewTicker(time.Second / time.Duration(2*w.startsPerSecond))
	defer ticker.Stop()
	for range int(writerRunTime/time.Second) * 2 * w.startsPerSecond {
		<-ticker.C
		submission, err := out.Submit(item)
		if err != nil {
			return err
		}
		delays.add(submission)
	}
	w.meanReadBack = delays.mean()
	w.appendsPerSecond = float64(out.Stats().Appends) / writerRunTime.Seconds()
	w.bytesPerSecond = float64(log.bytes.Load()) / writerRunTime.Seconds()
	return nil
}
