package capacity

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// benchmarkLine matches a line of "go test -bench" whose benchmark's name ends
// with its size, for example "BenchmarkTick/tasks=650-10  100  5000 ns/op".
var benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)/?(\w+)=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// FitBenchmarks fits a slope for each benchmark and unit in the output of "go
// test -bench". The size is the last "name=number" of a benchmark's name; the
// rest of the name identifies the benchmark. Benchmarks with a single size are
// left out. It fails if a number can't be parsed or the input can't be read.
func FitBenchmarks(in io.Reader) (*Report, error) {
	r := &Report{}
	points := make(map[benchmarkKey][]Point)
	var order []benchmarkKey
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		match := benchmarkLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		size, err := strconv.ParseFloat(match[3], 64)
		if err != nil {
			return nil, fmt.Errorf("benchmark %s: size: %w", match[1], err)
		}
		fields := strings.Fields(match[4])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("benchmark %s: value: %w", match[1], err)
			}
			key := benchmarkKey{name: strings.TrimSuffix(match[1], "/"), per: match[2], unit: fields[i+1]}
			if points[key] == nil {
				order = append(order, key)
			}
			points[key] = append(points[key], Point{size, value})
		}
	}
	for _, key := range order {
		if len(points[key]) > 1 {
			r.addSlope(key.name, key.per, key.unit, points[key])
		}
	}
	return r, lines.Err()
}

// benchmarkKey identifies the slope of one benchmark in one unit.
type benchmarkKey struct {
	name, per, unit string
}
