package standin

import (
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// LogStore is the state of the log. It is not safe for concurrent use.
type LogStore struct {
	retention Retention
	streams   map[string]*stream
}

// NewLogStore returns an empty log.
func NewLogStore(retention Retention) *LogStore {
	return &LogStore{retention: retention, streams: make(map[string]*stream)}
}

// Append adds a record and returns its offset.
func (l *LogStore) Append(now time.Duration, name, id string, data []byte) int64 {
	s := l.streams[name]
	if s == nil {
		s = newStream()
		l.streams[name] = s
	}
	offset := s.append(now, id, data)
	s.applyRetention(now, l.retention)
	return offset
}

// Read returns at most limit records, starting at offset from, with the errors of
// hostapi.Log. A stream without appends is empty.
func (l *LogStore) Read(now time.Duration, name string, from int64, limit int) (hostapi.LogPage, error) {
	s := l.streams[name]
	if s == nil {
		return newStream().read(from, limit)
	}
	s.applyRetention(now, l.retention)
	return s.read(from, limit)
}

// Truncate deletes the records of a stream below first, or all records if first
// is 0. It returns the lowest retained offset.
func (l *LogStore) Truncate(name string, first int64) int64 {
	s := l.streams[name]
	if s == nil {
		return 1
	}
	if first == 0 {
		first = s.nextOffset()
	}
	s.truncate(first)
	return s.first
}
