package retry

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// firstDelay is the mean delay before the first retry; it doubles up to lastDelay.
	firstDelay = 2 * time.Second
	lastDelay  = 2 * time.Minute
	// burst is how many failures of a job are retried without regard to its rate.
	burst = 20
	// perCompletion is what each completed task adds to the job's budget: one
	// retry in five completions is sustained.
	perCompletion = 0.2
)

// Budget holds the retries of one job.
type Budget struct {
	tokens float64
	tasks  map[string]taskRetries
}

// New returns a full budget.
func New() *Budget {
	return &Budget{tokens: burst, tasks: map[string]taskRetries{}}
}

// Failed records a failed attempt and sets the jittered delay of the next. A
// job without tokens waits the longest delay.
func (b *Budget) Failed(now time.Duration, random *rand.Rand, task, message string) {
	t := b.tasks[task]
	t.failures++
	t.message = message
	delay := min(firstDelay<<min(t.failures-1, 10), lastDelay)
	if b.tokens < 1 {
		delay = lastDelay
	}
	b.tokens = max(b.tokens-1, 0)
	t.notUntil = now + time.Duration((0.5+random.Float64())*float64(delay))
	b.tasks[task] = t
}

// Completed returns a part of a token to the job.
func (b *Budget) Completed(task string) {
	b.tokens = min(b.tokens+perCompletion, burst)
	delete(b.tasks, task)
}

// State returns when a task may run next, whether it has used all its retries,
// and the reason for either.
func (b *Budget) State(now time.Duration, task string, maxRetries int) (until time.Duration, exhausted bool, reason string) {
	t, known := b.tasks[task]
	if !known {
		return 0, false, ""
	}
	if t.failures > maxRetries {
		return 0, true, fmt.Sprintf("failed: %d attempts failed; last failure: %s", t.failures, t.message)
	}
	if now < t.notUntil {
		wait := (t.notUntil - now).Round(100 * time.Millisecond)
		return t.notUntil, false, fmt.Sprintf("pending: retry %d of %d in %s", t.failures, maxRetries, wait)
	}
	return 0, false, ""
}

// Failures returns how many attempts of a task have failed.
func (b *Budget) Failures(task string) int {
	return b.tasks[task].failures
}
