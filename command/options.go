package command

import (
	"context"
	"io"

	"github.com/cactusreel/cactusreel/manifestcheck"
	"github.com/cactusreel/cactusreel/settings"
)

// Options holds the streams and functions that the program's main function
// passes to the subcommands.
type Options struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Version is the program's version.
	Version string
	// Entry runs the daemon until it has stopped. It handles signals itself.
	// An error that wraps *ExitError determines the exit code; any other error
	// results in ExitFailed.
	Entry func(ctx context.Context, s settings.Entry) error
	// Coordinator runs the coordinator with a settings file until it has stopped.
	Coordinator func(ctx context.Context, settingsPath string) error
	// ReadManifest reads a manifest for a check, with what keeps it from being read whole.
	ReadManifest func(data []byte) (*manifestcheck.Document, []manifestcheck.Finding)
	// Replay replays trace files and writes the comparison.
	Replay func(ctx context.Context, paths []string, w io.Writer) error
}
