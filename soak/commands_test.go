package soak_test

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"testing"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/platform/platformtest"
)

// commands are the names of the processes that commanded each start, by their logs.
type commands map[platformtest.Start][]string

func (c commands) of(start platformtest.Start) []string { return c[start] }

// readCommands reads the decisions in the logs of processes.
func readCommands(t *testing.T, processes []*process) commands {
	c := make(commands)
	for _, p := range processes {
		file, err := os.Open(p.logPath())
		if err != nil {
			t.Error(err)
			continue
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var line struct {
				Event  logevent.Number `json:"event"`
				Worker string          `json:"worker"`
				Task   string          `json:"task"`
				Run    int64           `json:"run"`
				Epoch  int64           `json:"epoch"`
			}
			// Lines of a crash are no JSON.
			if json.Unmarshal(lines.Bytes(), &line) != nil || line.Event != logevent.DispatchDecision || line.Run == 0 {
				continue
			}
			start := platformtest.Start{Worker: line.Worker, Task: line.Task, Run: line.Run, Epoch: line.Epoch}
			if !slices.Contains(c[start], p.name) {
				c[start] = append(c[start], p.name)
			}
		}
		if err := lines.Err(); err != nil {
			t.Error(err)
		}
		_ = file.Close()
	}
	return c
}
