package proxy

import (
	"sync"
	"time"
)

// watchdog calls a function if no progress is made while bytes are due.
type watchdog struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	// head is set once the response head has arrived. The request may still be
	// on its way then, but its progress no longer counts.
	head bool
}

func newWatchdog(fire func()) *watchdog {
	timer := time.AfterFunc(time.Hour, fire)
	timer.Stop()
	return &watchdog{timer: timer}
}

// expectHead starts the time anew while the response head is due.
func (d *watchdog) expectHead(limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped && !d.head {
		d.timer.Reset(limit)
	}
}

// pauseHead stops the time until the next expectHead.
func (d *watchdog) pauseHead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.head {
		d.timer.Stop()
	}
}

// headArrived stops the time until the next expect.
func (d *watchdog) headArrived() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.head = true
	d.timer.Stop()
}

// expect starts the time anew while body bytes are due.
func (d *watchdog) expect(limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopped {
		d.timer.Reset(limit)
	}
}

// pause stops the time until the next expect.
func (d *watchdog) pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer.Stop()
}

// stop ends the watchdog.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}
