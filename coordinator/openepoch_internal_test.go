package coordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/ledger"
)

// repeatedOpeningLog gives no answer to the first append, which takes effect.
type repeatedOpeningLog struct {
	Log
	appends int
}

func (l *repeatedOpeningLog) Append(context.Context, Stream, [][]byte, *Fence) (int64, error) {
	if l.appends++; l.appends == 1 {
		return 0, errors.New("no answer")
	}
	return 1, nil
}

func openingCell(log Log) *cell {
	n := NewNode(Config{VM: "vm", PeerAddress: "vm", Cells: 1}, Platform{Log: log}, nil, NewMetrics())
	return n.cells[0]
}

// Guards against an authority that the repeated append of an opening renews: it may have taken effect at the
// first attempt, and another node may have opened a newer epoch since.
func TestRepeatedOpeningProvesNothing(t *testing.T) {
	for _, answered := range []bool{true, false} {
		is := is.New(t)
		log := &repeatedOpeningLog{}
		if answered {
			log.appends = 1
		}
		c := openingCell(log)
		c.authority.assigned(0, time.Hour)
		// The append is sent after another node may have opened an epoch.
		c.authority.unprovenSince = 0
		o := c.newOpening(1, predecessor{})
		is.NoErr(c.appendUntilKnown(t.Context(), o))
		is.Equal(c.authority.needsProof(), !answered)
	}
}

// Guards against a process that opens an epoch twice, after a lagging read that doesn't show its own record:
// the log answers its appends as repeats of those before, and stores none of them.
func TestProcessOpensNoEpochTwice(t *testing.T) {
	is := is.New(t)
	c := openingCell(nil)
	first := c.newOpening(5, predecessor{Owner: ledger.Owner{Epoch: 4}})
	is.Equal(first.epoch, int64(5))
	c.newestEpoch.Store(5)
	second := c.newOpening(5, predecessor{Owner: ledger.Owner{Epoch: 4}})
	is.Equal(second.epoch, int64(6))
	is.True(second.sequence != first.sequence)
}

// Guards against a contest that ends with a join which was sent before it began: the cell may have been
// assigned to another node since.
func TestContestOutlastsAnEarlierJoin(t *testing.T) {
	is := is.New(t)
	var a cellAuthority
	a.contest(100)
	is.True(!a.settle(99))
	is.True(a.isContested())
	is.True(a.settle(101))
	is.True(!a.isContested())
}
