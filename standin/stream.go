package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// stream is one stream of the log.
type stream struct {
	first   int64
	records []hostapi.LogRecord
	// appendTimes holds the append time of each record.
	appendTimes []time.Duration
}

func newStream() *stream {
	return &stream{first: 1}
}

func (s *stream) nextOffset() int64 {
	return s.first + int64(len(s.records))
}

func (s *stream) append(now time.Duration, id string, data []byte) int64 {
	offset := s.nextOffset()
	s.records = append(s.records, hostapi.LogRecord{Offset: offset, ID: id, Data: slices.Clone(data)})
	s.appendTimes = append(s.appendTimes, now)
	return offset
}

// applyRetention deletes the records that exceed the retention.
func (s *stream) applyRetention(now time.Duration, retention Retention) {
	drop := 0
	if retention.Records > 0 {
		drop = max(0, len(s.records)-retention.Records)
	}
	for retention.Age > 0 && drop < len(s.appendTimes) && now-s.appendTimes[drop] > retention.Age {
		drop++
	}
	s.truncate(s.first + int64(drop))
}

// truncate deletes the records below first.
func (s *stream) truncate(first int64) {
	drop := min(max(first-s.first, 0), int64(len(s.records)))
	s.first += drop
	// Reallocate once more than half of the capacity is unused, so that the
	// memory of deleted records is freed.
	s.records = s.records[drop:]
	s.appendTimes = s.appendTimes[drop:]
	if cap(s.records) > 2*len(s.records) {
		s.records = slices.Clip(slices.Clone(s.records))
		s.appendTimes = slices.Clip(slices.Clone(s.appendTimes))
	}
}

func (s *stream) read(from int64, limit int) (hostapi.LogPage, error) {
	page := hostapi.LogPage{First: s.first, Next: s.nextOffset()}
	if from < s.first {
		return page, fmt.Errorf("offset %d is below %d: %w", from, s.first, hostapi.ErrTruncated)
	}
	if from >= page.Next {
		return page, nil
	}
	available := s.records[from-s.first:]
	page.Records = slices.Clone(available[:min(limit, len(available))])
	return page, nil
}
