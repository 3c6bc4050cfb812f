package coordinator

import (
	"context"
	"testing"
	"time"
)

// expiringLog has dropped the records before an offset and holds none.
type expiringLog struct {
	Log
	start int64
}

func (l *expiringLog) Read(_ context.Context, _ Stream, from int64, _ int, _ time.Duration) (Page, error) {
	if from < l.start {
		return Page{LogStart: l.start}, ErrExpired
	}
	return Page{From: from, LogEnd: l.start, LogStart: l.start}, nil
}

// Guards against a task that runs twice: records that a failed attempt has read are dropped because
// later ones have expired.
func TestRecordsThatWereReadAreAppliedBeforeAGap(t *testing.T) {
	n := NewNode(Config{Cells: 1}, Platform{Log: &expiringLog{start: 5}}, nil, NewMetrics())
	c := n.cells[0]
	c.unapplied = [][]byte{{1}, {2}, {3}}
	if err := c.readCellStream(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(c.unapplied) == 0 {
		t.Errorf("3 records that were read are dropped, the next offset is %d and %d records count as expired", c.cellNext, c.expiredRecords)
	}
}
