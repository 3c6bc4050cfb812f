package dispatch

// Dump is the state of a machine for people. Times are in milliseconds.
type Dump struct {
	Epoch   int64                `json:"epoch"`
	Workers WorkersDump          `json:"workers"`
	Runs    map[string]int       `json:"runs"`
	Queues  map[string]QueueDump `json:"queues"`
	// AppendsInFlight counts the appends without an answer.
	AppendsInFlight int `json:"appendsInFlight"`
	// LongestSilenceMillis is the age of the oldest report of a worker with runs.
	LongestSilenceMillis int64 `json:"longestSilenceMillis"`
}

// WorkersDump counts the workers by what is believed of them.
type WorkersDump struct {
	Listed   int `json:"listed"`
	Usable   int `json:"usable"`
	Silent   int `json:"silent"`
	Draining int `json:"draining"`
	Paused   int `json:"paused"`
}

// QueueDump counts the steps of a queue that wait for room.
type QueueDump struct {
	WaitingSteps int `json:"waitingSteps"`
	WaitingTasks int `json:"waitingTasks"`
	// LateSteps of these can't complete within their objective any more.
	LateSteps int `json:"lateSteps"`
}

var phaseNames = map[phase]string{
	recording: "recording", starting: "starting", running: "running", stopping: "stopping", ending: "ending",
}

// Dump returns the present state.
func (m *Machine) Dump() Dump {
	d := Dump{
		Epoch: m.config.Epoch, Runs: make(map[string]int), Queues: make(map[string]QueueDump),
		AppendsInFlight: len(m.pending),
	}
	d.Workers.Usable = len(m.usable())
	for _, w := range m.sorted {
		m.dumpWorker(&d, w)
	}
	for _, c := range m.candidates() {
		q := d.Queues[c.entry.Queue]
		q.WaitingSteps++
		q.WaitingTasks += c.state.Unfinished - m.busy[c.state]
		if c.hope != onTime {
			q.LateSteps++
		}
		d.Queues[c.entry.Queue] = q
	}
	return d
}

func (m *Machine) dumpWorker(d *Dump, w *worker) {
	count := func(counter *int, is bool) {
		if is {
			*counter++
		}
	}
	count(&d.Workers.Listed, w.listed)
	count(&d.Workers.Silent, w.silent)
	count(&d.Workers.Draining, w.Draining)
	count(&d.Workers.Paused, m.now < w.pausedUntil)
	for _, r := range w.order {
		d.Runs[phaseNames[r.phase]]++
	}
	if len(w.runs) > 0 {
		d.LongestSilenceMillis = max(d.LongestSilenceMillis, (m.now - w.clockAt).Milliseconds())
	}
}
