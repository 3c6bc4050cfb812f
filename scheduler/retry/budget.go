package retry

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// initialDelay is the mean delay before the first retry. It doubles with each
	// failure, up to maxDelay.
	initialDelay = 2 * time.Second
	maxDelay     = 2 * time.Minute
	// burst is the size of a job's token bucket: how many failures are retried
	// regardless of their rate.
	burst = 20
	// tokensPerCompletion is how many tokens each completed task adds to the job's
	// bucket: it sustains one retry for every five completions.
	tokensPerCompletion = 0.2
)

// Budget is the retry budget of one job: a token bucket, and the failures of each
// task.
type Budget struct {
	tokens float64
	tasks  map[string]taskRetries
}

// New returns a budget with a full token bucket.
func New() *Budget {
	return &Budget{tokens: burst, tasks: map[string]taskRetries{}}
}

// Failed records a failed attempt and sets the jittered exponential delay before the
// next. If the job has no token left, the mean delay is maxDelay.
func (b *Budget) Failed(now time.Duration, random *rand.Rand, task, message string) {
	t := b.tasks[task]
	t.failures++
	t.lastFailure = message
	delay := min(initialDelay<<min(t.failures-1, 10), maxDelay)
	if b.tokens < 1 {
		delay = maxDelay
	}
	b.tokens = max(b.tokens-1, 0)
	t.retryAt = now + time.Duration((0.5+random.Float64())*float64(delay))
	b.tasks[task] = t
}

// Completed records a completed task and adds tokensPerCompletion to the budget.
func (b *Budget) Completed(task string) {
	b.tokens = min(b.tokens+tokensPerCompletion, burst)
	delete(b.tasks, task)
}

// State returns when a task may run next, or 0 if it may run now, whether it has
// used all its retries, and the reason for either.
func (b *Budget) State(now time.Duration, task string, maxRetries int) (until time.Duration, exhausted bool, reason string) {
	t, known := b.tasks[task]
	if !known {
		return 0, false, ""
	}
	if t.failures > maxRetries {
		return 0, true, fmt.Sprintf("failed: %d attempts failed; last failure: %s", t.failures, t.lastFailure)
	}
	if now < t.retryAt {
		wait := (t.retryAt - now).Round(100 * time.Millisecond)
		return t.retryAt, false, fmt.Sprintf("pending: retry %d of %d in %s", t.failures, maxRetries, wait)
	}
	return 0, false, ""
}

// Failures returns the number of failed attempts of a task.
func (b *Budget) Failures(task string) int {
	return b.tasks[task].failures
}
