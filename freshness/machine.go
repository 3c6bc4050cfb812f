package freshness

import "time"

// Config holds the settings of a Machine.
type Config struct {
	// Bound is the highest age at which tasks may start.
	Bound time.Duration
	// Drift is the highest rate difference of two monotonic clocks, 0.01 for 1%.
	Drift float64
	// AskEvery is the interval of asking peers while direct reads are old.
	AskEvery time.Duration
}

// DefaultConfig returns the settings of design section 3.
func DefaultConfig() Config {
	return Config{Bound: 2 * time.Second, Drift: 0.01, AskEvery: 250 * time.Millisecond}
}

// maxPending bounds the heads that are known but not yet applied. When it is
// exceeded the oldest is dropped, which only shortens the authority.
const maxPending = 64

// Machine tracks the age of a node's configuration. It is not safe for
// concurrent use.
type Machine struct {
	config Config
	// applied is the offset up to which records have been applied.
	applied int64
	head    int64
	// known is true once some head has been applied completely.
	known bool
	// at is the local time at which everything applied was the newest.
	at      time.Duration
	pending []sighting
	askedAt time.Duration
	asked   bool
	fetchAt time.Duration
	fetched int64
}

// sighting says that head was the newest record at local time at or later.
type sighting struct {
	head int64
	at   time.Duration
}

// New returns a machine that has applied nothing and is not fresh.
func New(config Config) *Machine {
	return &Machine{config: config}
}

// Step takes one event at local monotonic time now and returns the actions.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	var out []Action
	switch e := ev.(type) {
	case DirectRead:
		out = m.see(sighting{head: e.Head, at: e.SentAt})
	case PeerReport:
		out = m.see(sighting{head: e.Head, at: e.AskedAt - m.stretched(e.Age)})
	case Applied:
		m.applied = max(m.applied, e.Offset)
		out = m.settle()
	}
	out = m.fetch(now, out)
	return m.ask(now, out)
}

// stretched converts a duration on another clock to the longest it can be on
// this clock.
func (m *Machine) stretched(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*m.config.Drift) + 1
}

// see takes a sighting of a head.
func (m *Machine) see(s sighting) []Action {
	m.head = max(m.head, s.head)
	if m.known && s.at <= m.at {
		return nil
	}
	m.pending = append(m.pending, s)
	if len(m.pending) > maxPending {
		m.pending = m.pending[1:]
	}
	return m.settle()
}

// settle moves the end of authority to the newest sighting whose head has
// been applied.
func (m *Machine) settle() []Action {
	moved := false
	rest := m.pending[:0]
	for _, s := range m.pending {
		switch {
		case s.head > m.applied:
			rest = append(rest, s)
		case !m.known || s.at > m.at:
			m.known, m.at, moved = true, s.at, true
		}
	}
	m.pending = rest
	if !moved {
		return nil
	}
	return []Action{FreshUntil{End: m.at + m.config.Bound}}
}

// fetch asks for the records up to a newer head, again after AskEvery.
func (m *Machine) fetch(now time.Duration, out []Action) []Action {
	if m.head <= m.applied {
		return out
	}
	if m.fetched == m.head && now-m.fetchAt < m.config.AskEvery {
		return out
	}
	m.fetched, m.fetchAt = m.head, now
	return append(out, FetchFrom{From: m.applied + 1})
}

// ask asks the peers when half of the bound has been used up.
func (m *Machine) ask(now time.Duration, out []Action) []Action {
	if m.known && now-m.at < m.config.Bound/2 {
		return out
	}
	if m.asked && now-m.askedAt < m.config.AskEvery {
		return out
	}
	m.asked, m.askedAt = true, now
	return append(out, AskPeers{})
}

// Report is what a node tells its peers.
type Report struct {
	// Head is the offset up to which the node has applied the stream.
	Head int64 `json:"head"`
	// Age is how long ago Head was certainly the newest record.
	Age time.Duration `json:"age"`
}

// Report returns the node's word at local time now, or false if no head has
// been applied yet.
func (m *Machine) Report(now time.Duration) (Report, bool) {
	if !m.known {
		return Report{}, false
	}
	return Report{Head: m.applied, Age: now - m.at}, true
}

// StartUntil returns the end of start authority on the local clock; 0 if
// there never was any.
func (m *Machine) StartUntil() time.Duration {
	if !m.known {
		return 0
	}
	return m.at + m.config.Bound
}

// Head returns the newest head known, applied or not.
func (m *Machine) Head() int64 {
	return m.head
}
