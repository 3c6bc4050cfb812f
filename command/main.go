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
		_, _ = fmt.Fprintf(o.Stderr, "cactusreel: %v\n", err)
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
		Args:          cobra.NoArgs,
		RunE:          requireSubcommand,
	}
	root.SetIn(o.Stdin)
	root.SetOut(o.Stdout)
	root.SetErr(o.Stderr)
	root.AddCommand(
		newEntry(o), newCoordinator(o),
		newApply(), newGet(), newDescribe(), newWatch(), newDelete(),
		newCancel(), newTakeOut(), newBringBack(),
		newDump(), newExplain(), newCheck(o), newReplay(o), newSettings(), newCodes(), newEvents(),
		newVersion(o), newCompletion(),
	)
	markUsageErrors(root)
	return root
}

// requireSubcommand returns the error of a command that needs a subcommand.
func requireSubcommand(c *cobra.Command, _ []string) error {
	return usageErrorf("%s needs a subcommand; see %s --help", c.CommandPath(), c.CommandPath())
}

// markUsageErrors makes a command and its subcommands exit with ExitUsage if
// their flags or arguments are wrong.
func markUsageErrors(c *cobra.Command) {
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &ExitError{Code: ExitUsage, Err: err}
	})
	if check := c.Args; check != nil {
		c.Args = func(c *cobra.Command, args []string) error {
			if err := check(c, args); err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			return nil
		}
	}
	for _, sub := range c.Commands() {
		markUsageErrors(sub)
	}
}

func usageErrorf(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}
