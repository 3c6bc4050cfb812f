package dispatch_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch/dispatchtest"
	"github.com/cactusreel/cactusreel/workload"
)

var gangDepth = flag.Int("gang.depth", 2, "number of events in the courses of a gang with checkpoints")

// gangCourseTime is the time that passes after an event, gangSettleTime that in which the gang is at
// work again once the faults have ended.
const (
	gangCourseTime = 200 * time.Millisecond
	gangSettleTime = 20 * time.Second
)

// Guards against members of one run of a gang that resume from different checkpoints, because one of
// them was lost with its worker and the others ended.
func TestMembersOfAGangResumeFromOneCheckpoint(t *testing.T) {
	is := is.New(t)
	c := newGangWorld()
	is.True(c.isWhole())
	for i := range gangMembers {
		c.progress(i)
	}
	c.run(gangCourseTime)
	w, lost := c.member(0)
	older := lost.Checkpoint
	for i := range gangMembers {
		c.progress(i)
	}
	w.Reboot(c.now)
	c.run(gangSettleTime)
	is.True(c.isWhole())
	_, r := c.member(0)
	is.True(r.ID.Run > lost.ID.Run)
	is.Equal(c.carriesWrong(), "")
	is.True(!c.carried[r.ID.Run][checkpointNumber(older)]) // the others have made newer ones
}

// Guards against a gang that loses work because the checkpoint of a lost member, from which its run
// resumed, was known to the owner of that time only.
func TestCheckpointOfAGangOutlastsItsOwner(t *testing.T) {
	is := is.New(t)
	c := newGangWorld()
	c.progress(1)
	c.run(gangCourseTime)
	w, lost := c.member(1)
	w.Reboot(c.now)
	for c.carried[lost.ID.Run+1] == nil {
		c.run(time.Millisecond)
	}
	for _, w := range c.workers {
		w.Reboot(c.now)
	}
	c.takeOver(false)
	c.run(gangSettleTime)
	is.True(c.isWhole())
	is.True(len(c.carried) > 2)
	is.Equal(c.carriesWrong(), "")
}

// gangEvent is something that happens to the gang. It reports whether it can happen.
type gangEvent struct {
	name string
	// member is the number of the member that it is about, or -1.
	member int
	do     func(c *gangWorld) bool
}

func gangEvents() []gangEvent {
	all := []gangEvent{
		{"time passes", -1, func(c *gangWorld) bool { c.run(5 * time.Second); return true }},
		{"takeover", -1, func(c *gangWorld) bool { c.takeOver(false); return true }},
		{"takeover from a snapshot", -1, func(c *gangWorld) bool { c.takeOver(true); return true }},
	}
	for n := range gangMembers {
		all = append(all,
			gangEvent{fmt.Sprintf("takeover after %d of the next starts", n), -1, func(c *gangWorld) bool {
				c.startsLeft = n
				return true
			}},
			gangEvent{fmt.Sprintf("takeover after %d of the next placements are recorded", n), -1, func(c *gangWorld) bool {
				c.recordsLeft = n
				return true
			}},
		)
	}
	for i := range gangMembers {
		add := func(name string, do func(c *gangWorld, w *gangWorker, r *dispatchtest.Run)) {
			all = append(all, gangEvent{fmt.Sprintf("member %d %s", i, name), i, func(c *gangWorld) bool {
				w, r := c.member(i)
				if w != nil {
					do(c, w, r)
				}
				return w != nil
			}})
		}
		add("makes a checkpoint", func(c *gangWorld, _ *gangWorker, _ *dispatchtest.Run) { c.progress(i) })
		add("makes a checkpoint, and its worker restarts before it is reported", func(c *gangWorld, w *gangWorker, _ *dispatchtest.Run) {
			c.progress(i)
			w.Reboot(c.now)
		})
		add("is lost: its worker restarts", func(c *gangWorld, w *gangWorker, _ *dispatchtest.Run) { w.Reboot(c.now) })
		add("is on a worker that is silent, or not any more", func(_ *gangWorld, w *gangWorker, _ *dispatchtest.Run) { w.silent = !w.silent })
		add("is on a worker whose answers are lost, or not any more", func(_ *gangWorld, w *gangWorker, _ *dispatchtest.Run) { w.mute = !w.mute })
		add("ends broken", func(_ *gangWorld, w *gangWorker, r *dispatchtest.Run) { w.End(r, workload.MemberEnded) })
		add("fails", func(_ *gangWorld, w *gangWorker, r *dispatchtest.Run) { w.End(r, workload.Errored) })
		add("is gone without an end", func(_ *gangWorld, w *gangWorker, r *dispatchtest.Run) { delete(w.Runs, r.ID) })
	}
	return all
}

// play plays a course, ends the faults and returns what is wrong, or "".
func (c *gangWorld) play(course []gangEvent) (problem string, possible bool) {
	for _, ev := range course {
		c.note("%s", ev.name)
		if !ev.do(c) {
			return "", false
		}
		c.run(gangCourseTime)
	}
	c.startsLeft, c.recordsLeft = -1, -1
	for _, w := range c.workers {
		w.silent, w.mute = false, false
	}
	c.note("the faults end")
	c.run(time.Second)
	for ended := c.now; !c.isWhole(); c.run(gangCourseTime) {
		if c.now-ended > gangSettleTime {
			return "the gang is not at work", true
		}
	}
	return c.carriesWrong(), true
}

// Guards against a run of a gang whose members start from different checkpoints, or from older ones
// than the run before, on any course of crashes and silences of their workers, lost answers and ends,
// and takeovers between two records or two starts. All members are alike, so a course names a member only after the one before it.
func TestCoursesOfAGangWithCheckpoints(t *testing.T) {
	t.Parallel()
	for name, first := range map[string][]gangEvent{
		"no checkpoint": nil,
		"one member has a checkpoint": {
			{"member 0 makes a checkpoint", 0, func(c *gangWorld) bool { return c.progress(0) }},
		},
		"all members have their own": {
			{"all members make checkpoints", 0, func(c *gangWorld) bool { return c.progress(0) && c.progress(1) && c.progress(2) }},
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := &gangExplorer{t: t, events: gangEvents()}
			x.explore(first, *gangDepth, len(first))
			t.Logf("%d courses of up to %d events", x.courses, *gangDepth)
		})
	}
}

// gangExplorer plays courses of a gang.
type gangExplorer struct {
	t       *testing.T
	events  []gangEvent
	courses int
}

// explore plays a course and all that go on from it with up to depth events. members is the number of
// members that the course names.
func (x *gangExplorer) explore(course []gangEvent, depth, members int) {
	c := newGangWorld()
	problem, possible := c.play(course)
	if !possible {
		return
	}
	x.courses++
	if problem != "" {
		x.t.Fatalf("%s\n%s", problem, strings.Join(c.trace, "\n"))
	}
	for _, ev := range x.events {
		if depth > 0 && ev.member <= members {
			x.explore(append(course[:len(course):len(course)], ev), depth-1, max(members, ev.member+1))
		}
	}
}
