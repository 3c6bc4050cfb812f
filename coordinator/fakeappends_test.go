package coordinator_test

import "github.com/cactusreel/cactusreel/coordinator"

// maxRepeatedAppends is the number of an epoch's newest appends whose repeats get the first answer.
const maxRepeatedAppends = 5

// fencedAppend is an append of an epoch that took effect.
type fencedAppend struct {
	sequence int64
	// end is the offset after its records.
	end int64
}

// fencedAppends are the newest appends of the highest epoch of a stream.
type fencedAppends struct {
	epoch  int64
	newest []fencedAppend
}

// check answers an append to a stream with the given end as the platform's store does: a repeat
// gets its first answer although the stream no longer ends at the expected offset. executes
// reports whether the append is to be executed.
func (a *fencedAppends) check(f *coordinator.Fence, end int64) (answer int64, executes bool, err error) {
	if f.Epoch < a.epoch {
		return 0, false, coordinator.ErrFenced
	}
	if f.Epoch == a.epoch {
		for _, earlier := range a.newest {
			if earlier.sequence == f.Sequence {
				return earlier.end, false, nil
			}
		}
	}
	if f.ExpectedEnd >= 0 && f.ExpectedEnd != end {
		return 0, false, coordinator.ErrOffsetMismatch
	}
	if n := len(a.newest); f.Epoch == a.epoch && n > 0 && f.Sequence != a.newest[n-1].sequence+1 {
		return 0, false, coordinator.ErrOutOfSequence
	}
	return 0, true, nil
}

// note records an append that took effect.
func (a *fencedAppends) note(f *coordinator.Fence, end int64) {
	if f.Epoch > a.epoch {
		a.epoch, a.newest = f.Epoch, nil
	}
	a.newest = append(a.newest, fencedAppend{f.Sequence, end})
	a.newest = a.newest[max(0, len(a.newest)-maxRepeatedAppends):]
}
