package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/ledger/ledgerpb"
	"github.com/cactusreel/cactusreel/workload"
)

// Silence says that a worker did not answer the owner that recorded it. From the record
// until a record that the worker was heard again, no owner grants the worker a lease, so
// that no takeover can put off the time at which its tasks may be placed again.
type Silence struct {
	// Expiry is the time after which all leases of the worker have expired, from the
	// append of the record.
	Expiry time.Duration
	// NextEpoch is the first epoch that was opened after the record, or 0 if there is
	// none. The record is older than that epoch.
	NextEpoch int64
}

// Silence returns the recorded silence of a worker.
func (l *Ledger) Silence(worker workload.Incarnation) (Silence, bool) {
	s, ok := l.silences[worker]
	return s, ok
}

// SilentWorkers returns the workers with a recorded silence.
func (l *Ledger) SilentWorkers() []workload.Incarnation {
	return slices.Collect(maps.Keys(l.silences))
}

// SilentRecord returns the record of workers that do not answer, with the times after
// which all leases have expired.
func SilentRecord(expiry map[workload.Incarnation]time.Duration) *ledgerpb.Record {
	r := &ledgerpb.Silent{}
	for worker, after := range expiry {
		// Rounded up: a lease must not be taken as expired too early.
		ms := (after + time.Millisecond - 1).Milliseconds()
		r.Workers = append(r.Workers, &ledgerpb.SilentWorker{Worker: worker.Worker, Born: worker.StartMillis, LeaseExpiryMs: ms})
	}
	return &ledgerpb.Record{Silent: r}
}

// HeardRecord returns the record that ends the silence of workers. It must be in the log
// before a lease is granted to them.
func HeardRecord(workers ...workload.Incarnation) *ledgerpb.Record {
	r := &ledgerpb.Heard{}
	for _, w := range workers {
		r.Workers = append(r.Workers, &ledgerpb.SilentWorker{Worker: w.Worker, Born: w.StartMillis})
	}
	return &ledgerpb.Record{Heard: r}
}

func incarnationOf(w *ledgerpb.SilentWorker) workload.Incarnation {
	return workload.Incarnation{Worker: w.Worker, StartMillis: w.Born}
}

func (l *Ledger) applySilent(r *ledgerpb.Silent) {
	for _, w := range r.Workers {
		l.silences[incarnationOf(w)] = Silence{Expiry: time.Duration(w.LeaseExpiryMs) * time.Millisecond, NextEpoch: w.NextEpoch}
	}
}

func (l *Ledger) applyHeard(r *ledgerpb.Heard) {
	for _, w := range r.Workers {
		delete(l.silences, incarnationOf(w))
	}
}

// applyOpened makes the node of a record the owner. Recorded silences are older than an
// epoch that is opened after them.
func (l *Ledger) applyOpened(r *ledgerpb.Opened) {
	if r.Epoch < l.owner.Epoch {
		return
	}
	if r.Epoch == l.owner.Epoch {
		l.owner.Sole = l.owner.Sole || r.Sole
		return
	}
	l.owner = OwnerOf(r)
	for worker, s := range l.silences {
		if s.NextEpoch == 0 {
			s.NextEpoch = r.Epoch
			l.silences[worker] = s
		}
	}
}

// silenceMessages returns the recorded silences for a snapshot.
func (l *Ledger) silenceMessages() []*ledgerpb.SilentWorker {
	var out []*ledgerpb.SilentWorker
	for worker, s := range l.silences {
		out = append(out, &ledgerpb.SilentWorker{
			Worker: worker.Worker, Born: worker.StartMillis, LeaseExpiryMs: s.Expiry.Milliseconds(), NextEpoch: s.NextEpoch,
		})
	}
	return out
}
