package workload

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Fingerprint is a digest of what a caller sent as a submission, beside its id, its queue and its
// key. Two submissions with one fingerprint are the same. 0 stands for none.
type Fingerprint uint64

// Fingerprint returns the digest of what the caller sent. The policy is not part of it: a later
// version of the manifest may give a repeat another one.
func (s *Submission) Fingerprint() Fingerprint {
	var w digestWriter
	w.text(1, s.Spec)
	w.number(2, int64(s.Occurrences))
	if !s.StartAt.IsZero() {
		w.number(3, s.StartAt.UnixMilli())
	}
	w.duration(4, s.Interval)
	for i := range s.Steps {
		w.step(5, &s.Steps[i])
	}
	sum := sha256.Sum256(w.data)
	return max(1, Fingerprint(binary.BigEndian.Uint64(sum[:])))
}

// digestWriter encodes fields as a number and a value. It leaves out zero values, so that a field
// that a later version adds changes no fingerprint of a submission without it.
type digestWriter struct{ data []byte }

func (w *digestWriter) field(number int) { w.data = binary.AppendUvarint(w.data, uint64(number)) }

func (w *digestWriter) number(number int, value int64) {
	if value != 0 {
		w.field(number)
		w.data = binary.AppendVarint(w.data, value)
	}
}

func (w *digestWriter) duration(number int, value time.Duration) { w.number(number, int64(value)) }

func (w *digestWriter) flag(number int, value bool) {
	if value {
		w.number(number, 1)
	}
}

func (w *digestWriter) text(number int, value string) {
	if value != "" {
		w.field(number)
		w.data = binary.AppendUvarint(w.data, uint64(len(value)))
		w.data = append(w.data, value...)
	}
}

// step writes the fields of a step, and field 0 after them.
func (w *digestWriter) step(number int, s *Step) {
	w.field(number)
	w.number(1, int64(s.Tasks))
	w.number(2, s.Request.MilliCPU)
	w.number(3, s.Request.MemoryMiB)
	w.number(4, s.Request.Accelerators)
	w.duration(5, s.Estimate)
	w.number(6, int64(len(s.After)))
	for _, step := range s.After {
		w.data = binary.AppendVarint(w.data, int64(step))
	}
	w.flag(7, s.Checkpoints)
	w.flag(8, s.Gang)
	w.flag(9, s.SameRack)
	w.text(10, s.Label)
	w.text(11, s.DataRack)
	w.number(12, int64(s.MaxPerWorker))
	w.flag(13, s.Speculative)
	w.flag(14, s.LongRunning)
	w.text(15, s.Image)
	w.duration(16, s.LatencyTarget)
	w.flag(17, s.BestEffort)
	w.number(18, int64(s.MaxUnavailable))
	w.field(0)
}
