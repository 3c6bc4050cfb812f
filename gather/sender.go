package gather

import "time"

const (
	// minPause and maxPause limit the time for which a node passes nothing on after the gathering
	// node has not answered. It doubles with each further failure.
	minPause = time.Second
	maxPause = 8 * time.Second
	// passShare is the share of a record's remaining time for which the gathering node's answer is
	// awaited. The rest has to suffice for an append of its own.
	passShare = 0.6
	// appendShare is the share of that time for which the gathering node tries, so that its answer
	// arrives within it.
	appendShare = 0.9
)

// Sender says to whom a node passes the records of a stream. The zero value passes nothing on.
type Sender struct {
	// address, epoch, since and until are those of the invitation of an owner.
	address      string
	epoch        int64
	since, until time.Duration
	// failed is the node that failed last, failures how often in a row. Nothing is passed on until
	// pausedUntil.
	failed      string
	failures    int
	pausedUntil time.Duration
}

// Invite records that the owner of an epoch asks for the node's records for some time; 0 ends that.
func (s *Sender) Invite(address string, epoch int64, now, valid time.Duration) {
	if epoch < s.epoch && now < s.until {
		return
	}
	if address != s.address || now >= s.until {
		s.since = now
	}
	if address != s.failed {
		// The failures of another node say nothing about this one.
		s.pausedUntil, s.failures = 0, 0
	}
	s.address, s.epoch, s.until = address, epoch, now+valid
}

// To returns the address to which records are passed on. An invitation counts until a call to the
// store that the node sent after it is answered fast: the store is slow for the owner alone then,
// or not any more. Without one, a node that finds the store slow passes its records to the owner.
func (s *Sender) To(now time.Duration, l *Latency, owner string) (string, bool) {
	switch {
	case now < s.pausedUntil:
	case s.IsInvited(now) && !l.FastSince(s.since):
		return s.address, s.address != ""
	case l.Slow(now):
		return owner, owner != ""
	}
	return "", false
}

// IsInvited reports whether an invitation has not expired.
func (s *Sender) IsInvited(now time.Duration) bool { return now < s.until }

// PassTime returns how long the gathering node's answer is awaited.
func PassTime(remaining time.Duration) time.Duration {
	return time.Duration(passShare * float64(remaining))
}

// AppendTime returns how long the gathering node tries to append records whose answer is awaited for
// a time.
func AppendTime(awaited time.Duration) time.Duration {
	return time.Duration(appendShare * float64(awaited))
}

// Failed records that a node to which records were passed on did not answer, or takes none. Calls that
// were under way together fail together, and count once. The failure of a node that another one has
// replaced counts nothing.
func (s *Sender) Failed(to string, now time.Duration) {
	if now < s.pausedUntil || s.IsInvited(now) && to != s.address {
		return
	}
	s.failed, s.pausedUntil = to, now+min(maxPause, minPause<<min(s.failures, 10))
	s.failures++
	s.until = now
}

// Succeeded records that the gathering node has answered.
func (s *Sender) Succeeded() { s.failures = 0 }
