// Command cactusreel is the daemon of an entry VM and the operators' tool.
package main

import (
	"context"
	"errors"
	"os"

	"github.com/cactusreel/cactusreel/command"
	"github.com/cactusreel/cactusreel/entry"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/platform"
	"github.com/cactusreel/cactusreel/replay"
	"github.com/cactusreel/cactusreel/settings"
)

// version is set by the linker in release builds.
var version = "development"

func main() {
	os.Exit(command.Main(context.Background(), os.Args[1:], command.Options{
		Stdin:       os.Stdin,
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
		Version:     version,
		Entry:       runEntry,
		Coordinator: runCoordinator,
		Replay:      replay.Files,

		ReadManifest: platform.ReadManifest,
	}))
}

// runEntry runs the daemon. It wraps entry.ErrCutOff with command.ExitCutOff.
func runEntry(ctx context.Context, s settings.Entry) error {
	err := entry.Run(ctx, s)
	if errors.Is(err, entry.ErrRequestsCutOff) {
		return &command.ExitError{Code: command.ExitCutOff, Err: err}
	}
	return err
}

// runCoordinator runs the coordinator and writes its log to standard output.
func runCoordinator(ctx context.Context, settingsPath string) error {
	s, err := settings.LoadCoordinator(settingsPath)
	if err != nil {
		return &command.ExitError{Code: command.ExitUsage, Err: err}
	}
	budget := logevent.NewRateLimitedWriter(os.Stdout, s.Log.LinesPerSecond)
	defer budget.Close()
	events, err := logevent.NewRateLimited(budget, s.Log.Level)
	if err != nil {
		return err
	}
	return platform.Run(ctx, s, platform.Options{Version: version, SettingsPath: settingsPath, Events: events, LogDropped: budget.Dropped})
}
