package tasks

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
)

// Work is the part of a declared job or service that its tasks depend on.
type Work struct {
	// Kind is api.KindJob or api.KindService.
	Kind api.Kind `json:"kind"`
	Name string   `json:"name"`
	// Created is the version of the record that created the resource.
	Created api.Version `json:"created"`
	// Count is the number of tasks or replicas.
	Count     int  `json:"count"`
	Cancelled bool `json:"cancelled,omitempty"`
	// MaxRetries is the maximum number of failed attempts of each task of a job;
	// a task that failed more often is StatusFailed. It is ignored for services.
	MaxRetries int               `json:"maxRetries,omitempty"`
	TaskKind   string            `json:"taskKind"`
	Requests   hostapi.Resources `json:"requests"`
	// RunTime is the declared run time of a task; 0 runs until stopped.
	RunTime time.Duration `json:"run,omitempty"`
	// DataCentres are the data centres in service at version Created, in any
	// order.
	DataCentres []DataCentre `json:"dataCentres"`
}

// DataCentre is a data centre whose cells can be home cells of tasks.
type DataCentre struct {
	Name  string `json:"name"`
	Cells int    `json:"cells"`
}

// TaskID returns the id of the task with the given index, from 0.
func (w *Work) TaskID(index int) string {
	return fmt.Sprintf("%s/%d/%d", w.Name, w.Created, index)
}

// TaskID is the parsed form of a task id.
type TaskID struct {
	WorkName string
	Created  api.Version
	Index    int
}

// ParseTaskID parses a task id "<name>/<version of the creation>/<index>". It
// returns an error if the id is malformed.
func ParseTaskID(id string) (TaskID, error) {
	rest, index, ok := cutLast(id)
	if !ok {
		return TaskID{}, fmt.Errorf("task id %q: want <name>/<version>/<index>", id)
	}
	name, created, ok := cutLast(rest)
	if !ok || name == "" {
		return TaskID{}, fmt.Errorf("task id %q: want <name>/<version>/<index>", id)
	}
	version, err := strconv.ParseInt(created, 10, 64)
	if err != nil {
		return TaskID{}, fmt.Errorf("task id %q: version: %w", id, err)
	}
	parsedIndex, err := strconv.Atoi(index)
	if err != nil {
		return TaskID{}, fmt.Errorf("task id %q: index: %w", id, err)
	}
	if version < 0 || parsedIndex < 0 {
		return TaskID{}, fmt.Errorf("task id %q: version and index must not be negative", id)
	}
	return TaskID{WorkName: name, Created: api.Version(version), Index: parsedIndex}, nil
}

// cutLast cuts s at its last slash.
func cutLast(s string) (before, after string, found bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}
