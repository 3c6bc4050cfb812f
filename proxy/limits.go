package proxy

import "time"

// Limits bounds requests. A zero field stands for the default.
type Limits struct {
	// MaxRequest is the maximum request time, and the longest that a service's
	// spec may allow. Default 5 s.
	MaxRequest time.Duration
	// ProgressTimeout is the longest time without a byte while bytes are due, for
	// services that declare none. Default 1 s.
	ProgressTimeout time.Duration
	// ConnectTimeout bounds the time to establish a connection. Default 500 ms.
	ConnectTimeout time.Duration
	// AcknowledgeTimeout bounds the time for the acknowledgements of an intent.
	// Default 500 ms.
	AcknowledgeTimeout time.Duration
	// MaxHeaderBytes bounds the request's target and headers. Default 32 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes bounds a request body, for services that declare no bound.
	// Default 8 MiB.
	MaxBodyBytes int64
	// MaxConcurrent bounds the requests in progress. Default 4096.
	MaxConcurrent int64
	// MaxAttempts bounds how often one request is sent. Default 3.
	MaxAttempts int
}

func (l Limits) withDefaults() Limits {
	return Limits{
		MaxRequest:         defaulted(l.MaxRequest, 5*time.Second),
		ProgressTimeout:    defaulted(l.ProgressTimeout, time.Second),
		ConnectTimeout:     defaulted(l.ConnectTimeout, 500*time.Millisecond),
		AcknowledgeTimeout: defaulted(l.AcknowledgeTimeout, 500*time.Millisecond),
		MaxHeaderBytes:     defaulted(l.MaxHeaderBytes, 32<<10),
		MaxBodyBytes:       defaulted(l.MaxBodyBytes, 8<<20),
		MaxConcurrent:      defaulted(l.MaxConcurrent, 4096),
		MaxAttempts:        defaulted(l.MaxAttempts, 3),
	}
}

func defaulted[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
