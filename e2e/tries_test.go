package e2e

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/checker"
)

// notedTries is the number of tries of a request that are kept, the first ones.
const notedTries = 3

// requestTries are the tries of a request of which the first was not answered.
type requestTries struct {
	first []string
	count int
}

// noteTry keeps what became of a try. Repeats of a request whose outcome is unknown are told
// so again, so the cause is in the first one.
func (c *cluster) noteTry(r callerRequest, outcome checker.Result, detail string, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tries := c.tries[r.id]
	if tries == nil {
		if outcome == checker.Answered {
			return
		}
		tries = &requestTries{}
		c.tries[r.id] = tries
	}
	tries.count++
	if len(tries.first) < notedTries {
		tries.first = append(tries.first, fmt.Sprintf("%s %s at %s, sent %s, took %v: %v, %s",
			r.method, r.id, r.vm.name, began.UTC().Format(time.RFC3339Nano), time.Since(began).Round(time.Microsecond), outcome, detail))
	}
}

// printTries prints the first tries of the requests that were repeated most, if the test has
// failed.
func (c *cluster) printTries() {
	if !c.t.Failed() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*requestTries
	for _, tries := range c.tries {
		all = append(all, tries)
	}
	slices.SortFunc(all, func(a, b *requestTries) int { return b.count - a.count })
	for _, tries := range all[:min(len(all), 5)] {
		for _, line := range tries.first {
			c.t.Logf("of %d tries: %s", tries.count, line)
		}
	}
}
