package command

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/logevent"
)

// maxLogLineBytes bounds the length of a line in a log file.
const maxLogLineBytes = 1 << 20

// Numbers of the events about ownership, the store and the caps of tenants.
const (
	firstOwnershipEvent = float64(logevent.EpochOpened)
	lastStoreEvent      = float64(logevent.SnapshotFailed)
	ownershipEndEvent   = float64(logevent.OwnershipEndLearned)
	capsEvent           = float64(logevent.CapsChanged)
)

func newExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Print the lines of log files about a submission, in order of time",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return explain(c.OutOrStdout(), args[0], args[1:])
		},
	}
}

// logLine is a line of a log file about the submission, ownership, the store or caps.
type logLine struct {
	time   string
	file   string
	fields map[string]any
}

// explain prints the lines about a submission and, between the first and the last
// of them, the lines about ownership, the store and the caps of tenants.
func explain(w io.Writer, id string, files []string) error {
	var lines []logLine
	for _, file := range files {
		fileLines, err := readLog(file, id)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.time, b.time) })
	firstMatch, lastMatch := -1, -1
	for i, l := range lines {
		if l.fields["id"] == id {
			if firstMatch < 0 {
				firstMatch = i
			}
			lastMatch = i
		}
	}
	if firstMatch < 0 {
		_, err := fmt.Fprintf(w, "no line names %s; event 851 reports dropped lines\n", id)
		return err
	}
	for _, l := range lines[firstMatch : lastMatch+1] {
		if _, err := fmt.Fprintln(w, l.format()); err != nil {
			return err
		}
	}
	return nil
}

// readLog returns the lines of a file with the submission's id, and those about
// ownership, the store and caps, which have no id. Lines without JSON are skipped,
// because the file may contain other output.
func readLog(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	defer f.Close()
	var lines []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue
		}
		event, _ := fields["event"].(float64)
		isCommon := event >= firstOwnershipEvent && event <= lastStoreEvent || event == ownershipEndEvent || event == capsEvent
		if fields["id"] != id && !isCommon {
			continue
		}
		time, _ := fields["time"].(string)
		source := path
		if start > 0 {
			source = strings.Join(strings.Fields(text[:start]), " ")
		}
		lines = append(lines, logLine{time: time, file: source, fields: fields})
	}
	return lines, scanner.Err()
}

// format returns the line in readable form.
func (l logLine) format() string {
	out := fmt.Sprintf("%s %s %v", l.time, l.file, l.fields["name"])
	for _, key := range []string{"decision", "task", "run", "worker", "reason", "age", "queue", "cell", "epoch", "duration", "error"} {
		if value, ok := l.fields[key]; ok {
			out += fmt.Sprintf(" %s=%v", key, value)
		}
	}
	return out
}
