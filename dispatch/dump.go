package dispatch

// Dump is a summary of a machine's state for debugging.
type Dump struct {
	Epoch   int64                `json:"epoch"`
	Workers WorkersDump          `json:"workers"`
	Runs    map[string]int       `json:"runs"`
	Queues  map[string]QueueDump `json:"queues"`
	// Tenants are those that are declared, and those with work.
	Tenants map[string]TenantDump `json:"tenants,omitempty"`
	// AppendsInFlight is the number of unanswered appends.
	AppendsInFlight int `json:"appendsInFlight"`
	// StartsInFlight is the number of runs that are being recorded or whose start is
	// unanswered, StartLimit the number up to which more are placed.
	StartsInFlight int `json:"startsInFlight"`
	StartLimit     int `json:"startLimit"`
	// LongestSilenceMillis is the age of the oldest clock reading of a worker with
	// runs, in milliseconds.
	LongestSilenceMillis int64 `json:"longestSilenceMillis"`
}

// WorkersDump counts the workers by condition. A worker may be in several counts.
type WorkersDump struct {
	Listed   int `json:"listed"`
	Usable   int `json:"usable"`
	Silent   int `json:"silent"`
	Draining int `json:"draining"`
	Paused   int `json:"paused"`
}

// QueueDump counts the steps of a queue that wait for free capacity.
type QueueDump struct {
	WaitingSteps int `json:"waitingSteps"`
	WaitingTasks int `json:"waitingTasks"`
	// LateSteps is the number of waiting steps that are not expected to complete
	// within their objective and are therefore placed later.
	LateSteps int `json:"lateSteps"`
}

// Dump returns a summary of the current state.
func (m *Machine) Dump() Dump {
	d := Dump{
		Epoch: m.config.Epoch, Runs: make(map[string]int), Queues: make(map[string]QueueDump),
		AppendsInFlight: len(m.pending), StartsInFlight: m.starts.inFlight, StartLimit: m.starts.limit,
	}
	d.Workers.Usable = len(m.usableWorkers())
	for _, w := range m.sorted {
		m.dumpWorker(&d, w)
	}
	waiting := m.waitingSteps()
	d.Tenants = m.dumpTenants(waiting)
	for _, ws := range waiting {
		q := d.Queues[ws.entry.Queue]
		q.WaitingSteps++
		q.WaitingTasks += ws.state.Local() - m.occupied[ws.state]
		if ws.timeliness != onTime {
			q.LateSteps++
		}
		d.Queues[ws.entry.Queue] = q
	}
	return d
}

func (m *Machine) dumpWorker(d *Dump, w *worker) {
	count := func(counter *int, condition bool) {
		if condition {
			*counter++
		}
	}
	count(&d.Workers.Listed, w.listed)
	count(&d.Workers.Silent, w.silent)
	count(&d.Workers.Draining, w.Draining)
	count(&d.Workers.Paused, m.now < max(w.pausedUntil, w.suspectedUntil))
	for _, r := range w.runList {
		d.Runs[r.phase.String()]++
	}
	if len(w.runs) > 0 {
		d.LongestSilenceMillis = max(d.LongestSilenceMillis, (m.now - w.clockAt).Milliseconds())
	}
}
