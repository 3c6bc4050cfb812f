package coordinator_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
	"github.com/cactusreel/cactusreel/ledger"
	"github.com/cactusreel/cactusreel/workload"
)

// carryOutLate carries out the append of a submission that has been waiting in the log's
// network.
func (h *harness) carryOutLate(is *is.I, s *workload.Submission) {
	data, err := ledger.Encode(ledger.SubmittedRecord(s))
	is.NoErr(err)
	_, err = h.log.Append(context.Background(), coordinator.Stream{Topic: "intake"}, [][]byte{data}, nil)
	is.NoErr(err)
}

// Guards against a task that is started although its submission was cancelled: the append
// of the submission is carried out after the cancellation found no submission.
func TestCancelBeforeALateSubmission(t *testing.T) {
	for name, takeOver := range map[string]func(*harness){
		"same owner": func(*harness) {},
		"takeover": func(h *harness) {
			h.startNode("b", nil)
			h.group.assignTo("b")
			time.Sleep(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness()
				defer h.close()
				h.group.assignTo("a")
				a := h.startNode("a", nil)
				time.Sleep(2 * time.Second)
				late := submission("s")
				is.True(errors.Is(a.Cancel(timeoutContext(2*time.Second), "s"), coordinator.ErrNoSubmission))
				_, err := a.State(timeoutContext(time.Second), "s")
				is.True(errors.Is(err, coordinator.ErrNoSubmission))
				takeOver(h)
				h.carryOutLate(is, late)
				time.Sleep(5 * time.Second)
				is.Equal(h.worker.startedTasks(), 0)
				state, err := a.State(timeoutContext(time.Second), "s")
				is.NoErr(err)
				is.Equal(state, workload.Cancelled)
			})
		})
	}
}

// Guards against "no such submission" in answer to a cancellation that is not in the log:
// the submission may still arrive, and would run.
func TestCancelOfAnUnknownSubmissionIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness()
		defer h.close()
		h.group.assignTo("a")
		a := h.startNode("a", nil)
		time.Sleep(2 * time.Second)
		h.log.update(func() { h.log.rejectCancellations = true })
		err := a.Cancel(timeoutContext(2*time.Second), "s")
		is.True(errors.Is(err, coordinator.ErrUnavailable))
	})
}
