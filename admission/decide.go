package admission

import (
	"math"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// MaxAge is the age of an outlook beyond which it decides nothing: within it, a queue that has been
// full may have been emptied by new workers.
const MaxAge = 3 * time.Second

// maxRetryAfter limits the time after which a caller is told to try again.
const maxRetryAfter = 10 * time.Second

// Attempt is an attempt to hand in a submission.
type Attempt struct {
	Submission *workload.Submission
	// Earlier is the number of earlier attempts with its id that were rejected.
	Earlier int
	// Draw, Trickle and Spread are random numbers from 0 to 1. The first ranks the submission among those
	// of the same work, the second decides whether it is in the trickle, the third spreads the callers'
	// next attempts.
	Draw, Trickle, Spread float64
}

// Reason is the reason for a verdict.
type Reason int

// Reasons. All but Rejected admit the submission.
const (
	// NoView: nothing is rejected, or nothing is known.
	NoView Reason = iota
	// OldView: the outlook is older than MaxAge.
	OldView
	// NotSubject: submissions of its kind are not rejected.
	NotSubject
	// Open: submissions of its queue and size are admitted.
	Open
	// RoomFree: there is room for a task that it begins with.
	RoomFree
	// InShare: it is in the share that is admitted.
	InShare
	// NotVerified: it would be rejected, but the owner has it, or doesn't say whether it has.
	NotVerified
	// Rejected: it can't be started in useful time.
	Rejected
)

// String returns the name in logs.
func (r Reason) String() string {
	return [...]string{"no view", "old view", "not subject", "open", "room free", "in share", "not verified", "rejected"}[r]
}

// Verdict is a decision about an attempt, with its inputs.
type Verdict struct {
	Reason Reason
	Size   Size
	// Expected is what submissions of its queue and size can expect, Chance the share of such
	// attempts that is admitted.
	Expected SizeOutlook
	Chance   float64
	// Fit is the number of tasks like the first ones of the submission that fit the free room.
	Fit int
	// RetryAfter is set for a rejection, in whole seconds.
	RetryAfter time.Duration
}

// Admitted reports whether the submission is to be accepted.
func (v *Verdict) Admitted() bool { return v.Reason != Rejected }

// Decide decides about an attempt by an outlook of an age. The outlook may be nil.
func Decide(o *Outlook, age time.Duration, a Attempt) Verdict {
	switch {
	case o.Empty():
		return Verdict{Reason: NoView}
	case age < 0 || age > MaxAge:
		return Verdict{Reason: OldView}
	case !Applies(a.Submission):
		return Verdict{Reason: NotSubject}
	}
	queue := o.Queues[a.Submission.Queue]
	if queue == nil {
		return Verdict{Reason: Open}
	}
	size, rank := queue.place(a.Submission, a.Draw)
	v := Verdict{Reason: Open, Size: size}
	v.Expected = queue.Sizes[v.Size]
	if !v.Expected.Rejecting {
		return v
	}
	room, known := o.Rooms[a.Submission.Policy.Service]
	if !known {
		v.Reason = NoView
		return v
	}
	if v.Fit = room.firstFits(a.Submission); v.Fit > 0 {
		v.Reason = RoomFree
		return v
	}
	// The share that is admitted has the least work of its size, as the owner starts it first, but for a
	// trickle of all. It doubles with each rejection, so that no caller is rejected without end.
	v.Chance = v.Expected.Share * math.Pow(2, float64(a.Earlier))
	if rank < v.Chance || a.Trickle < minShare {
		v.Reason = InShare
		return v
	}
	v.Reason, v.RetryAfter = Rejected, retryAfter(v.Expected.Drain, a)
	return v
}

// retryAfter spreads the next attempts over twice the time in which the submissions that wait are
// started, and over less for callers that were rejected before.
func retryAfter(drain time.Duration, a Attempt) time.Duration {
	spread := time.Duration(a.Spread * 2 * float64(drain) / float64(1+a.Earlier))
	return min(maxRetryAfter, seconds(spread))
}
