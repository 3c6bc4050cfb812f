package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// workersListed applies the platform's current list of workers.
func (m *Machine) workersListed(ev WorkersListed) {
	m.crashes.listed = ev.All
	if len(m.crashes.lost) > 0 {
		for i := range ev.All {
			m.checkSuccessor(&ev.All[i])
		}
	}
	present := make(map[string]bool, len(ev.Workers))
	for _, info := range ev.Workers {
		w := m.workers[info.ID()]
		if w != nil && !w.mayServe(info.Service) {
			m.emitDecision(EntryIgnored, workload.RunID{}, w.ID(), "entry is of service "+info.Service, 0)
			continue
		}
		present[info.ID()] = true
		m.checkSuccessor(&info)
		if w == nil {
			w = m.addWorker(info)
		}
		if w.Incarnation != info.Incarnation && info.StartMillis > w.StartMillis {
			m.workerRestarted(w, info.Incarnation)
		}
		if w.Incarnation == info.Incarnation {
			m.updateLeavesAt(w, &info)
			w.Worker = info
			w.listed = true
		}
	}
	for _, w := range m.sorted {
		w.listed = w.listed && present[w.ID()]
	}
	m.planNeeded, m.listRead = true, true
}

// mayServe reports whether an entry of a service under the worker's id can be the worker's: its
// incarnations are all of the service of its earlier entries and of the runs that it was given.
// An entry of another writer says nothing of a restart.
func (w *worker) mayServe(service string) bool {
	if w.Service != "" {
		return w.Service == service
	}
	for _, r := range w.runList {
		if known := r.entry.Policy.Service; known != "" {
			return known == service
		}
	}
	return true
}

// workerRestarted switches to a new incarnation of a worker: no run of the old one
// is active any more. A start that the old incarnation never reported may have
// reached the new one, which has the same id; such a run is stopped there before
// its task is placed again. If the worker ends its connections, the run is given up only when
// the leases have expired that the new incarnation may have from calls to the old one. The
// properties of the new incarnation, which may differ, are not known before it is listed.
func (m *Machine) workerRestarted(w *worker, incarnation workload.Incarnation) {
	m.emitDecision(WorkerRestarted, workload.RunID{}, incarnation.Worker, "start time differs", 0)
	m.workerCrashed(w, "worker restarted")
	unreported := w.unreportedRuns()
	for _, r := range unreported {
		w.removeRun(r, m.now)
	}
	m.abandonRuns(w, "worker restarted")
	w.Incarnation, w.listed = incarnation, false
	m.inheritSilence(w)
	for _, r := range unreported {
		m.stopOnNext(w, r)
	}
	w.reported, w.silent, w.gone, w.restarted = false, false, false, true
	w.heartbeatToFormer = w.heartbeatInFlight
	w.unknownRuns = nil
	w.lastEnd, w.cursor, w.ackedCursor, w.unrecordedEnds = 0, 0, 0, nil
	w.clock, w.clockAt, w.predecessorsExpireAt, w.leaseDeadline = 0, 0, 0, 0
	w.leasesExpireAt = m.formerGrantsExpireAt(w)
	w.history, w.leavesAt = runHistory{}, 0
	w.pausedUntil, w.suspectedUntil = 0, 0
	w.nextHeartbeatAt = m.now
}

// stopOnNext stops a run that a worker's new incarnation may have, or may be about to start,
// because of a call to a former one. Its previous owner may have sent such calls until now.
func (m *Machine) stopOnNext(w *worker, r *run) {
	if r.inherited {
		w.grantArrivesAt = m.now + CommandTimeout
	}
	// The crash of the old incarnation has been attributed.
	r.isolated, r.survived, r.inherited = false, true, false
	w.addRun(r)
	r.startedBefore, r.stopRequested = true, true
	m.sendStop(r)
}

// formerGrantsExpireAt returns when the leases have expired that a worker's new incarnation has from
// calls that were meant for the one before. A record of its silence was made after the last of them,
// and later owners may rely on it.
func (m *Machine) formerGrantsExpireAt(w *worker) time.Duration {
	at := w.formerGrantsExpireAt(m.config.longestWorkerLease())
	for _, silence := range m.ledger.Silences(w.Incarnation) {
		at = min(at, m.now+m.remaining(silence))
	}
	return at
}

// abandonRuns removes the runs of a worker on which they can no longer be active.
func (m *Machine) abandonRuns(w *worker, reason string) {
	for _, r := range w.runList {
		if r.phase == recorded {
			m.withdraw(r, reason)
			continue
		}
		m.emitDecision(RunLost, r.id, w.ID(), reason, m.now-w.clockAt)
		m.keepCheckpoint(r)
		if r.phase == recording {
			r.stopRequested = true
			continue
		}
		m.beginInterruption(r, w.clockAt, reason, w.lossWait())
		m.removeRun(r)
	}
}
