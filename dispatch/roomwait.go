package dispatch

import (
	"fmt"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// holder is what holds room on a worker between the last run there and the next one.
type holder int

// Holders of room, in the order in which they follow one another.
const (
	// heldByStop: a stop of the last run has been sent and has no answer.
	heldByStop holder = iota
	// heldByEnd: the stop has been answered, and no report has listed the run's end.
	heldByEnd
	// heldByPlan: the end is known, and no task has been given the room.
	heldByPlan
	// heldByRecord: the placement of the next run is being recorded.
	heldByRecord
	// heldByStart: the start of the next run has been sent and is not confirmed.
	heldByStart
	// heldByRepeat: a command for one of the runs had no answer and is repeated.
	heldByRepeat
	// heldByClaim: the room is kept for a task that moves or for which runs are stopped.
	heldByClaim
	holderCount
)

// String returns the holder's name in logs and metrics.
func (h holder) String() string {
	return [...]string{"stop", "end to be listed", "placement", "record", "start", "repeated command", "claim"}[h]
}

// vacancy is room that a run has left on its worker.
type vacancy struct {
	// stopAt and stopAnsweredAt are when the run's last stop was sent and answered, or 0.
	// repeated: a stop had no answer.
	stopAt, stopAnsweredAt time.Duration
	repeated               bool
	// at is when the end was learned.
	at time.Duration
}

// filling is the room that a run takes and that its task has waited for.
type filling struct {
	// since is when the room began to be on its way from the last run to this one.
	since time.Duration
	waits holdTimes
	// holder has held the room from changedAt on.
	holder    holder
	changedAt time.Duration
}

// holdTimes are the times for which room was held, by the holder.
type holdTimes [holderCount]time.Duration

// String lists the times of a millisecond or more.
func (t holdTimes) String() string {
	var parts []string
	for h, d := range t {
		if d = d.Round(time.Millisecond); d > 0 {
			parts = append(parts, fmt.Sprintf("%v %v", holder(h), d))
		}
	}
	return strings.Join(parts, ", ")
}

// hold notes that another holder holds the room from now on.
func (f *filling) hold(now time.Duration, next holder) {
	f.waits[f.holder] += now - f.changedAt
	f.holder, f.changedAt = next, now
}

// vacated returns the room that a run has left.
func (r *run) vacated(now time.Duration) vacancy {
	v := vacancy{at: now, repeated: r.unansweredStop}
	if r.phase == stopping {
		v.stopAt, v.stopAnsweredAt = r.stopSentAt, r.confirmedAt
	}
	return v
}

// fillRoom begins to measure how long the room that a long-running run takes has been on its way
// to it, if its task has waited since before the room became free. last has held it since the end of
// the last run there was learned, next holds it from now on.
func (m *Machine) fillRoom(r *run, last, next holder) {
	v, since := r.worker.vacancy, m.waitingFrom(r)
	if !r.step.LongRunning || v.at == 0 || since >= v.at {
		return
	}
	f := &filling{since: v.at, holder: last, changedAt: v.at}
	if v.stopAt > 0 {
		f.since = max(since, v.stopAt)
		answered := max(f.since, v.stopAnsweredAt)
		f.waits[heldByEnd] = v.at - answered
		if v.repeated {
			f.waits[heldByRepeat] = answered - f.since
		} else {
			f.waits[heldByStop] = answered - f.since
		}
	}
	f.hold(m.now, next)
	r.filling = f
}

// waitingFrom returns since when the task of a new long-running run has waited, exactly if it has
// had a run in this epoch.
func (m *Machine) waitingFrom(r *run) time.Duration {
	if o := m.interruptions[r.id.Task]; o != nil {
		return o.since
	}
	return m.now - max(0, m.wall.Sub(r.entry.DueAt(r.id.Task.Occurrence)))
}

// endFilling reports for how long the room of a run that is confirmed was held, by what.
func (m *Machine) endFilling(r *run) {
	f := r.filling
	if f == nil {
		return
	}
	r.filling = nil
	f.hold(m.now, heldByStart)
	waits := make(map[string]time.Duration)
	m.roomChanges.filled++
	if took := m.now - f.since; took > m.roomChanges.filledIn {
		m.roomChanges.filledIn = took
		m.roomChanges.longest = fmt.Sprintf("%s on %s, %s", r.id.Task.Name(), r.worker.ID(), f.waits)
	}
	for h, d := range f.waits {
		if d > 0 {
			waits[holder(h).String()] = d
			m.roomChanges.held[h] += d
		}
	}
	m.emit(Decision{Kind: RoomFilled, Run: r.id, Worker: r.worker.ID(), Age: m.now - f.since, Waits: waits})
}

// heldRoom is the room on a worker that is reserved although no run uses it, by what holds it.
type heldRoom [holderCount]hostapi.Resources

// heldRoom returns the room of the runs that the worker does not list as active, and of claims.
func (w *worker) heldRoom() heldRoom {
	var out heldRoom
	for _, r := range w.runList {
		if r.phase != running {
			h := r.holds()
			out[h] = out[h].Add(reservation(r.step))
		}
	}
	out[heldByClaim] = w.claimed
	return out
}

// holds returns what holds the room of a run that its worker does not list as active.
func (r *run) holds() holder {
	switch {
	case r.ahead:
		// The runs that are being stopped hold the room.
		return heldByEnd
	case r.unanswered:
		return heldByRepeat
	case r.phase == recording:
		return heldByRecord
	case r.phase == starting:
		return heldByStart
	case r.commandInFlight:
		return heldByStop
	}
	return heldByEnd
}

// heldCounts counts workers that could take a task if nothing but active runs held room.
type heldCounts struct {
	all int
	// by counts the workers on which each holder holds some of the room.
	by [holderCount]int
}

// add counts a worker with free room on which a request does not fit.
func (c *heldCounts) add(w *worker, free, request hostapi.Resources) {
	held := w.heldRoom()
	for _, room := range held {
		free = free.Add(room)
	}
	if !request.Fits(free) {
		return
	}
	c.all++
	for h, room := range held {
		if room != (hostapi.Resources{}) {
			c.by[h]++
		}
	}
}

// String lists the counts of each holder that holds any room.
func (c heldCounts) String() string {
	var parts []string
	for h, n := range c.by {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", holder(h), n))
		}
	}
	if len(parts) == 0 {
		return fmt.Sprint(c.all)
	}
	return fmt.Sprintf("%d (%s)", c.all, strings.Join(parts, ", "))
}

// describeFilled says how much room that tasks waited for was filled, and what held it on average.
func (c *roomChanges) describeFilled() string {
	if c.filled == 0 {
		return "no room was filled that had been awaited"
	}
	var means holdTimes
	for h, d := range c.held {
		means[h] = d / time.Duration(c.filled)
	}
	return fmt.Sprintf("%d pieces of room that were awaited were filled in up to %v (%s; on average %s)",
		c.filled, c.filledIn.Round(time.Millisecond), c.longest, means)
}
