package ownership

import (
	"maps"
	"slices"
	"time"
)

// claimants returns the VMs that could claim a cell of this VM by expiry: all
// members that are not known gone, in ascending order. Members that joined
// after its last renewal was read back count too, because a later renewal may
// have landed unread and names what this VM has read until now.
func (m *Machine) claimants() []string {
	var names []string
	for _, vm := range m.names {
		if vm == m.config.VM || m.memberGone(vm) {
			continue
		}
		names = append(names, vm)
	}
	return names
}

// vouched reports whether all claimants of a cell have promised not to claim
// it, and their promises are in force.
func (m *Machine) vouched(now time.Duration, c *cell) bool {
	for _, vm := range m.claimants() {
		asked, ok := c.promises[vm]
		if !ok || now >= asked+m.config.PromiseLife {
			return false
		}
	}
	return true
}

// askPromises asks for promises while a renewal remains unread for longer
// than the renewal interval, which is before the lease ends.
func (m *Machine) askPromises() {
	if m.renewal == nil || m.now-m.renewal.sentAt < m.config.RenewEvery {
		return
	}
	if m.asks > 0 && m.now-m.askedAt < m.config.AskEvery {
		return
	}
	cells, peers := m.askScope()
	if len(cells) == 0 || len(peers) == 0 {
		return
	}
	maps.DeleteFunc(m.askTimes, func(_ uint64, at time.Duration) bool {
		return m.now >= at+m.config.PromiseLife
	})
	m.asks++
	m.askedAt = m.now
	m.askTimes[m.asks] = m.now
	m.emit(AskPromises{Peers: peers, Number: m.asks, Cells: cells})
}

// askScope returns the cells to ask about and the peers to ask.
func (m *Machine) askScope() ([]CellTerm, []string) {
	var cells []CellTerm
	peers := make(map[string]bool)
	for i := range m.cells {
		c := &m.cells[i]
		if !m.active(c) || c.releaseSent {
			continue
		}
		cells = append(cells, CellTerm{Cell: i, Term: c.term})
		for _, vm := range m.claimants() {
			peers[vm] = true
		}
	}
	return cells, slices.Sorted(maps.Keys(peers))
}

// takePromises takes a peer's answer. A promise counts from before it was
// asked for.
func (m *Machine) takePromises(e PromiseAnswered) {
	for _, newer := range e.Newer {
		m.newerTerm(newer.Cell, newer.Term)
	}
	asked, ok := m.askTimes[e.Number]
	if !ok {
		return
	}
	for _, number := range e.Granted {
		c := m.cell(number)
		if c == nil || !m.active(c) {
			continue
		}
		if c.promises == nil {
			c.promises = make(map[string]time.Duration)
		}
		c.promises[e.From] = max(c.promises[e.From], asked)
	}
}

// answerPromise promises not to claim a peer's cells, except those that this
// VM has a claim in flight for or knows a newer term of.
func (m *Machine) answerPromise(e PromiseAsked) {
	answer := AnswerPromise{To: e.From, Number: e.Number}
	for _, asked := range e.Cells {
		c := m.cell(asked.Cell)
		switch {
		case c == nil || c.claim != nil:
		case c.term > asked.Term:
			answer.Newer = append(answer.Newer, CellTerm{Cell: asked.Cell, Term: c.term})
		default:
			c.promisedUntil = max(c.promisedUntil, m.now+m.config.stretched(m.config.PromiseLife))
			answer.Granted = append(answer.Granted, asked.Cell)
		}
	}
	m.emit(answer)
}
