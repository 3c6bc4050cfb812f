package entry

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/settings"
)

// Settings of the garbage collector. An idle process has a heap of about 10 MB,
// so the default percentage would start a collection every few megabytes. Up to
// the soft limit, which is below the 64 MB that a node may use, memory is cheaper
// than processor time.
const (
	gcPercent       = 300
	softMemoryLimit = 56 << 20
)

// Run runs the daemon until a planned stop has finished. SIGTERM or SIGINT starts
// the planned stop; a second signal ends it at once.
func Run(ctx context.Context, s settings.Entry) error {
	events, err := logevent.New(os.Stdout, s.LogLevel)
	if err != nil {
		return err
	}
	defer events.Sync() //nolint:errcheck // standard output can't be synced on all systems
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(softMemoryLimit)
	n, err := NewNode(s, events)
	if err != nil {
		return err
	}
	err = n.Run(ctx, stopSignals(ctx))
	if err != nil && !errors.Is(err, ErrRequestsCutOff) {
		events.Log(logevent.ProcessFailed, zap.Error(err))
	}
	return err
}

// stopSignals returns a channel with a value for each signal to stop.
func stopSignals(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{}, 2)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				stop <- struct{}{}
			case <-ctx.Done():
				return
			}
		}
	}()
	return stop
}
