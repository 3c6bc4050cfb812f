package dispatchtest

import (
	"crypto/sha256"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

// Level describes the courses with up to a number of events.
type Level struct {
	// Events is the number of events that follow the first course.
	Events int
	// States and Courses are the numbers of states and courses up to this level.
	States, Courses int
}

// Explorer plays courses: sequences of events in a world.
type Explorer struct {
	steps []workload.Step
	// checks returns the checks of one world.
	checks func() Checks
	events []event
	// stopTime is how long stops take in the worlds.
	stopTime time.Duration
	// first is the course with which all others begin.
	first   []byte
	courses int
	seen    map[[sha256.Size]byte]bool
}

// NewExplorer returns an explorer of worlds with a submission of each step, each judged by
// checks of its own. All courses begin with the events of some names.
func NewExplorer(checks func() Checks, steps []workload.Step, first ...string) *Explorer {
	return newExplorer(checks, generalEvents(), steps, first)
}

// NewWitnessExplorer returns an explorer of the courses that are about witnesses.
func NewWitnessExplorer(checks func() Checks, steps []workload.Step, first ...string) *Explorer {
	return newExplorer(checks, witnessEvents(), steps, first)
}

// NewStopExplorer returns an explorer of the courses that begin with the cancellation of the first two
// submissions, whose runs take a time to stop.
func NewStopExplorer(checks func() Checks, stopTime time.Duration, steps []workload.Step, first ...string) *Explorer {
	cancel := event{firstCancelled, (*World).cancelFirst}
	x := newExplorer(checks, append([]event{cancel}, generalEvents()...), steps, append([]string{firstCancelled}, first...))
	x.stopTime = stopTime
	return x
}

func newExplorer(checks func() Checks, events []event, steps []workload.Step, first []string) *Explorer {
	x := &Explorer{steps: steps, checks: checks, events: events, seen: make(map[[sha256.Size]byte]bool)}
	for _, name := range first {
		n := slices.IndexFunc(x.events, func(ev event) bool { return ev.name == name })
		x.first = append(x.first, byte(n))
	}
	return x
}

// Explore plays all courses that go on from the first one with up to depth events, those with
// fewer events first, and none that goes on from a state which another one has reached. It
// calls done after each level, and returns the first world in which a rule is broken, or nil.
func (x *Explorer) Explore(depth int, done func(Level)) *World {
	if _, broken := x.visit(x.first); broken != nil {
		return broken
	}
	frontier := [][]byte{x.first}
	for level := range depth {
		var next [][]byte
		for _, course := range frontier {
			for n := range x.events {
				longer := append(slices.Clone(course), byte(n))
				isNew, broken := x.visit(longer)
				if broken != nil {
					return broken
				}
				if isNew {
					next = append(next, longer)
				}
			}
		}
		done(Level{Events: level + 1, States: len(x.seen), Courses: x.courses})
		frontier = next
	}
	return nil
}

// visit plays a course. It reports whether the course reaches a new state, and returns its
// world if a rule is broken.
func (x *Explorer) visit(course []byte) (isNew bool, broken *World) {
	c := x.play(course)
	if c == nil {
		return false, nil
	}
	x.courses++
	if c.Problem == "" {
		state := sha256.Sum256([]byte(c.fingerprint()))
		if x.seen[state] {
			return false, nil
		}
		x.seen[state] = true
		c.endFaults()
		c.checks.FaultsEnded(c)
	}
	if c.Problem != "" {
		return false, c
	}
	return true, nil
}

// play plays a course from the beginning, because a machine can't be copied. It returns nil if
// an event of the course is not possible.
func (x *Explorer) play(course []byte) *World {
	c := newWorld(x.checks(), x.stopTime, x.steps)
	for _, n := range course {
		c.note("%s", x.events[n].name)
		if !x.events[n].do(c) {
			return nil
		}
		if c.Run(stepTime); c.Problem != "" {
			break
		}
	}
	return c
}
