package command

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"
)

// Main runs the program with its arguments (without the program's name) and
// returns the exit code.
func Main(ctx context.Context, args []string, o Options) int {
	root := New(o)
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(o.Stderr, "cactusreel:", err)
	}
	return ExitCode(err)
}

// New returns the root command.
func New(o Options) *cobra.Command {
	root := &cobra.Command{
		Use:           "cactusreel",
		Short:         "Scheduler and request router",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetIn(o.Stdin)
	root.SetOut(o.Stdout)
	root.SetErr(o.Stderr)
	return root
}
