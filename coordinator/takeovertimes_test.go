package coordinator_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/logevent"
)

// Guards against a takeover of whose steps no log line tells how long they took.
func TestTakeoverIsTimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		h := newHarness()
		h.logger, _ = logevent.New(&out, "info")
		h.log.loadTime = 30 * time.Millisecond
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		h.startNode("b", nil)
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("s")))
		time.Sleep(time.Second)
		h.group.assignTo("b")
		time.Sleep(2 * time.Second)
		is.NoErr(a.Submit(timeoutContext(3*time.Second), submission("t")))
		time.Sleep(time.Second)
		h.close()
		times, ends := eventsOf(is, &out, logevent.TakeoverTimed), eventsOf(is, &out, logevent.EpochEnded)
		is.Equal(len(times), 2)
		for _, step := range []string{"waited", "read", "opened", "listed", "heard", "placed"} {
			d, err := time.ParseDuration(times[1][step].(string))
			is.NoErr(err)
			is.True(d > 0 || step == "waited" || step == "listed") // the list may have been read before
		}
		is.Equal(ends[0]["placements"], 2.0)
		since, err := time.ParseDuration(ends[0]["sincePlaced"].(string))
		is.NoErr(err)
		is.True(since >= time.Second)
	})
}

// eventsOf returns the fields of the logged events with a number.
func eventsOf(is *is.I, out *bytes.Buffer, number logevent.Number) []map[string]any {
	var found []map[string]any
	for line := range bytes.Lines(out.Bytes()) {
		var fields map[string]any
		is.NoErr(json.Unmarshal(line, &fields))
		if fields["event"] == float64(number) {
			found = append(found, fields)
		}
	}
	return found
}
