package dispatch

// Best-effort runs last for seconds, and the load of the tasks beside them swings as much within that time. A
// run that finds headroom when it is placed has taken it when the load has risen, and the callers of those
// tasks wait until it is stopped: its work is lost as well. So a best-effort task is placed at its full pace
// only beside tasks with which its image is not known to interfere, whatever their headroom is at the time.
// Pairs of images of which too little is known go on being tried, one at a time on a worker. Where an image
// interferes everywhere, its tasks wait until they are overdue and run paced. Gangs and tasks suspected of a
// crash never run paced, so their headroom decides alone.

// noticeable reports whether a share of a worker's CPU is estimated to add noticeably to the utilisation of a
// task beside it.
func (p pairInterference) noticeable(share float64) bool {
	return share*p.interference >= negligibleUtilisation
}

// knownToInterfere reports whether a best-effort run of an image that requests a share of a worker's CPU is
// known to interfere noticeably with a task there.
func (m *Machine) knownToInterfere(w *worker, image imageID, share float64) bool {
	for _, s := range w.latencyRuns {
		if pair := m.model.pair(s.image, image); !pair.uncertain && pair.noticeable(share) {
			return true
		}
	}
	return false
}
