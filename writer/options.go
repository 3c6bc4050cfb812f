package writer

import (
	"math/rand/v2"
	"time"

	"github.com/cactusreel/cactusreel/record"
)

// Defaults of Options.
const (
	// DefaultMaxBatchItems is the maximum that readers accept in one batch.
	DefaultMaxBatchItems = record.MaxBatchRecords
	// DefaultMaxBatchBytes is below the log's limit of 1 MiB per record.
	DefaultMaxBatchBytes = 512 << 10
	// DefaultMaxPending bounds the items that are queued during a log outage.
	DefaultMaxPending = 65_536
	// DefaultAppendTimeout bounds an append without a response. After the
	// timeout the append is retried.
	DefaultAppendTimeout = 2 * time.Second
	// DefaultReadBackTimeout is four default poll intervals of a log reader.
	DefaultReadBackTimeout = time.Second
	// DefaultMinBackoff is the maximum delay after the first failed append.
	DefaultMinBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff bounds the delay after repeated failures.
	DefaultMaxBackoff = 2 * time.Second
)

// Options configures a Writer. Zero values select the defaults.
type Options struct {
	// Stream is the name of the stream to append to.
	Stream string
	// Incarnation is the random number that identifies this incarnation of the
	// process.
	Incarnation uint64
	// LastSequence is the highest sequence number that this incarnation has
	// used on the stream before, as returned by Writer.LastSequence. If a second
	// writer of the same incarnation and stream started from 1 again, readers
	// would ignore its records as duplicates.
	LastSequence uint64
	// Frame encodes a batch; nil selects the function Frame.
	Frame FrameFunc
	// MaxBatchItems bounds the items of a batch. It must be 1 for streams whose
	// record offsets are versions or terms (claims and resources).
	MaxBatchItems int
	// MaxBatchBytes bounds the total size of a batch's items, counting 10 bytes
	// of overhead per item.
	MaxBatchBytes int
	// MaxPending bounds the items that are queued for a batch.
	MaxPending int
	// Interval is the minimum time between the first appends of two batches.
	Interval time.Duration
	// AppendTimeout bounds one append.
	AppendTimeout time.Duration
	// ReadBackTimeout is the time to wait for Observed after a successful
	// append before the append is retried.
	ReadBackTimeout time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed append, which
	// doubles with each successive failure and is jittered.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Rand is the source of the jitter; nil selects a source seeded with
	// Incarnation and LastSequence.
	Rand *rand.Rand
	// Appended, if not nil, is called after each successful append, so that
	// the stream can be read immediately instead of at the next poll. It must
	// not block.
	Appended func(id string, offset int64)
	// Failed, if not nil, is called after each failed append. It must not block.
	Failed func(id string, err error)
}

func (o Options) withDefaults() Options {
	if o.Frame == nil {
		o.Frame = Frame
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(o.Incarnation, o.LastSequence))
	}
	setDefault(&o.MaxBatchItems, DefaultMaxBatchItems)
	setDefault(&o.MaxBatchBytes, DefaultMaxBatchBytes)
	setDefault(&o.MaxPending, DefaultMaxPending)
	setDefault(&o.AppendTimeout, DefaultAppendTimeout)
	setDefault(&o.ReadBackTimeout, DefaultReadBackTimeout)
	setDefault(&o.MinBackoff, DefaultMinBackoff)
	setDefault(&o.MaxBackoff, DefaultMaxBackoff)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// backoff returns the delay after the given number of successive failures,
// which is at least 1. The delay is random between half of the exponential
// backoff and all of it.
func (o Options) backoff(failures int) time.Duration {
	delay := o.MinBackoff
	for i := 1; i < failures && delay < o.MaxBackoff; i++ {
		delay *= 2
	}
	delay = min(delay, o.MaxBackoff)
	return delay/2 + time.Duration(o.Rand.Int64N(int64(delay/2)+1))
}
