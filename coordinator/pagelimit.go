package coordinator

import (
	"context"
	"errors"
	"time"
)

// minPageRecords is the least limit of a page.
const minPageRecords = 16

// pageLimit is the number of records that a read of a stream requests. It follows the time
// that pages take, so that a reader advances also where many others read: a page that does
// not arrive within logTimeout is lost as a whole.
type pageLimit struct{ records, most int }

func newPageLimit(most int) pageLimit { return pageLimit{records: most, most: most} }

// observe changes the limit after a read.
func (l *pageLimit) observe(duration time.Duration, err error) {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		l.records = max(minPageRecords, l.records/2)
	case err == nil && duration < logTimeout/4:
		l.records = min(l.most, 2*l.records)
	}
}
