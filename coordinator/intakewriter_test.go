package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
)

// Guards against a slow store that answers no submission in time: a hundred arrive
// within two seconds at two nodes, and the intake takes 100 ms for each append. With
// an append for each submission, most callers get no answer.
func TestSlowIntakeAcceptsAllSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		nodes := []*coordinator.Node{h.startNode("a", nil), h.startNode("b", nil)}
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.intakeTime = 100 * time.Millisecond })
		results := make(chan error, 100)
		for i := range 100 {
			go func() { results <- nodes[i%2].Submit(timeoutContext(3*time.Second), submission(fmt.Sprint(i))) }()
			time.Sleep(20 * time.Millisecond)
		}
		for range 100 {
			is.NoErr(<-results)
		}
	})
}

// Guards against a caller that spends its whole time at a node that the store
// rejects, and against such a rejection for a submission that may be stored.
func TestRejectedSubmissionIsAnsweredEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.appendErr = coordinator.ErrNoEffect })
		began := time.Now()
		err := a.Submit(timeoutContext(3*time.Second), submission("rejected"))
		is.True(errors.Is(err, coordinator.ErrUnavailable))
		is.True(time.Since(began) < time.Second)
		h.log.update(func() { h.log.appendErr, h.log.appliesBeforeErr = errors.New("no answer"), true })
		err = a.Submit(timeoutContext(3*time.Second), submission("stored"))
		is.True(errors.Is(err, coordinator.ErrOutcomeUnknown))
	})
}

// Guards against a caller whose time runs out while its submission is being stored, and who
// is told that it has not run.
func TestSubmissionOfACallerWhoLeavesHasAnUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.intakeTime = 500 * time.Millisecond })
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(200*time.Millisecond, cancel)
		is.True(errors.Is(a.Submit(ctx, submission("s")), coordinator.ErrOutcomeUnknown))
		// It is stored all the same.
		time.Sleep(2 * time.Second)
		_, err := a.State(timeoutContext(time.Second), "s")
		is.NoErr(err)
	})
}
