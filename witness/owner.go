package witness

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

const (
	// CallInterval is the time between two calls to each witness.
	CallInterval = 250 * time.Millisecond
	// CallTimeout is the timeout of a call. Late answers count from when the call was sent.
	CallTimeout = 2 * time.Second
	// ConfirmedDuration is how long an owner grants full leases after a majority of its
	// witnesses has confirmed it. Later ones end when the last full one does.
	ConfirmedDuration = 700 * time.Millisecond
	// failureTime is how long a witness may confirm nothing until another one replaces it.
	// One that is known to end is replaced at once: the store may be away when it has ended.
	failureTime = CallTimeout + time.Second
	// retryDelay is how long a process that failed is not chosen again.
	retryDelay = 10 * time.Second
)

// Owner is what an owner knows of its witnesses. Its successor asks them if the owner does
// not answer: each lease was granted within ConfirmedDuration after a majority had confirmed
// the owner, and keeps to what has been reported of the worker's leases.
type Owner struct {
	mu sync.Mutex
	// sets are those of which a record may be the newest in the log, in the order of their
	// records. Each limits the leases.
	sets []ledger.Witnesses
	// trial is the set to be recorded next, once all of it have confirmed the owner.
	trial *ledger.Witnesses
	// confirmedAt is when the newest call that a process confirmed was sent, askedAt when
	// it was first called.
	confirmedAt, askedAt map[int64]time.Duration
	// leaving are the processes that have ended or are being stopped, failedAt is when others
	// were last found to fail.
	leaving  map[int64]bool
	failedAt map[int64]time.Duration
	// reports are those of the leases, held is the newest one that a process has said to hold,
	// and known are the workers that it knew then.
	reports ownReports
	held    map[int64]int64
	known   map[int64]Known
}

// NewOwner returns an owner without witnesses.
func NewOwner() *Owner {
	return &Owner{
		confirmedAt: make(map[int64]time.Duration), askedAt: make(map[int64]time.Duration),
		leaving: make(map[int64]bool), failedAt: make(map[int64]time.Duration),
		reports: newOwnReports(), held: make(map[int64]int64), known: make(map[int64]Known),
	}
}

// LeaseLimit returns the duration of the longest lease that the owner may grant at a time.
func (o *Owner) LeaseLimit(now, lease time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := time.Duration(math.MaxInt64)
	for i := range o.sets {
		if len(o.sets[i].All) == 0 {
			continue
		}
		at, confirmed := o.majorityAt(&o.sets[i])
		if !confirmed {
			return 0
		}
		limit = min(limit, max(0, ConfirmedDuration+lease-(now-at)))
	}
	return limit
}

// majorityAt returns the time since which a majority of a set has confirmed the owner.
func (o *Owner) majorityAt(set *ledger.Witnesses) (time.Duration, bool) {
	var at []time.Duration
	for _, one := range set.All {
		if confirmed, ok := o.confirmedAt[one.Process]; ok {
			at = append(at, confirmed)
		}
	}
	if len(at) < set.Majority() {
		return 0, false
	}
	slices.SortFunc(at, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return at[set.Majority()-1], true
}

// Recorded notes that the record of the set with a number is in the log: earlier ones hold no
// longer.
func (o *Owner) Recorded(number int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sets = slices.DeleteFunc(o.sets, func(set ledger.Witnesses) bool { return set.Number < number })
	o.releaseReports()
}

// Call is a call to a witness that asks it to confirm the owner.
type Call struct {
	Witness ledger.Witness
	// sentAt is at most the time at which the call is sent.
	sentAt time.Duration
}

// Calls returns the calls to make now, one to each process, and forgets what other processes
// confirmed.
func (o *Owner) Calls(now time.Duration) []Call {
	o.mu.Lock()
	defer o.mu.Unlock()
	sets := o.sets
	if o.trial != nil {
		sets = append(slices.Clone(sets), *o.trial)
	}
	askedAt, confirmedAt := make(map[int64]time.Duration), make(map[int64]time.Duration)
	var out []Call
	for _, set := range sets {
		for _, one := range set.All {
			if _, added := askedAt[one.Process]; added {
				continue
			}
			out = append(out, Call{Witness: one, sentAt: now})
			askedAt[one.Process] = now
			if since, known := o.askedAt[one.Process]; known {
				askedAt[one.Process] = since
			}
			if at, confirmed := o.confirmedAt[one.Process]; confirmed {
				confirmedAt[one.Process] = at
			}
		}
	}
	o.askedAt, o.confirmedAt = askedAt, confirmedAt
	notAsked := func(process int64) bool { _, asked := askedAt[process]; return !asked }
	maps.DeleteFunc(o.held, func(process, _ int64) bool { return notAsked(process) })
	maps.DeleteFunc(o.known, func(process int64, _ Known) bool { return notAsked(process) })
	return out
}

// Answered records the answer to a call.
func (o *Owner) Answered(c Call, a Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Confirmed {
		process := c.Witness.Process
		o.confirmedAt[process] = max(o.confirmedAt[process], c.sentAt)
		o.held[process] = max(o.held[process], a.Report)
		o.known[process] = a.Known.later(o.known[process])
		o.releaseReports()
	}
	if a.Leaving {
		o.leaving[c.Witness.Process] = true
	}
}
