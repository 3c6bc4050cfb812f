package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against a missed latency target that nothing shows, because single reports within the
// target interrupt it.
func TestTargetMissIsReportedAcrossRoughReports(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	h.report()
	h.submit("watch", watchStep)
	h.setTail("watch", 15*time.Millisecond)
	h.advance(2 * time.Second)
	h.report()
	h.submit("report", reportStep)
	for i := range 7 {
		h.setTail("watch", 80*time.Millisecond)
		if i%3 == 2 {
			h.setTail("watch", 45*time.Millisecond)
		}
		h.advance(400 * time.Millisecond)
		h.report()
	}
	missed := h.decisions(dispatch.TargetMissed)
	is.Equal(len(missed), 1)
	is.Equal(missed[0].Age, 2400*time.Millisecond)
	is.Equal(missed[0].Worker, "w")
	is.True(strings.Contains(missed[0].Reason, "7 reports, 2 of them within the target, up to 400ms apart"))
	is.True(strings.Contains(missed[0].Reason, "1 stopped"))
	h.setTail("watch", 20*time.Millisecond)
	for range 3 {
		is.Equal(len(h.decisions(dispatch.TargetMissEnded)), 0)
		h.advance(400 * time.Millisecond)
		h.report()
	}
	ended := h.decisions(dispatch.TargetMissEnded)
	is.Equal(len(ended), 1)
	is.Equal(ended[0].Age, 2400*time.Millisecond)
}
