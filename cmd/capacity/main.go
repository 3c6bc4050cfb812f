// Command capacity measures the resource use of the daemon's code per unit of
// load and prints the fitted slopes as Markdown tables. With -benchmarks it fits
// the slopes to the output of "go test -bench" instead of measuring.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/cactusreel/cactusreel/capacity"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	parts := flag.String("parts", "", "measurements, comma-separated, of "+strings.Join(capacity.Measurements(), ", ")+"; all if empty")
	benchmarks := flag.String("benchmarks", "", "file with the output of go test -bench; fit slopes to it instead of measuring")
	flag.Parse()
	report, err := measure(*parts, *benchmarks)
	if report != nil {
		fmt.Print(report.Markdown())
	}
	return err
}

func measure(parts, benchmarks string) (*capacity.Report, error) {
	if benchmarks != "" {
		file, err := os.Open(benchmarks)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		return capacity.FitBenchmarks(file)
	}
	var names []string
	if parts != "" {
		names = strings.Split(parts, ",")
	}
	return capacity.Run(names)
}
