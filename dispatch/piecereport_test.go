package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against tasks that wait beside free CPU in pieces that are too small for them without a
// trace of it, also where only finite tasks wait.
func TestPiecesOfFreeCPUAreReported(t *testing.T) {
	is := is.New(t)
	l := fillTwoWorkers(1)
	l.submit(&workload.Submission{
		ID: "finite", Queue: "q", Steps: []workload.Step{finiteStep(3, 15000)},
		Policy: workload.Policy{Service: "register", MaxAttempts: 3, SlackFactor: 3},
	})
	l.run(500 * time.Millisecond)
	is.Equal(l.decisions[dispatch.PiecesReported], 0)
	l.run(4 * time.Second)
	is.True(l.decisions[dispatch.PiecesReported] >= 3)
	is.True(l.decisions[dispatch.PiecesReported] <= 4)
	is.True(strings.HasSuffix(l.reasons[dispatch.PiecesReported], "0m below 12000m, 28000m below 16000m, 0m below 24000m, 0m above; "+
		"no worker has room for: 3 other finite tasks for 45000m (the smallest for 15000m, below which 28000m are free), 0 fit if finite runs end, 1 in one piece, 0 suspected of a crash"))
	l.submitLasting("missing", 1, 25000, 1)
	l.run(2 * time.Second)
	is.True(strings.Contains(l.reasons[dispatch.PiecesReported], "1 new long-running tasks for 25000m (the smallest for 25000m, below which 28000m are free), 0 fit if finite runs end, 1 in one piece, 0 suspected of a crash"))
	is.Equal(dispatch.PiecesReported.String(), "pieces reported")
}
