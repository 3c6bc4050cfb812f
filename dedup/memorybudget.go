package dedup

import "sync/atomic"

// memoryBudget tracks the ids and answer bytes of all tables of a store and
// enforces their limits.
type memoryBudget struct {
	limits      Limits
	idCount     atomic.Int64
	answerBytes atomic.Int64
}

// reserveID counts one more id, or returns false at the limit.
func (m *memoryBudget) reserveID() bool {
	if m.idCount.Add(1) > m.limits.MaxIDs {
		m.idCount.Add(-1)
		return false
	}
	return true
}

// reserveAnswer counts the bytes of an answer, or returns false if they would
// exceed the limit.
func (m *memoryBudget) reserveAnswer(bytes int64) bool {
	if m.answerBytes.Add(bytes) > m.limits.MaxAnswers {
		m.answerBytes.Add(-bytes)
		return false
	}
	return true
}

// hasRoom reports whether the limit leaves room for so many bytes of answers.
func (m *memoryBudget) hasRoom(bytes int64) bool {
	return m.answerBytes.Load()+bytes <= m.limits.MaxAnswers
}
