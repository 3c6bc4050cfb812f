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
	// times holds the time of each record.
	times []time.Duration
}

func newStream() *stream {
	return &stream{first: 1}
}

func (s *stream) next() int64 {
	return s.first + int64(len(s.records))
}

func (s *stream) append(now time.Duration, id string, data []byte) int64 {
	offset := s.next()
	s.records = append(s.records, hostapi.LogRecord{Offset: offset, ID: id, Data: slices.Clone(data)})
	s.times = append(s.times, now)
	return offset
}

// retain drops the records that retention no longer keeps.
func (s *stream) retain(now time.Duration, retention Retention) {
	drop := 0
	if retention.Records > 0 {
		drop = max(0, len(s.records)-retention.Records)
	}
	for retention.Age > 0 && drop < len(s.times) && now-s.times[drop] > retention.Age {
		drop++
	}
	s.truncate(s.first + int64(drop))
}

// truncate drops the records below first.
func (s *stream) truncate(first int64) {
	drop := min(max(first-s.first, 0), int64(len(s.records)))
	s.first += drop
	// Copies, so that the dropped records' memory is freed, once they are half.
	s.records = s.records[drop:]
	s.times = s.times[drop:]
	if cap(s.records) > 2*len(s.records) {
		s.records = slices.Clip(slices.Clone(s.records))
		s.times = slices.Clip(slices.Clone(s.times))
	}
}

func (s *stream) read(from int64, limit int) (hostapi.LogPage, error) {
	page := hostapi.LogPage{First: s.first, Next: s.next()}
	if from < s.first {
		return page, fmt.Errorf("offset %d is below %d: %w", from, s.first, hostapi.ErrTruncated)
	}
	if from >= page.Next {
		return page, nil
	}
	rest := s.records[from-s.first:]
	page.Records = slices.Clone(rest[:min(limit, len(rest))])
	return page, nil
}
