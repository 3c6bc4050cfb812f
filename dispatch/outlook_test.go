package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/workload"
)

// shortageDelay is how old the outlook is by which a node decides.
const shortageDelay = time.Second

// shortage is a burst of batches beside workers that long-running tasks fill, with nodes that decide by
// the outlook if they are told it.
type shortage struct {
	*loadSim
	told     bool
	outlook  *admission.Outlook
	draws    *rand.Rand
	accepted []*workload.Submission
	// rejected are those that were rejected, rejectedAt when.
	rejected   []*workload.Submission
	rejectedAt []time.Duration
}

func newShortage(seed uint64, told bool) *shortage {
	s := &shortage{loadSim: newLoadSim(seed, 60), told: told, draws: rand.New(rand.NewPCG(seed, 9))}
	s.onOutlook = func(o *admission.Outlook) { s.after(shortageDelay, func() { s.outlook = o }) }
	s.run(2 * time.Second)
	for requested := int64(0); requested < s.totalCPU()*19/20; {
		one := s.officeSync()
		requested += int64(one.Steps[0].Tasks) * one.Steps[0].Request.MilliCPU
		s.submit(one)
	}
	s.run(5 * time.Second)
	return s
}

// play lets batches arrive for a time. What is rejected doesn't come back.
func (s *shortage) play(perSecond float64, d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.run(time.Duration(s.draws.ExpFloat64() / perSecond * float64(time.Second)))
		one := s.timingCheck()
		age := shortageDelay
		if s.told && !s.decide(one, age).Admitted() {
			s.rejected, s.rejectedAt = append(s.rejected, one), append(s.rejectedAt, s.now)
			continue
		}
		s.accepted = append(s.accepted, one)
		s.submit(one)
	}
}

func (s *shortage) decide(one *workload.Submission, age time.Duration) *admission.Verdict {
	v := admission.Decide(s.outlook, age, admission.Attempt{Submission: one, Draw: s.draws.Float64(), Trickle: s.draws.Float64()})
	return &v
}

// results returns how many of the accepted submissions were served and never started.
func (s *shortage) results() (served, neverStarted int) {
	for _, one := range s.accepted {
		if s.startedLate[one.ID] || !s.startedInTime[one.ID] {
			neverStarted++
		}
	}
	for _, x := range s.lateness["timing-check"] {
		if x <= 3 {
			served++
		}
	}
	return served, neverStarted
}

// Guards against submissions that are accepted beside full workers and never started: their callers wait
// past every use. As many must be served as without rejections.
func TestShortageIsTold(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var served, never [2]int
	for seed := range uint64(3) {
		for i, told := range []bool{false, true} {
			s := newShortage(seed, told)
			s.play(16, 25*time.Second)
			rejected := len(s.rejected)
			s.run(8 * time.Second)
			a, b := s.results()
			served[i], never[i] = served[i]+a, never[i]+b
			t.Logf("seed %d, told %v: %d accepted, %d rejected, %d served, %d never started in time", seed, told, len(s.accepted), rejected, a, b)
			if told {
				is.True(rejected > 0)
			} else {
				is.Equal(rejected, 0)
			}
		}
	}
	is.True(never[0] > 10*3)
	is.True(never[1] <= never[0]/10)
	is.True(served[1] >= served[0])
}

// Guards against an outlook that goes on rejecting after the load, or rejects at rest.
func TestOutlookOpensAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newShortage(1, true)
	is.True(s.outlook.Empty())
	s.play(16, 20*time.Second)
	is.True(!s.outlook.Empty())
	s.run(15 * time.Second)
	s.play(0.5, 15*time.Second)
	before := len(s.rejected)
	s.play(0.5, 20*time.Second)
	is.Equal(len(s.rejected), before)
}

// Guards against rejections because of waits for a log that doesn't answer.
func TestNothingIsRejectedWhileTheLogStalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newShortage(1, true)
	s.logStalled = true
	s.play(16, 8*time.Second)
	is.True(s.outlook.Empty())
	is.Equal(len(s.rejected), 0)
}
