package coordinator

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/coordinator/coordpb"
	"github.com/cactusreel/cactusreel/gather"
	"github.com/cactusreel/cactusreel/logevent"
)

// maxPassing is the maximum number of calls of a cell that pass records on. Further records
// are appended by this node.
const maxPassing = 64

// errPassDeclined means that the gathering node takes no records.
var errPassDeclined = errors.New("the gathering node takes no records")

// passRecords passes the queued records on if they are to be gathered by another node. The caller
// holds the lock.
func (w *intakeWriter) passRecords(now time.Duration) {
	if len(w.queue) == 0 || w.passing >= maxPassing {
		return
	}
	n := w.cell.node
	to, ok := n.storeLatency.passTo(&w.sender, n.owners.owner(w.cell.number).PeerAddress)
	if !ok || to == n.config.PeerAddress {
		to = ""
	}
	w.notePassing(to)
	if to == "" {
		return
	}
	var batch, rest []*intakeRecord
	size := 0
	for _, r := range w.queue {
		if r.appendHere || r.expired(now) || size > maxAppendBytes {
			rest = append(rest, r)
			continue
		}
		r.appendHere = true
		size += len(r.data) + 4
		batch = append(batch, r)
	}
	if len(batch) == 0 {
		return
	}
	w.queue = rest
	w.passing++
	go w.pass(batch, to, now)
}

// notePassing logs when the node begins and stops passing records on.
func (w *intakeWriter) notePassing(to string) {
	if to == w.passingTo {
		return
	}
	n := w.cell.node
	if to == "" {
		n.logger.Log(logevent.PassingEnded, zap.Int("cell", w.cell.number), zap.String("to", w.passingTo))
	} else {
		n.logger.Log(logevent.PassingBegan, zap.Int("cell", w.cell.number), zap.String("to", to))
	}
	w.passingTo = to
}

// pass passes records on and answers their callers. Those whose outcome is not known then, or
// which the other node did not take, return to the queue, to be appended by this node.
func (w *intakeWriter) pass(batch []*intakeRecord, to string, now time.Duration) {
	n := w.cell.node
	remaining := time.Duration(0)
	q := &coordpb.AppendRequest{Cell: int32(w.cell.number), PeerAddress: n.config.PeerAddress}
	for _, r := range batch {
		remaining = max(remaining, r.expiresAt-now)
		q.Records = append(q.Records, r.data)
	}
	limit := gather.PassTime(remaining)
	q.LimitMs = gather.AppendTime(limit).Milliseconds()
	call, cancel := context.WithTimeout(context.Background(), limit)
	answer, err := n.peers.client(to).Append(call, q)
	cancel()
	switch {
	case err == nil && answer.Declined:
		err = errPassDeclined
	case err == nil && len(answer.Outcomes) != len(batch):
		err = errors.New("answer has not as many outcomes as records")
	}
	n.metrics.countPassed(len(batch), err)
	if err != nil {
		n.logError(logevent.PassFailed, err, zap.Int("cell", w.cell.number), zap.Int("records", len(batch)), zap.String("to", to))
		w.passFailed(batch, to, err)
		// Another node may own the cell.
		n.owners.refresh(context.Background())
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passing--
	w.sender.Succeeded()
	w.requeuePassed(batch, answer.Outcomes)
	w.schedule()
}

// passFailed returns records to the queue whose call has failed.
func (w *intakeWriter) passFailed(batch []*intakeRecord, to string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.passing--
	w.sender.Failed(to, w.cell.node.monotonicNow())
	if passHadNoEffect(err) {
		w.queue = append(batch, w.queue...)
	} else {
		w.requeue(batch, true)
	}
	w.schedule()
}

// requeuePassed answers the callers of records whose outcome is known, and returns the others to
// the queue. The caller holds the lock.
func (w *intakeWriter) requeuePassed(batch []*intakeRecord, outcomes []coordpb.AppendOutcome) {
	var unknown []*intakeRecord
	for i, r := range batch {
		switch {
		case outcomes[i] == coordpb.AppendOutcome_APPEND_OUTCOME_STORED:
			r.result <- nil
		case outcomes[i] == coordpb.AppendOutcome_APPEND_OUTCOME_ID_IN_USE:
			r.result <- ErrIDInUse
		case outcomes[i] == coordpb.AppendOutcome_APPEND_OUTCOME_NOT_STORED && !r.mayBeStored:
			r.result <- ErrUnavailable
		default:
			unknown = append(unknown, r)
		}
	}
	w.requeue(unknown, true)
}

// passHadNoEffect reports whether none of the records of a failed call can be appended by the
// other node: it declined, its version lacks the call, or there was no connection.
func passHadNoEffect(err error) bool {
	var refused twirp.Error
	var dial *net.OpError
	return errors.Is(err, errPassDeclined) || errors.As(err, &refused) && refused.Code() == twirp.BadRoute ||
		errors.As(err, &dial) && dial.Op == "dial"
}

// invite records that the owner of an epoch asks for this node's records, and passes on those
// that wait.
func (w *intakeWriter) invite(address string, epoch int64, valid time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sender.Invite(address, epoch, w.cell.node.monotonicNow(), valid)
	w.schedule()
}
