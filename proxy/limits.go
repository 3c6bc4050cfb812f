package proxy

import "time"

// Limits holds the limits on requests. A field that is 0 or less gets its
// default.
type Limits struct {
	// MaxRequest is the maximum request time, and the longest that a service's
	// spec may allow. Default 5 s.
	MaxRequest time.Duration
	// ProgressTimeout is the longest time without a byte while bytes are
	// expected, for services that declare none. Default 1 s.
	ProgressTimeout time.Duration
	// ConnectTimeout bounds the time to establish a connection. Default 500 ms.
	ConnectTimeout time.Duration
	// AcknowledgeTimeout bounds the wait for the acknowledgements of an intent.
	// Default 500 ms.
	AcknowledgeTimeout time.Duration
	// MaxHeaderBytes bounds the request's target and headers. Default 32 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request body, for services that declare no bound.
	// Default 8 MiB.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests in progress. Default 4096.
	MaxConcurrent int64
	// MaxAttempts bounds the number of sends of one request. Default 3.
	MaxAttempts int
}

func (l Limits) withDefaults() Limits {
	return Limits{
		MaxRequest:         orDefault(l.MaxRequest, 5*time.Second),
		ProgressTimeout:    orDefault(l.ProgressTimeout, time.Second),
		ConnectTimeout:     orDefault(l.ConnectTimeout, 500*time.Millisecond),
		AcknowledgeTimeout: orDefault(l.AcknowledgeTimeout, 500*time.Millisecond),
		MaxHeaderBytes:     orDefault(l.MaxHeaderBytes, 32<<10),
		MaxBodyBytes:       orDefault(l.MaxBodyBytes, 8<<20),
		MaxConcurrent:      orDefault(l.MaxConcurrent, 4096),
		MaxAttempts:        orDefault(l.MaxAttempts, 3),
	}
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
