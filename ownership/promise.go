package ownership

import (
	"maps"
	"slices"
	"time"
)

// claimants returns the VMs that could claim a cell of this VM by expiry: all
// other members that are not known gone, in ascending order. Members that joined
// after this VM's last renewal was read back count too: a later renewal may have
// been appended but not read back, and it contains the offset that this VM had
// read by then.
func (m *Machine) claimants() []string {
	var names []string
	for _, vm := range m.memberNames {
		if vm == m.config.VM || m.memberGone(vm) {
			continue
		}
		names = append(names, vm)
	}
	return names
}

// allClaimantsPromised reports whether all claimants of a cell have promised not
// to claim it and their promises are still valid.
func (m *Machine) allClaimantsPromised(now time.Duration, c *cell) bool {
	for _, vm := range m.claimants() {
		asked, ok := c.promiseRequestedAt[vm]
		if !ok || now >= asked+m.config.PromiseLife {
			return false
		}
	}
	return true
}

// askPromises requests promises while the pending renewal has not been read back
// for longer than the renewal interval, so that it starts before the lease ends.
func (m *Machine) askPromises() {
	if m.pendingRenewal == nil || m.now-m.pendingRenewal.sentAt < m.config.RenewEvery {
		return
	}
	if m.promiseRequestCount > 0 && m.now-m.promisesRequestedAt < m.config.AskEvery {
		return
	}
	cells, peers := m.promiseRequestScope()
	if len(cells) == 0 || len(peers) == 0 {
		return
	}
	maps.DeleteFunc(m.promiseRequestTimes, func(_ uint64, at time.Duration) bool {
		return m.now >= at+m.config.PromiseLife
	})
	m.promiseRequestCount++
	m.promisesRequestedAt = m.now
	m.promiseRequestTimes[m.promiseRequestCount] = m.now
	m.emit(AskPromises{Peers: peers, Number: m.promiseRequestCount, Cells: cells})
}

// promiseRequestScope returns the cells that a promise request lists and the
// peers that it is sent to.
func (m *Machine) promiseRequestScope() ([]CellTerm, []string) {
	var cells []CellTerm
	peers := make(map[string]bool)
	for i := range m.cells {
		c := &m.cells[i]
		if !m.activeOwner(c) || c.releaseSent {
			continue
		}
		cells = append(cells, CellTerm{Cell: i, Term: c.term})
		for _, vm := range m.claimants() {
			peers[vm] = true
		}
	}
	return cells, slices.Sorted(maps.Keys(peers))
}

// recordPromises stores the promises in a peer's answer. The validity of a promise
// is counted from just before its request was sent.
func (m *Machine) recordPromises(e PromiseAnswered) {
	for _, newer := range e.Newer {
		m.applyNewerTerm(newer.Cell, newer.Term)
	}
	asked, ok := m.promiseRequestTimes[e.Number]
	if !ok {
		return
	}
	for _, number := range e.Granted {
		c := m.cell(number)
		if c == nil || !m.activeOwner(c) {
			continue
		}
		if c.promiseRequestedAt == nil {
			c.promiseRequestedAt = make(map[string]time.Duration)
		}
		c.promiseRequestedAt[e.From] = max(c.promiseRequestedAt[e.From], asked)
	}
}

// answerPromise promises not to claim a peer's cells, except those for which this
// VM has a claim in flight or has read a newer term.
func (m *Machine) answerPromise(e PromiseAsked) {
	answer := AnswerPromise{To: e.From, Number: e.Number}
	for _, asked := range e.Cells {
		c := m.cell(asked.Cell)
		switch {
		case c == nil || c.pendingClaim != nil:
		case c.term > asked.Term:
			answer.Newer = append(answer.Newer, CellTerm{Cell: asked.Cell, Term: c.term})
		default:
			c.promisedUntil = max(c.promisedUntil, m.now+m.config.withDriftMargin(m.config.PromiseLife))
			answer.Granted = append(answer.Granted, asked.Cell)
		}
	}
	m.emit(answer)
}
