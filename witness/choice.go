package witness

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// Choose returns the set to be recorded next, or nil if there is none: the newest one will do,
// its record is awaited, or the set on trial has not confirmed the owner yet. A set that has
// lost its majority is followed by an empty one, which limits no leases.
func (o *Owner) Choose(all []Candidate, ownDataCentre string, now time.Duration) *ledger.Witnesses {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forgetFailures(all, now)
	if len(o.sets) > 1 {
		return nil
	}
	var newest ledger.Witnesses
	if len(o.sets) > 0 {
		newest = o.sets[0]
	}
	if at, confirmed := o.majorityAt(&newest); len(newest.All) > 0 && (!confirmed || now-at > failureTime) {
		o.trial = &ledger.Witnesses{Number: newest.Number + 1}
	} else if o.trial == nil || slices.ContainsFunc(o.trial.All, func(one ledger.Witness) bool { return o.failing(one.Process, now) }) {
		o.trial = o.replacement(&newest, all, ownDataCentre, now)
	}
	if o.trial == nil || !o.hasConfirmed(o.trial, now) || !o.markReports(o.trial) {
		return nil
	}
	chosen := o.trial
	o.trial, o.sets = nil, append(o.sets, *chosen)
	return chosen
}

// hasConfirmed reports whether all of a set have confirmed the owner, and a majority just now:
// what the owner granted before the set is recorded must have been confirmed, too.
func (o *Owner) hasConfirmed(set *ledger.Witnesses, now time.Duration) bool {
	if len(set.All) == 0 {
		return true
	}
	if slices.ContainsFunc(set.All, func(one ledger.Witness) bool { return o.confirmedAt[one.Process] == 0 }) {
		return false
	}
	at, confirmed := o.majorityAt(set)
	return confirmed && now-at <= ConfirmedDuration
}

// failing reports whether a process is known to end, or was called and has confirmed nothing
// for a while.
func (o *Owner) failing(process int64, now time.Duration) bool {
	if o.leaving[process] {
		return true
	}
	if asked, ok := o.askedAt[process]; ok && now-max(asked, o.confirmedAt[process]) > failureTime {
		o.failedAt[process] = now
	}
	failed, ok := o.failedAt[process]
	return ok && now-failed < retryDelay
}

// forgetFailures forgets the processes that can't be chosen any more, or may be chosen again.
func (o *Owner) forgetFailures(all []Candidate, now time.Duration) {
	maps.DeleteFunc(o.failedAt, func(_ int64, at time.Duration) bool { return now-at >= retryDelay })
	maps.DeleteFunc(o.leaving, func(process int64, _ bool) bool {
		_, asked := o.askedAt[process]
		return !asked && !slices.ContainsFunc(all, func(one Candidate) bool { return one.Process == process })
	})
}

// replacement returns the set that should replace the newest one, or nil if that will do.
func (o *Owner) replacement(newest *ledger.Witnesses, all []Candidate, ownDataCentre string, now time.Duration) *ledger.Witnesses {
	usable := slices.DeleteFunc(all, func(one Candidate) bool { return o.failing(one.Process, now) })
	failing := slices.ContainsFunc(newest.All, func(one ledger.Witness) bool { return o.failing(one.Process, now) })
	if !failing && len(newest.All) >= min(len(usable), maxWitnesses) {
		return nil
	}
	chosen := spread(usable, ownDataCentre)
	if len(chosen) <= len(newest.All) && !failing || len(chosen) == 0 && len(newest.All) == 0 {
		return nil
	}
	return &ledger.Witnesses{Number: newest.Number + 1, All: chosen}
}
