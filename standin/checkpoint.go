package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// The name of a checkpoint encodes the work that it saves, so that every worker
// can resume from it without shared storage. The task id is the last field
// because it may contain any character, including the separator.
const (
	checkpointPrefix = "cp"
	checkpointFields = 4
)

func checkpointName(id hostapi.AttemptID, workDone time.Duration) string {
	return fmt.Sprintf("%s:%d:%d:%s", checkpointPrefix, id.Attempt, int64(workDone), id.Task)
}

// parseCheckpoint returns the work saved by a checkpoint. The checkpoint must be
// of an earlier attempt of the same task.
func parseCheckpoint(name string, id hostapi.AttemptID) (time.Duration, error) {
	parts := strings.SplitN(name, ":", checkpointFields)
	if len(parts) != checkpointFields || parts[0] != checkpointPrefix {
		return 0, fmt.Errorf("malformed checkpoint %q", name)
	}
	attempt, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("checkpoint %q: %w", name, err)
	}
	workDone, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("checkpoint %q: %w", name, err)
	}
	if parts[3] != id.Task || attempt < 1 || attempt >= id.Attempt || workDone < 0 || workDone > int64(maxTaskWork) {
		return 0, fmt.Errorf("checkpoint %q is not of an earlier attempt of task %s", name, id.Task)
	}
	return time.Duration(workDone), nil
}
