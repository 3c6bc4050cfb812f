package dispatch

import (
	"time"

	"github.com/cactusreel/cactusreel/ledger"
)

// Figures of keeping the state on a log that drops old records.
const (
	// retainShare is the part of the log's retention after which the records
	// of a submission are repeated as one.
	retainShare = 0.3
	// retainBatch bounds the submissions that are repeated at a time.
	retainBatch = 20
	// retainInterval is how often the machine looks for old records.
	retainInterval = time.Second
)

// retain repeats the state of submissions whose records the log will drop, and
// this epoch's own record.
func (m *Machine) retain() {
	age := time.Duration(retainShare * float64(m.config.Retention))
	if age <= 0 || m.now-m.retainedAt < retainInterval || len(m.pending) > 0 {
		return
	}
	m.retainedAt = m.now
	if m.now-m.openedAt >= age {
		m.openedAt = m.now
		m.write(ledger.OpenedRecord(m.book.Owner()), func() {})
	}
	written := 0
	for _, e := range m.book.Live() {
		since, ok := m.retained[e.ID]
		if !ok {
			m.retained[e.ID] = m.now
			continue
		}
		if m.now-since < age {
			continue
		}
		m.retained[e.ID] = m.now
		m.write(e.RetainedRecord(), func() {})
		if written++; written >= retainBatch {
			return
		}
	}
}
