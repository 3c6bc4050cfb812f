// Command bench runs the policy benchmarks and prints their table.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/bench"
)

// gcPercent trades memory for CPU time: a run allocates much memory and keeps
// little of it.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// run parses the flags, runs the benchmarks and prints their table and the missed
// targets.
func run() error {
	seeds := flag.Int("seeds", 5, "number of seeds")
	minutes := flag.Int("minutes", 15, "virtual minutes of a run")
	deployments := flag.String("deployments", "", "deployments, comma-separated; all if empty")
	scenarios := flag.String("scenarios", "", "scenarios, comma-separated; all if empty")
	variants := flag.String("variants", "", "variants, comma-separated; all if empty")
	ablations := flag.Bool("ablations", false, "add runs with one rule changed")
	weights := flag.Bool("weights", false, "add runs with the weights of each deployment")
	parallel := flag.Int("parallel", 4, "runs at a time")
	plots := flag.String("plots", "", "directory for plots; none if empty")
	flag.Parse()
	opts := bench.Options{
		Deployments: splitList(*deployments), Scenarios: splitList(*scenarios), Variants: splitList(*variants),
		Ablations: *ablations, Weights: *weights, Parallel: *parallel, PlotDir: *plots,
		Duration: time.Duration(*minutes) * time.Minute,
	}
	for i := range *seeds {
		opts.Seeds = append(opts.Seeds, uint64(i+1))
	}
	report, err := bench.Run(opts)
	if err != nil {
		return err
	}
	fmt.Print(report.Markdown())
	fmt.Println("\nTargets missed by the policy:")
	for _, line := range report.MissedTargets() {
		fmt.Println("- " + line)
	}
	return nil
}

// splitList returns the elements of a comma-separated list, nil if it is empty.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
