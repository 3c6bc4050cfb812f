package entry

import (
	"sync"

	"github.com/cactusreel/cactusreel/resources"
)

// outcomeNotifier delivers the outcomes of applied operations to the submitters
// of this process that wait for them.
type outcomeNotifier struct {
	mu      sync.Mutex
	waiters map[string][]chan resources.Outcome
}

func newOutcomeNotifier() *outcomeNotifier {
	return &outcomeNotifier{waiters: make(map[string][]chan resources.Outcome)}
}

// await returns a channel that receives the outcome of an operation, and a
// function that cancels the wait.
func (n *outcomeNotifier) await(id string) (<-chan resources.Outcome, func()) {
	c := make(chan resources.Outcome, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiters[id] = append(n.waiters[id], c)
	return c, func() { n.cancel(id, c) }
}

func (n *outcomeNotifier) cancel(id string, c chan resources.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	remaining := n.waiters[id][:0]
	for _, other := range n.waiters[id] {
		if other != c {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(n.waiters, id)
		return
	}
	n.waiters[id] = remaining
}

// publish sends each outcome to its waiters.
func (n *outcomeNotifier) publish(outcomes []resources.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, outcome := range outcomes {
		for _, c := range n.waiters[outcome.ID] {
			select {
			case c <- outcome:
			default:
			}
		}
		delete(n.waiters, outcome.ID)
	}
}
