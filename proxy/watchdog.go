package proxy

import (
	"sync"
	"time"
)

// watchdog calls a function if no byte arrives in time while bytes are expected.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// headDone is set once the response head has arrived. The request body may
	// still be uploading then, but it no longer affects the timer.
	headDone bool
}

func newWatchdog(onTimeout func()) *watchdog {
	timer := time.AfterFunc(time.Hour, onTimeout)
	timer.Stop()
	return &watchdog{timer: timer}
}

// expectHead restarts the timer for the response head.
func (d *watchdog) expectHead(limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped && !d.headDone {
		d.timer.Reset(limit)
	}
}

// pauseHead stops the timer until the next expectHead.
func (d *watchdog) pauseHead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.headDone {
		d.timer.Stop()
	}
}

// headArrived stops the timer until the next expectBody.
func (d *watchdog) headArrived() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.headDone = true
	d.timer.Stop()
}

// expectBody restarts the timer for body bytes.
func (d *watchdog) expectBody(limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer.Reset(limit)
	}
}

// pauseBody stops the timer until the next expectBody.
func (d *watchdog) pauseBody() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
}

// stop stops the timer permanently.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
