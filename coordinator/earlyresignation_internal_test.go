package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
)

// lateAnswerLog stores an append and answers it when it is released.
type lateAnswerLog struct {
	Log
	stored, release chan struct{}
}

func (l *lateAnswerLog) Append(context.Context, Stream, [][]byte, *Fence) (int64, error) {
	close(l.stored)
	<-l.release
	return 1, nil
}

// Guards against leases that are counted too short: a node says that its ownership of an epoch has ended
// before it begins, because the log's answer to the Opened record is late.
func TestResignationIsNotAnsweredBeforeTheOwnership(t *testing.T) {
	log := &lateAnswerLog{stored: make(chan struct{}), release: make(chan struct{})}
	n := NewNode(Config{Cells: 1}, Platform{Log: log}, nil, NewMetrics())
	c := n.cells[0]
	c.generation.Store(33)
	opened := make(chan error, 1)
	go func() {
		opened <- c.appendOpened(t.Context(), c.newOpening(33, predecessor{}))
	}()
	<-log.stored
	waited, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	answer, err := n.Resign(waited, &coordpb.ResignRequest{Cell: 0, Epoch: 33})
	if err != nil {
		t.Fatal(err)
	}
	close(log.release)
	if err := <-opened; err != nil {
		t.Fatal(err)
	}
	if answer.Resigned {
		t.Errorf("answer %v to a request to resign; the epoch was opened after it", answer)
	}
}
