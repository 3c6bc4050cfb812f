package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/locality"
	"github.com/cactusreel/cactusreel/workload"
)

// This file answers the load of many submissions whose data lie on one rack: their tasks wait for
// room there as long as the run away from the data is expected to end later.

// placeWaits are the steps with tasks that wait for room near their data, although they could run
// elsewhere at once.
type placeWaits struct {
	// steps has the waits of this epoch by step.
	steps map[*ledger.Step]*placeWait
	// forecasts are those of the planning round that runs, by rack and service.
	forecasts map[rackKey]*locality.Forecast
	// scarce says of which services there is little room in that round.
	scarce map[string]bool
	// searches is the number of steps in that round for which racks were compared.
	searches int
}

// placeWait is the wait of a step.
type placeWait struct {
	entry *ledger.Entry
	// rack is the rack for which its tasks wait.
	rack string
	// since is when a task of the step first waited, in this epoch.
	since time.Duration
	// expected is the longest wait that was expected in the last planning round, and waiting the
	// number of tasks that waited in it.
	expected time.Duration
	waiting  int
	// near and away are the tasks that have since been placed on that rack and elsewhere.
	near, away int
}

// rackKey names the workers of one service with a label on one rack.
type rackKey struct{ service, rack, label string }

// has reports whether a worker is one of them.
func (k rackKey) has(w *worker) bool {
	return w.Service == k.service && w.Rack == k.rack && w.HasLabel(k.label)
}

func newPlaceWaits() placeWaits {
	return placeWaits{
		steps: make(map[*ledger.Step]*placeWait), forecasts: make(map[rackKey]*locality.Forecast), scarce: make(map[string]bool),
	}
}

// beginRound forgets the forecasts of the last planning round, and the waits of steps that are done.
func (p *placeWaits) beginRound() {
	clear(p.forecasts)
	clear(p.scarce)
	p.searches = 0
	maps.DeleteFunc(p.steps, func(s *ledger.Step, w *placeWait) bool { return w.entry.State().Final() || s.Done() })
	for _, w := range p.steps {
		w.waiting = 0
	}
}

// mayWait reports whether a step's tasks may wait for room near their data or their group.
// Best-effort ones take what is unused, and long-running ones gain little from a better start.
func (m *Machine) mayWait(step *workload.Step) bool {
	return m.config.PlaceWait > 0 && m.config.RemoteFactor > 1 && (step.DataRack != "" || step.SameRack) &&
		!step.BestEffort && !step.LongRunning
}

// waitsForRack reports whether a task that could run on a worker rather waits for a rack, that of its
// data or of its group. The room that it waits for is then taken from the forecast. A gang needs room
// at one time, so its members don't wait one by one.
func (m *Machine) waitsForRack(ws *waitingStep, step *workload.Step, w *worker, rack string, workers []*worker) bool {
	if rack == "" || w.Rack == rack || ws.suspect || step.Gang || !m.mayWait(step) {
		return false
	}
	choice, key := m.placeChoice(ws, step, workers), rackKey{ws.entry.Policy.Service, rack, step.Label}
	if m.isRackUnknown(key) && choice.Waited < choice.Bound() {
		m.noteWaitForRack(ws, rack, 0, 1)
		return true
	}
	forecast := m.rackForecast(key, workers)
	slot, found := forecast.Next(step.Request, choice.Bound())
	if !found {
		return m.waitsWithoutRoom(ws, rack, forecast, choice)
	}
	choice.ExpectedWait = slot.After
	// Room that is free now and isn't taken is on workers that are worse than those elsewhere.
	if slot.After == 0 || !choice.Pays() {
		return false
	}
	forecast.Take(slot, step.Request, choice.Near)
	m.noteWaitForRack(ws, rack, choice.ExpectedWait, 1)
	return true
}

// waitsWithoutRoom decides about a task for which no room is expected within its bound. While room is
// scarce it waits all the same if the rack has workers for it: elsewhere it would take room from others.
func (m *Machine) waitsWithoutRoom(ws *waitingStep, rack string, forecast *locality.Forecast, choice locality.Choice) bool {
	if !choice.Scarce || forecast.Empty() || !choice.Pays() {
		return false
	}
	m.noteWaitForRack(ws, rack, choice.Limit, 1)
	return true
}

// placeChoice returns what is known of a task that could wait, but for the expected wait.
func (m *Machine) placeChoice(ws *waitingStep, step *workload.Step, workers []*worker) locality.Choice {
	near := m.expectedRunTime(ws.entry.Queue, step)
	choice := locality.Choice{
		Near: near, Away: time.Duration(m.config.RemoteFactor * float64(near)),
		Limit: m.config.PlaceWait, Scarce: m.isRoomScarce(ws.entry.Policy.Service, workers),
	}
	choice.UntilObjective, choice.UntilUseless = m.timeLeft(ws)
	if wait := m.places.steps[ws.state]; wait != nil {
		choice.Waited = m.now - wait.since
	}
	if due := ws.entry.DueAt(ws.occurrence); due.Before(m.wall.Add(m.createdAt - m.now)) {
		// It may have waited under a previous owner, for which no more is known.
		choice.Waited = m.wall.Sub(due)
	}
	return choice
}

// scarceShare is the fraction of a service's CPU below which free room is scarce.
const scarceShare = 0.1

// isRoomScarce reports whether little room is free on all workers of a service.
func (m *Machine) isRoomScarce(service string, workers []*worker) bool {
	if scarce, known := m.places.scarce[service]; known {
		return scarce
	}
	free, capacity := int64(0), int64(0)
	for _, w := range workers {
		if w.Service == service {
			free += max(0, w.free().MilliCPU)
			capacity += w.Capacity.MilliCPU
		}
	}
	m.places.scarce[service] = float64(free) < scarceShare*float64(capacity)
	return m.places.scarce[service]
}

// timeLeft returns the times within which a task of a step must end for its submission to be in time
// and to be of use. They count from the due time of the occurrence, which every owner knows.
func (m *Machine) timeLeft(ws *waitingStep) (aim, useful time.Duration) {
	x := m.expected(ws.entry)
	due := ws.entry.DueAt(ws.occurrence)
	after := x.chain[ws.stepIndex] - m.expectedRunTime(ws.entry.Queue, &ws.entry.Steps[ws.stepIndex])
	spent := m.wall.Sub(due) + after
	return x.objective - spent, lateFactor*x.objective - spent
}

// noteWaitForRack notes that tasks of a step wait for a rack, by the time that is expected.
func (m *Machine) noteWaitForRack(ws *waitingStep, rack string, expected time.Duration, tasks int) {
	wait := m.places.steps[ws.state]
	if wait == nil {
		wait = &placeWait{entry: ws.entry, since: m.now}
		m.places.steps[ws.state] = wait
	}
	if wait.waiting == 0 {
		wait.expected = 0
	}
	wait.waiting += tasks
	wait.rack, wait.expected = rack, max(expected, wait.expected)
}

// notePlaced counts tasks that are placed after tasks of their step have waited for a rack, and
// reports the wait when none waits any more.
func (m *Machine) notePlaced(ws *waitingStep, placed []*run) {
	wait := m.places.steps[ws.state]
	if wait == nil || len(placed) == 0 {
		return
	}
	for _, r := range placed {
		if r.worker.Rack == wait.rack {
			wait.near++
		} else {
			wait.away++
		}
	}
	if wait.waiting > 0 || m.missingBeforeCap(ws) > 0 {
		// The wait goes on for the other tasks, with the same bound.
		return
	}
	delete(m.places.steps, ws.state)
	reason := fmt.Sprintf("tasks waited for room on rack %s: since then %d were placed there and %d elsewhere", wait.rack, wait.near, wait.away)
	m.emit(Decision{
		Kind: PlaceAwaited, Run: workload.RunID{Task: placed[0].id.Task}, Reason: reason, Age: m.now - wait.since,
		Queue: ws.entry.Queue, NearData: wait.near, AwayFromData: wait.away,
	})
}

// describe says for what tasks of a step wait by choice, or returns "".
func (p *placeWaits) describe(s *ledger.Step) string {
	wait := p.steps[s]
	if wait == nil || wait.waiting == 0 {
		return ""
	}
	return fmt.Sprintf("%d of them for room on rack %s, expected within %v, because they take longer elsewhere; ", wait.waiting, wait.rack, wait.expected)
}

// isWaitingForRack reports whether tasks of a step waited for their rack in the planning round that
// runs or, between rounds, in the last one.
func (m *Machine) isWaitingForRack(s *ledger.Step) bool {
	wait := m.places.steps[s]
	return wait != nil && wait.waiting > 0
}

// firstReportTime is the time from the start of an epoch within which workers report for the first
// time, unless they don't answer.
const firstReportTime = 300 * time.Millisecond

// isRackUnknown reports whether a worker of a rack is still to report for the first time in this epoch.
func (m *Machine) isRackUnknown(key rackKey) bool {
	return m.now-m.createdAt < firstReportTime && slices.ContainsFunc(m.sorted, func(w *worker) bool {
		return key.has(w) && w.listed && !w.reported && !w.silent && !w.Draining && !m.evacuated[w.DataCentre]
	})
}

// rackForecast returns the forecast of the workers of a rack, as of the planning round that runs.
func (m *Machine) rackForecast(key rackKey, workers []*worker) *locality.Forecast {
	if f := m.places.forecasts[key]; f != nil {
		return f
	}
	var rooms []locality.Room
	for _, w := range workers {
		if key.has(w) {
			rooms = append(rooms, locality.Room{Free: w.free(), Releases: m.releases(w)})
		}
	}
	f := locality.NewForecast(rooms)
	m.places.forecasts[key] = f
	return f
}

// releases returns what the finite runs on a worker are expected to leave, by what the worker has
// reported of them, so that a successor expects the same.
func (m *Machine) releases(w *worker) []locality.Release {
	var out []locality.Release
	for _, r := range w.runList {
		if after, ends := m.expectedEnd(r); ends {
			out = append(out, locality.Release{After: after, Frees: reservation(r.step)})
		}
	}
	return out
}

// overdueShare is the part of its run time for which a run that outlasts it is expected to go on.
const overdueShare = 0.25

// expectedEnd returns the time after which a run is expected to have ended, or false if it goes on.
func (m *Machine) expectedEnd(r *run) (time.Duration, bool) {
	if r.phase == stopping || r.phase == ending {
		return m.config.StopTime, true
	}
	if r.step.LongRunning {
		return 0, false
	}
	whole := m.expectedRunTime(r.entry.Queue, r.step)
	if r.step.DataRack != "" && r.step.DataRack != r.worker.Rack {
		whole = time.Duration(m.config.RemoteFactor * float64(whole))
	}
	left := whole
	switch {
	case r.progressPercent > 0:
		left = whole*time.Duration(100-r.progressPercent)/100 - (m.now - r.reportedAt)
	case r.startedAt > 0:
		left = whole - (m.now - r.startedAt)
	}
	return max(left, time.Duration(overdueShare*float64(whole))), true
}
