package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/workload"
)

func submission(cores int64) *workload.Submission {
	return &workload.Submission{Queue: "q", Policy: workload.Policy{Service: "s"}, Steps: []workload.Step{
		{Tasks: 4, Estimate: time.Second, Request: hostapi.Resources{MilliCPU: 1000 * cores}},
	}}
}

// fullOutlook rejects most submissions of a queue; a worker has 3 cores free.
func fullOutlook() *admission.Outlook {
	room := admission.NewRoom()
	room.Add(hostapi.Resources{MilliCPU: 3000})
	q := &admission.QueueOutlook{Sizing: admission.Sizing{Scale: 1, Slope: 1}}
	q.Sizes[admission.Other] = admission.SizeOutlook{Rejecting: true, Share: 0.1, Drain: 3 * time.Second}
	return &admission.Outlook{Queues: map[string]*admission.QueueOutlook{"q": q}, Rooms: map[string]admission.Room{"s": room}}
}

// Guards against a rejection of a submission that could be served, or that must not be rejected.
func TestWhatIsNeverRejected(t *testing.T) {
	full := func(change func(*admission.Outlook)) *admission.Outlook {
		o := fullOutlook()
		change(o)
		return o
	}
	changed := func(change func(*workload.Submission)) *workload.Submission {
		s := submission(8)
		change(s)
		return s
	}
	first := func(change func(*workload.Step)) *workload.Submission {
		return changed(func(s *workload.Submission) { change(&s.Steps[0]) })
	}
	for _, c := range []struct {
		outlook *admission.Outlook
		age     time.Duration
		s       *workload.Submission
		want    admission.Reason
	}{
		{fullOutlook(), time.Second, submission(8), admission.Rejected},
		{nil, 0, submission(8), admission.NoView},
		{fullOutlook(), admission.MaxAge + 1, submission(8), admission.OldView},
		{fullOutlook(), -1, submission(8), admission.OldView},
		{fullOutlook(), 0, submission(2), admission.RoomFree},
		{fullOutlook(), 0, changed(func(s *workload.Submission) { s.Queue = "other" }), admission.Open},
		{fullOutlook(), 0, changed(func(s *workload.Submission) { s.Occurrences = 1 }), admission.NotSubject},
		{fullOutlook(), 0, first(func(s *workload.Step) { s.LongRunning = true }), admission.NotSubject},
		{fullOutlook(), 0, first(func(s *workload.Step) { s.BestEffort = true }), admission.NotSubject},
		{full(func(o *admission.Outlook) { o.Queues["q"].Sizes[admission.Other].Rejecting = false }), 0, submission(8), admission.Open},
		{full(func(o *admission.Outlook) { delete(o.Rooms, "s") }), 0, submission(8), admission.NoView},
	} {
		v := admission.Decide(c.outlook, c.age, admission.Attempt{Submission: c.s, Draw: 0.5, Trickle: 1})
		is.New(t).Equal(v.Reason.String(), c.want.String())
	}
}

// Guards against callers that are rejected without end, and against a Retry-After that isn't in whole
// seconds, is the same for all callers or grows with their rejections.
func TestRejectedCallersComeBack(t *testing.T) {
	is := is.New(t)
	decide := func(earlier int, draw, spread float64) admission.Verdict {
		return admission.Decide(fullOutlook(), 0, admission.Attempt{Submission: submission(8), Earlier: earlier, Draw: draw, Trickle: 1, Spread: spread})
	}
	is.Equal(decide(0, 0.09, 0).Reason, admission.InShare)
	is.Equal(decide(0, 0.15, 0).RetryAfter, time.Second)
	is.Equal(decide(0, 0.15, 0.9).RetryAfter, 6*time.Second)
	is.Equal(decide(1, 0.25, 0.9).RetryAfter, 3*time.Second)
	is.Equal(decide(1, 0.15, 0).Reason, admission.InShare)
	is.Equal(decide(4, 0.999, 0).Reason, admission.InShare)
}

// queueModel is a queue of which the workers start a number of submissions a second, the newest
// first, within 5 s, and the nodes know what was measured a second ago.
type queueModel struct {
	measure                 *admission.Measure
	now                     time.Duration
	waiting                 []time.Duration
	class                   admission.Class
	known, next             *admission.Outlook
	accepted, started, late int
	rejected                int
	credit                  float64
}

const usefulTime = 5 * time.Second

// run plays arrivals and starts at rates a second.
func (q *queueModel) run(d time.Duration, arrivals, starts float64, steady bool) {
	random := rand.New(rand.NewPCG(1, uint64(d)))
	for end := q.now + d; q.now < end; q.now += admission.Interval {
		for range int(arrivals * admission.Interval.Seconds()) {
			q.arrive(random.Float64())
		}
		for q.credit += starts * admission.Interval.Seconds(); q.credit >= 1; q.credit-- {
			if n := len(q.waiting); n > 0 {
				q.waiting = q.waiting[:n-1]
				q.started++
				q.measure.Count(q.class, admission.Started)
			}
		}
		for len(q.waiting) > 0 && q.now-q.waiting[0] > usefulTime {
			q.waiting = q.waiting[1:]
			q.late++
			q.measure.Count(q.class, admission.Late)
		}
		n := len(q.waiting)
		q.measure.Observe(q.now, map[admission.Class]admission.Waiting{q.class: {Count: n, Useful: time.Duration(n) * usefulTime}}, steady)
		if _, due := q.measure.Update(q.now); due {
			q.known, q.next = q.next, &admission.Outlook{Queues: q.measure.Queues(), Rooms: map[string]admission.Room{"s": admission.NewRoom()}}
		}
	}
}

func (q *queueModel) arrive(draw float64) {
	v := admission.Decide(q.known, time.Second, admission.Attempt{Submission: submission(8), Draw: draw, Trickle: 1})
	if !v.Admitted() {
		q.rejected++
		return
	}
	q.accepted++
	q.waiting = append(q.waiting, q.now)
	q.measure.Count(q.class, admission.Accepted)
}

func newQueueModel() *queueModel {
	return &queueModel{measure: admission.NewMeasure(0), class: admission.Class{Queue: "q"}}
}

// Guards against submissions that are accepted in a burst beside full workers and never started,
// against fewer starts than without rejections, and against rejections that outlast the burst.
func TestBurstBesideFullWorkers(t *testing.T) {
	is := is.New(t)
	q := newQueueModel()
	q.run(5*time.Second, 4, 8, true)
	is.Equal(q.rejected, 0)
	q.run(40*time.Second, 40, 4, true)
	t.Logf("%d accepted, %d started, %d late, %d rejected", q.accepted, q.started, q.late, q.rejected)
	// Without rejections 1,400 of them become too late.
	is.True(q.late < 300)
	is.True(q.started >= 20+40*4-4)
	rejected := q.rejected
	q.run(2*usefulTime, 4, 8, true)
	q.run(10*time.Second, 4, 8, true)
	before := q.rejected
	q.run(10*time.Second, 4, 8, true)
	t.Logf("%d rejected after the burst", q.rejected-rejected)
	is.Equal(q.rejected, before)
	is.Equal(len(q.measure.Queues()), 0)
}

// Guards against rejections after a takeover or an outage, when much waits for another reason than
// room.
func TestNothingIsRejectedWhileStartsAreImpossible(t *testing.T) {
	is := is.New(t)
	q := newQueueModel()
	q.run(10*time.Second, 40, 0, false)
	is.Equal(q.rejected, 0)
	q.run(time.Second, 0, 400, true)
	q.run(5*time.Second, 4, 8, true)
	is.Equal(q.rejected, 0)
}

// Guards against a shortage in which only large submissions are rejected.
func TestLargeSubmissionsKeepAShare(t *testing.T) {
	is := is.New(t)
	m := admission.NewMeasure(0)
	largest := admission.Class{Queue: "q", Size: admission.Largest}
	for now := admission.Interval; now < 20*time.Second; now += admission.Interval {
		for range 9 {
			m.Count(admission.Class{Queue: "q"}, admission.Accepted)
			m.Count(admission.Class{Queue: "q"}, admission.Started)
		}
		m.Count(largest, admission.Accepted)
		m.Observe(now, map[admission.Class]admission.Waiting{largest: {Count: 30, Useful: 30 * usefulTime}}, true)
		m.Update(now)
	}
	sizes := m.Queues()["q"].Sizes
	is.True(sizes[admission.Largest].Rejecting)
	is.True(!sizes[admission.Other].Rejecting)
	// By itself it would be 0.05: nothing of this size is started.
	is.True(sizes[admission.Largest].Share > 0.15)
}
