package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against ends that nodes tell each other again and again, against more of them than
// an answer may carry, and against the loss of those that long-running tasks wait for.
func TestKnownEndsAreBounded(t *testing.T) {
	is := is.New(t)
	lasting := dispatch.KnownEnd{Run: workload.RunID{Task: workload.TaskID{Submission: "lasting"}}, LongRunning: true}
	var k knownEnds
	k.add(time.Second, lasting)
	for run := range int64(2 * dispatch.MaxKnownEnds) {
		k.add(2*time.Second, dispatch.KnownEnd{Run: workload.RunID{Run: run}})
	}
	ends, version := k.newerThan(0, 3*time.Second)
	is.Equal(len(ends), dispatch.MaxKnownEnds)
	is.True(k.since[lasting] > 0)
	// An end that is told again is not new, and no younger.
	k.add(30*time.Second, lasting)
	ends, _ = k.newerThan(version, 31*time.Second)
	is.Equal(len(ends), 0)
	is.True(k.messages(31 * time.Second)[0].AgeMs >= 29000)
	is.Equal(len(k.messages(2*time.Second+knownEndRetention+time.Millisecond)), 0)
}
