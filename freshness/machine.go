package freshness

import "time"

// Config holds the settings of a Machine.
type Config struct {
	// Bound is the maximum age of the configuration at which tasks may start.
	Bound time.Duration
	// Drift is the maximum difference in rate between two monotonic clocks; 0.01
	// is 1%.
	Drift float64
	// AskEvery is the interval between requests to peers while direct reads are
	// old, and between repeated fetches of the same head.
	AskEvery time.Duration
}

// DefaultConfig returns the settings of design section 3.
func DefaultConfig() Config {
	return Config{Bound: 2 * time.Second, Drift: 0.01, AskEvery: 250 * time.Millisecond}
}

// maxPendingHeads limits the observed heads that have not yet been applied. Beyond
// it the oldest is dropped, which can only shorten the start authority.
const maxPendingHeads = 64

// Machine tracks the age of a node's configuration. It is not safe for
// concurrent use.
type Machine struct {
	config Config
	// appliedOffset is the offset up to which records have been applied.
	appliedOffset int64
	// head is the newest head observed.
	head int64
	// everFresh is set once all records up to an observed head have been applied.
	everFresh bool
	// currentAsOf is the latest local time for which all records that existed
	// then are known to have been applied.
	currentAsOf  time.Duration
	pendingHeads []headObservation
	peersAskedAt time.Duration
	peersAsked   bool
	fetchedAt    time.Duration
	// fetchedHead is the head up to which records were last requested, at
	// fetchedAt.
	fetchedHead int64
}

// headObservation records that head was the newest offset at some local time not
// before at.
type headObservation struct {
	head int64
	at   time.Duration
}

// New returns a machine that has not applied any record and is not fresh.
func New(config Config) *Machine {
	return &Machine{config: config}
}

// Step processes one event at local monotonic time now and returns the resulting
// actions.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case DirectRead:
		out = m.observeHead(headObservation{head: e.Head, at: e.SentAt})
	case PeerReport:
		out = m.observeHead(headObservation{head: e.Head, at: e.AskedAt - m.withDriftMargin(e.Age)})
	case Applied:
		m.appliedOffset = max(m.appliedOffset, e.Offset)
		out = m.extendAuthority()
	}
	out = m.fetchIfBehind(now, out)
	return m.askPeersIfDue(now, out)
}

// withDriftMargin converts a duration on another clock to its maximum on this clock.
func (m *Machine) withDriftMargin(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.config.Drift) + 1
}

// observeHead processes an observation of the stream's head.
func (m *Machine) observeHead(s headObservation) []Action {
	m.head = max(m.head, s.head)
	if m.everFresh && s.at <= m.currentAsOf {
		return nil
	}
	m.pendingHeads = append(m.pendingHeads, s)
	if len(m.pendingHeads) > maxPendingHeads {
		m.pendingHeads = m.pendingHeads[1:]
	}
	return m.extendAuthority()
}

// extendAuthority moves the end of the start authority according to the newest
// observation whose head has been applied.
func (m *Machine) extendAuthority() []Action {
	moved := false
	rest := m.pendingHeads[:0]
	for _, s := range m.pendingHeads {
		switch {
		case s.head > m.appliedOffset:
			rest = append(rest, s)
		case !m.everFresh || s.at > m.currentAsOf:
			m.everFresh, m.currentAsOf, moved = true, s.at, true
		}
	}
	m.pendingHeads = rest
	if !moved {
		return nil
	}
	return []Action{FreshUntil{End: m.currentAsOf + m.config.Bound}}
}

// fetchIfBehind requests the records up to a newer head, and repeats the request
// after AskEvery.
func (m *Machine) fetchIfBehind(now time.Duration, out []Action) []Action {
	if m.head <= m.appliedOffset {
		return out
	}
	if m.fetchedHead == m.head && now-m.fetchedAt < m.config.AskEvery {
		return out
	}
	m.fetchedHead, m.fetchedAt = m.head, now
	return append(out, FetchFrom{From: m.appliedOffset + 1})
}

// askPeersIfDue asks the peers once the configuration's age has reached half of
// the bound, and again after AskEvery.
func (m *Machine) askPeersIfDue(now time.Duration, out []Action) []Action {
	if m.everFresh && now-m.currentAsOf < m.config.Bound/2 {
		return out
	}
	if m.peersAsked && now-m.peersAskedAt < m.config.AskEvery {
		return out
	}
	m.peersAsked, m.peersAskedAt = true, now
	return append(out, AskPeers{})
}

// Report is the freshness information that a node sends to its peers.
type Report struct {
	// Head is the offset up to which the node has applied the stream.
	Head int64 `json:"head"`
	// Age is the time since a moment at which certainly no record after Head
	// existed.
	Age time.Duration `json:"age"`
}

// Report returns the node's report at local time now, or false if no observed
// head has been applied yet.
func (m *Machine) Report(now time.Duration) (Report, bool) {
	if !m.everFresh {
		return Report{}, false
	}
	return Report{Head: m.appliedOffset, Age: now - m.currentAsOf}, true
}

// StartUntil returns the end of the start authority on the local clock, or 0 if
// there has not been any.
func (m *Machine) StartUntil() time.Duration {
	if !m.everFresh {
		return 0
	}
	return m.currentAsOf + m.config.Bound
}

// Head returns the newest head observed, applied or not.
func (m *Machine) Head() int64 {
	return m.head
}
