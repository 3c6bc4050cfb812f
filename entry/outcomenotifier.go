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
func (b *outcomeNotifier) await(id string) (<-chan resources.Outcome, func()) {
	c := make(chan resources.Outcome, 1)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters[id] = append(b.waiters[id], c)
	return c, func() { b.cancel(id, c) }
}

func (b *outcomeNotifier) cancel(id string, c chan resources.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	remaining := b.waiters[id][:0]
	for _, other := range b.waiters[id] {
		if other != c {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(b.waiters, id)
		return
	}
	b.waiters[id] = remaining
}

// publish sends each outcome to its waiters.
func (b *outcomeNotifier) publish(outcomes []resources.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, outcome := range outcomes {
		for _, c := range b.waiters[outcome.ID] {
			select {
			case c <- outcome:
			default:
			}
		}
		delete(b.waiters, outcome.ID)
	}
}
