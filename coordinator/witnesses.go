package coordinator

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// Limits of witnesses.
const (
	// maxWitnesses is the number of witnesses of an owner, minWitnesses the least for which
	// the loss of one leaves a majority.
	maxWitnesses = 5
	minWitnesses = 3
	// confirmInterval is the time between two calls to each witness, confirmTimeout the
	// timeout of a call: late answers count from when the call was sent.
	confirmInterval = 250 * time.Millisecond
	confirmTimeout  = 2 * time.Second
	// confirmedDuration is how long an owner grants full leases after a majority of its
	// witnesses has confirmed it. Later ones end when the last full one does.
	confirmedDuration = 700 * time.Millisecond
	// witnessFailureTime is how long a witness may confirm nothing until another one
	// replaces it. One that is known to end is replaced at once: the store may be away
	// when it has ended.
	witnessFailureTime = confirmTimeout + time.Second
	// witnessRetryDelay is how long a process that failed is not chosen again.
	witnessRetryDelay = 10 * time.Second
	// witnessMemory is how long after its last call a node can be chosen as a witness.
	witnessMemory = endWait + time.Second
)

// candidate is a process that can be a witness, as its calls tell.
type candidate struct {
	ledger.Witness
	dataCentre string
	// calledAt is when the process called last, on the node's monotonic clock.
	calledAt time.Duration
}

// candidates are the processes whose calls wait for the end of this node's ownership of a
// cell, by process.
type candidates struct {
	mu  sync.Mutex
	all map[int64]candidate
}

// noteCaller records the process that waits for the end of an ownership. Nodes of earlier
// versions don't name it.
func (c *cell) noteCaller(q *coordpb.AwaitEndRequest) {
	if q.PeerAddress == "" || q.Process == 0 {
		return
	}
	now := c.node.monotonicNow()
	c.candidates.mu.Lock()
	defer c.candidates.mu.Unlock()
	if c.candidates.all == nil {
		c.candidates.all = make(map[int64]candidate)
	}
	maps.DeleteFunc(c.candidates.all, func(_ int64, known candidate) bool {
		return known.PeerAddress == q.PeerAddress || now-known.calledAt > witnessMemory
	})
	c.candidates.all[q.Process] = candidate{
		Witness:    ledger.Witness{VM: q.Vm, PeerAddress: q.PeerAddress, Process: q.Process},
		dataCentre: q.DataCentre, calledAt: now,
	}
}

// witnesses are the processes that witness that an owner is alive. Its successor asks them if
// the owner does not answer: each lease was granted within confirmedDuration after a majority
// had confirmed the owner.
type witnesses struct {
	mu sync.Mutex
	// sets are those of which a record may be the newest in the log, in the order of their
	// records. Each limits the leases.
	sets []ledger.Witnesses
	// trial is the set to be recorded next, once all of it have confirmed the owner.
	trial *ledger.Witnesses
	// confirmedAt is when the newest call that a process confirmed was sent, askedAt when
	// it was first called, both on the authority clock.
	confirmedAt, askedAt map[int64]time.Duration
	// leaving are the processes that have ended or are being stopped, failedAt is when others
	// were last found to fail.
	leaving  map[int64]bool
	failedAt map[int64]time.Duration
	// reports are those of the leases, heldReport is the newest one that a process has said
	// to hold, and knownWorkers are the workers that it knew then.
	reports      leaseReports
	heldReport   map[int64]int64
	knownWorkers map[int64]knownNumbering
}

func newWitnesses() *witnesses {
	return &witnesses{
		confirmedAt: make(map[int64]time.Duration), askedAt: make(map[int64]time.Duration),
		leaving: make(map[int64]bool), failedAt: make(map[int64]time.Duration),
		reports: newLeaseReports(), heldReport: make(map[int64]int64), knownWorkers: make(map[int64]knownNumbering),
	}
}

// leaseLimit returns the duration of the longest lease that the owner may grant at a time.
func (w *witnesses) leaseLimit(now, lease time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := time.Duration(math.MaxInt64)
	for i := range w.sets {
		if len(w.sets[i].All) == 0 {
			continue
		}
		at, confirmed := w.majorityAt(&w.sets[i])
		if !confirmed {
			return 0
		}
		limit = min(limit, max(0, confirmedDuration+lease-(now-at)))
	}
	return limit
}

// majorityAt returns the time since which a majority of a set has confirmed the owner.
func (w *witnesses) majorityAt(set *ledger.Witnesses) (time.Duration, bool) {
	var at []time.Duration
	for _, one := range set.All {
		if confirmed, ok := w.confirmedAt[one.Process]; ok {
			at = append(at, confirmed)
		}
	}
	if len(at) < set.Majority() {
		return 0, false
	}
	slices.SortFunc(at, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return at[set.Majority()-1], true
}

// recorded notes that the record of the set with a number is in the log: earlier ones hold no
// longer.
func (w *witnesses) recorded(number int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sets = slices.DeleteFunc(w.sets, func(set ledger.Witnesses) bool { return set.Number < number })
	w.releaseReports()
}

// addReport makes a report of the leases.
func (w *witnesses) addReport(expiry map[workload.Incarnation]time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports.add(expiry)
	w.releaseReports()
}

// releaseReports ends the limits of the reports that no successor can learn: those before the
// newest one that a majority of each set holds, and all if no set has reports.
func (w *witnesses) releaseReports() {
	from := w.reports.last + 1
	for i := range w.sets {
		if w.sets[i].Reports {
			from = min(from, w.majorityReport(&w.sets[i]))
		}
	}
	if w.trial != nil && w.trial.Reports {
		from = min(from, w.majorityReport(w.trial))
	}
	w.reports.release(from)
}

// majorityReport returns the newest report for which a majority of a set holds that one or a
// later one.
func (w *witnesses) majorityReport(set *ledger.Witnesses) int64 {
	var held []int64
	for _, one := range set.All {
		held = append(held, w.heldReport[one.Process])
	}
	slices.Sort(held)
	return held[len(held)-set.Majority()]
}

// leaseExpiryLimit returns the time, on the node's monotonic clock, by which a lease that is
// granted to a worker now must have expired.
func (w *witnesses) leaseExpiryLimit(worker workload.Incarnation) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports.limit(worker)
}

// endReports makes the last report, which tells nothing, so that leases are limited no more when a
// majority holds it.
func (w *witnesses) endReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports.end()
	w.releaseReports()
}

// reportsEnded reports whether there will be no later report.
func (w *witnesses) reportsEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports.ended
}

// leasesReported reports whether a report limits the leases of any worker.
func (w *witnesses) leasesReported() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports.limitsAny()
}

// reportFor returns the newest report as a process is sent it, or nil if there is none.
func (w *witnesses) reportFor(process int64, now time.Duration) *coordpb.LeaseReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports.message(w.knownWorkers[process], now)
}

// asked returns the processes to call, and forgets what others confirmed.
func (w *witnesses) asked(now time.Duration) []ledger.Witness {
	w.mu.Lock()
	defer w.mu.Unlock()
	sets := w.sets
	if w.trial != nil {
		sets = append(slices.Clone(sets), *w.trial)
	}
	askedAt, confirmedAt := make(map[int64]time.Duration), make(map[int64]time.Duration)
	var out []ledger.Witness
	for _, set := range sets {
		for _, one := range set.All {
			if _, added := askedAt[one.Process]; added {
				continue
			}
			out = append(out, one)
			askedAt[one.Process] = now
			if since, known := w.askedAt[one.Process]; known {
				askedAt[one.Process] = since
			}
			if at, confirmed := w.confirmedAt[one.Process]; confirmed {
				confirmedAt[one.Process] = at
			}
		}
	}
	w.askedAt, w.confirmedAt = askedAt, confirmedAt
	notAsked := func(process int64) bool { _, asked := askedAt[process]; return !asked }
	maps.DeleteFunc(w.heldReport, func(process, _ int64) bool { return notAsked(process) })
	maps.DeleteFunc(w.knownWorkers, func(process int64, _ knownNumbering) bool { return notAsked(process) })
	return out
}

// confirmed records that a process confirmed the owner in answer to a call.
func (w *witnesses) confirmed(process int64, sent time.Duration, answer *coordpb.ConfirmOwnerAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt[process] = max(w.confirmedAt[process], sent)
	w.heldReport[process] = max(w.heldReport[process], answer.Report)
	w.knownWorkers[process] = knownNumbering{answer.Numbering, int(answer.KnownWorkers)}.later(w.knownWorkers[process])
	w.releaseReports()
}

func (w *witnesses) noteLeaving(process int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving[process] = true
}

// failing reports whether a process is known to end, or was called and has confirmed nothing
// for a while.
func (w *witnesses) failing(process int64, now time.Duration) bool {
	if w.leaving[process] {
		return true
	}
	if asked, ok := w.askedAt[process]; ok && now-max(asked, w.confirmedAt[process]) > witnessFailureTime {
		w.failedAt[process] = now
	}
	failed, ok := w.failedAt[process]
	return ok && now-failed < witnessRetryDelay
}

// choose returns the set to be recorded next, or nil if there is none: the newest one will do,
// its record is awaited, or the set on trial has not confirmed the owner yet. A set that has
// lost its majority is followed by an empty one, which limits no leases.
func (w *witnesses) choose(all []candidate, ownDataCentre string, now time.Duration) *ledger.Witnesses {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgetFailures(all, now)
	if len(w.sets) > 1 {
		return nil
	}
	var newest ledger.Witnesses
	if len(w.sets) > 0 {
		newest = w.sets[0]
	}
	if at, confirmed := w.majorityAt(&newest); len(newest.All) > 0 && (!confirmed || now-at > witnessFailureTime) {
		w.trial = &ledger.Witnesses{Number: newest.Number + 1}
	} else if w.trial == nil || slices.ContainsFunc(w.trial.All, func(one ledger.Witness) bool { return w.failing(one.Process, now) }) {
		w.trial = w.replacement(&newest, all, ownDataCentre, now)
	}
	if w.trial == nil || !w.hasConfirmed(w.trial, now) {
		return nil
	}
	// A set whose members have confirmed calls with reports, but hold none, has one of an
	// earlier version.
	w.trial.Reports = len(w.trial.All) > 0 && !slices.ContainsFunc(w.trial.All, func(one ledger.Witness) bool { return w.heldReport[one.Process] == 0 })
	w.releaseReports()
	if w.trial.Reports && w.majorityReport(w.trial) < w.reports.from {
		// Leases that have been granted need not keep to the reports that the set holds.
		return nil
	}
	chosen := w.trial
	w.trial, w.sets = nil, append(w.sets, *chosen)
	return chosen
}

// hasConfirmed reports whether all of a set have confirmed the owner, and a majority just now:
// what the owner granted before the set is recorded must have been confirmed, too.
func (w *witnesses) hasConfirmed(set *ledger.Witnesses, now time.Duration) bool {
	if len(set.All) == 0 {
		return true
	}
	if slices.ContainsFunc(set.All, func(one ledger.Witness) bool { return w.confirmedAt[one.Process] == 0 }) {
		return false
	}
	at, confirmed := w.majorityAt(set)
	return confirmed && now-at <= confirmedDuration
}

// forgetFailures forgets the processes that can't be chosen any more, or may be chosen again.
func (w *witnesses) forgetFailures(all []candidate, now time.Duration) {
	maps.DeleteFunc(w.failedAt, func(_ int64, at time.Duration) bool { return now-at >= witnessRetryDelay })
	maps.DeleteFunc(w.leaving, func(process int64, _ bool) bool {
		_, asked := w.askedAt[process]
		return !asked && !slices.ContainsFunc(all, func(one candidate) bool { return one.Process == process })
	})
}

// replacement returns the set that should replace the newest one, or nil if that will do.
func (w *witnesses) replacement(newest *ledger.Witnesses, all []candidate, ownDataCentre string, now time.Duration) *ledger.Witnesses {
	usable := slices.DeleteFunc(all, func(one candidate) bool { return w.failing(one.Process, now) })
	chosen := spread(usable, ownDataCentre)
	failing := slices.ContainsFunc(newest.All, func(one ledger.Witness) bool { return w.failing(one.Process, now) })
	if len(chosen) <= len(newest.All) && !failing || len(chosen) == 0 && len(newest.All) == 0 {
		return nil
	}
	return &ledger.Witnesses{Number: newest.Number + 1, All: chosen}
}

// spread chooses an odd number of candidates, at most maxWitnesses, spread over the data
// centres, or none if there are fewer than minWitnesses. A minority is in the owner's own data
// centre, which may be lost with it.
func spread(all []candidate, ownDataCentre string) []ledger.Witness {
	byDataCentre := make(map[string][]candidate)
	for _, one := range all {
		byDataCentre[one.dataCentre] = append(byDataCentre[one.dataCentre], one)
	}
	for _, inOne := range byDataCentre {
		slices.SortFunc(inOne, func(a, b candidate) int { return cmp.Compare(a.VM, b.VM) })
	}
	if own := byDataCentre[ownDataCentre]; len(byDataCentre) > 1 {
		byDataCentre[ownDataCentre] = own[:min(len(own), maxWitnesses/2)]
	}
	var out []ledger.Witness
	for round := range maxWitnesses {
		for _, name := range slices.Sorted(maps.Keys(byDataCentre)) {
			if inOne := byDataCentre[name]; round < len(inOne) && len(out) < maxWitnesses {
				out = append(out, inOne[round].Witness)
			}
		}
	}
	if len(out)%2 == 0 && len(out) > 0 {
		out = out[:len(out)-1]
	}
	if len(out) < minWitnesses {
		return nil
	}
	return out
}

// askWitnesses has the witnesses confirm this owner until ctx is done, and has them recorded
// when they change.
func (o *ownership) askWitnesses(ctx context.Context) {
	for {
		o.requestReport(ctx)
		for _, one := range o.witnesses.asked(o.node.authorityNow()) {
			o.node.wg.Go(func() { o.askWitness(ctx, one) })
		}
		if !o.sleepUntilRound(ctx) {
			return
		}
		if chosen := o.witnesses.choose(o.candidateList(), o.node.config.DataCentre, o.node.authorityNow()); chosen != nil {
			o.post(ctx, dispatch.WitnessesChosen{Witnesses: *chosen})
		}
	}
}

// sleepUntilRound waits until the witnesses are to be called again. It returns false if ctx is done.
func (o *ownership) sleepUntilRound(ctx context.Context) bool {
	next := time.NewTimer(confirmInterval)
	defer next.Stop()
	select {
	case <-next.C:
	case <-o.lastReportMade:
	case <-ctx.Done():
		return false
	}
	return true
}

// requestReport has the event loop report the leases. Without a report in time the newest one is
// sent again.
func (o *ownership) requestReport(ctx context.Context) {
	if o.witnesses.reportsEnded() {
		return
	}
	timeout := time.NewTimer(reportTimeout)
	defer timeout.Stop()
	select {
	case o.reportRequests <- struct{}{}:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

func (o *ownership) askWitness(ctx context.Context, one ledger.Witness) {
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := o.node.authorityNow()
	report := o.witnesses.reportFor(one.Process, o.node.monotonicNow())
	if report == nil {
		return
	}
	answer, err := o.node.peers.client(one.PeerAddress).ConfirmOwner(call, &coordpb.ConfirmOwnerRequest{
		Cell: int32(o.number), Epoch: o.epoch, Process: one.Process, Report: report,
	})
	if err == nil && answer.Confirmed {
		o.witnesses.confirmed(one.Process, sent, answer)
	}
	if err == nil && answer.Leaving || errors.Is(err, syscall.ECONNREFUSED) {
		o.witnesses.noteLeaving(one.Process)
	}
}

// candidateList returns the processes that have called lately.
func (c *cell) candidateList() []candidate {
	now := c.node.monotonicNow()
	c.candidates.mu.Lock()
	defer c.candidates.mu.Unlock()
	var out []candidate
	for _, one := range c.candidates.all {
		if now-one.calledAt <= witnessMemory {
			out = append(out, one)
		}
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.Process, b.Process) })
	return out
}
