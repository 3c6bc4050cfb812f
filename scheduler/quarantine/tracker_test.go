package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a negative number of parked versions: a job that was parked and then
// succeeded would count as unparked once more when one of its workers is quarantined, and
// later versions would not be put on trial.
func TestSuccessEndsTheParkingOfAJob(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for i := range minFailedWorkers {
		tracker.Failed(time.Second, fmt.Sprint("w", i), "import/1", "exit 1")
	}
	tracker.Completed("w9", "import/1")
	is.True(!tracker.jobs["import/1"].parked)
	for i := range minFailedJobs {
		tracker.Failed(2*time.Second, "w0", fmt.Sprintf("other%d/1", i), "exit 1")
	}
	is.Equal(tracker.names["import"].parkedVersions, 0)
}

// Guards against memory that grows with each job name that ever failed.
func TestNamesAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := New()
	for i := range maxNames + 100 {
		tracker.Failed(time.Duration(i)*time.Millisecond, fmt.Sprint("w", i), fmt.Sprintf("job%d/1", i), "exit 1")
	}
	is.True(len(tracker.names) <= maxNames)
}
