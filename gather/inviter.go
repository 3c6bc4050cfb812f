package gather

import "time"

const (
	// inviteInterval is how often an owner renews its invitations.
	inviteInterval = 500 * time.Millisecond
	// InvitationTime is how long an invitation counts: an owner that has ended or is cut off
	// gathers nothing after that.
	InvitationTime = 1500 * time.Millisecond
	// senderRetention is how long a node counts as a sender after its last record.
	senderRetention = 5 * time.Minute
	maxSenders      = 1024
)

// Inviter knows the nodes that append records to a stream, and says when its owner asks for their
// records. The zero value knows none.
type Inviter struct {
	seen map[string]time.Duration
	// inviting: the senders have been invited, at invitedAt for the last time.
	inviting  bool
	invitedAt time.Duration
}

// Note records that a node has appended, or passed on, a record.
func (s *Inviter) Note(address string, now time.Duration) {
	if s.seen == nil {
		s.seen = make(map[string]time.Duration)
	}
	if _, known := s.seen[address]; address != "" && (known || len(s.seen) < maxSenders) {
		s.seen[address] = now
	}
}

// Due returns the nodes to invite now, and for how long. The time is 0 when the store is no longer
// slow.
func (s *Inviter) Due(now time.Duration, slow bool) (addresses []string, valid time.Duration) {
	switch {
	case slow && (!s.inviting || now-s.invitedAt >= inviteInterval):
		s.inviting, s.invitedAt = true, now
		valid = InvitationTime
	case !slow && s.inviting:
		s.inviting = false
	default:
		return nil, 0
	}
	for address, at := range s.seen {
		if now-at > senderRetention {
			delete(s.seen, address)
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses, valid
}

// Inviting reports whether the senders' records are asked for.
func (s *Inviter) Inviting() bool { return s.inviting }
