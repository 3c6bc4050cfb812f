package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/peer/peerpb"
)

// Guards against summaries of peers without a time: the policy would treat them
// as stale and never move a task to a cell of another VM.
func TestSchedulerSummaryKeepsTime(t *testing.T) {
	is := is.New(t)
	c := &peerpb.CellSummary{DataCentre: "maadi", Cell: 1, FreeMilliCpu: 5, Services: []*peerpb.ServiceSummary{{Service: "s", Created: 7, Replicas: 2}}}
	s := schedulerSummary(c, time.Minute)
	is.Equal(s.At, time.Minute)
	is.Equal(s.Free.MilliCPU, int64(5))
	is.Equal(s.Replicas["s/7"], 2)
}
