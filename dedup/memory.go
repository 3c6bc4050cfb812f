package dedup

import "sync/atomic"

// memory counts what all tables of a store use.
type memory struct {
	limits  Limits
	ids     atomic.Int64
	answers atomic.Int64
}

func (m *memory) addID() bool {
	if m.ids.Add(1) > m.limits.MaxIDs {
		m.ids.Add(-1)
		return false
	}
	return true
}

func (m *memory) addAnswer(bytes int64) bool {
	if m.answers.Add(bytes) > m.limits.MaxAnswers {
		m.answers.Add(-bytes)
		return false
	}
	return true
}
