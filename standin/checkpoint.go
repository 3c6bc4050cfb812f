package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// A checkpoint's name holds the work that it saves, so that any worker can
// resume from it without a store shared between workers. The task comes last
// because it may hold any character.
const (
	checkpointPrefix = "cp"
	checkpointParts  = 4
)

func checkpointName(id hostapi.AttemptID, done time.Duration) string {
	return fmt.Sprintf("%s:%d:%d:%s", checkpointPrefix, id.Attempt, int64(done), id.Task)
}

// parseCheckpoint returns the work that a checkpoint of an earlier attempt of
// the task saves.
func parseCheckpoint(name string, id hostapi.AttemptID) (time.Duration, error) {
	parts := strings.SplitN(name, ":", checkpointParts)
	if len(parts) != checkpointParts || parts[0] != checkpointPrefix {
		return 0, fmt.Errorf("malformed checkpoint %q", name)
	}
	attempt, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("checkpoint %q: %w", name, err)
	}
	done, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("checkpoint %q: %w", name, err)
	}
	if parts[3] != id.Task || attempt < 1 || attempt >= id.Attempt || done < 0 || done > int64(maxWork) {
		return 0, fmt.Errorf("checkpoint %q is not of an earlier attempt of task %s", name, id.Task)
	}
	return time.Duration(done), nil
}
