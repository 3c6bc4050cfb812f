package coordinator

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/workload"
)

// Guards against an owner that doesn't see which worker has replaced a crashed one, because
// that one belongs to another cell.
func TestOwnersSeeTheWorkersOfAllCells(t *testing.T) {
	is := is.New(t)
	n := &Node{startedAt: time.Now()}
	n.cells = []*cell{{node: n}, {node: n, number: 1}}
	n.workers = newWorkerList(n)
	var owners []*ownership
	for _, c := range n.cells {
		o := &ownership{cell: c, events: make(chan queuedEvent, 2)}
		n.workers.subscribe(context.Background(), o)
		owners = append(owners, o)
	}
	var list []workload.Worker
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		list = append(list, workload.Worker{Incarnation: workload.Incarnation{Worker: id}})
	}
	n.workers.publish(list, true, 0)
	own := 0
	for _, o := range owners {
		listed := (<-o.events).event.(dispatch.WorkersListed)
		own += len(listed.Workers)
		is.Equal(len(listed.All), len(list))
	}
	is.Equal(own, len(list))
}

// Guards against an owner that waits for the list of workers although this node has just read it.
func TestOwnershipBeginsWithTheListThatWasReadBefore(t *testing.T) {
	for age, events := range map[time.Duration]int{preparedListAge / 2: 2, 2 * preparedListAge: 0} {
		is := is.New(t)
		n := &Node{startedAt: time.Now().Add(-time.Hour)}
		n.cells = []*cell{{node: n}}
		n.workers = newWorkerList(n)
		n.workers.publish([]workload.Worker{{}}, true, n.monotonicNow()-age)
		o := &ownership{cell: n.cells[0], events: make(chan queuedEvent, 2)}
		n.workers.subscribe(t.Context(), o)
		is.Equal(len(o.events), events)
		is.Equal(n.workers.subscribers[o].delivered, events > 0)
	}
}
