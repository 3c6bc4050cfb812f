package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/settings"
)

func newSettings() *cobra.Command {
	c := &cobra.Command{
		Use:   "settings",
		Short: "Check settings files and show the reference page",
		Args:  cobra.NoArgs,
		RunE:  requireSubcommand,
	}
	c.AddCommand(newSettingsCheck(), newSettingsReference())
	return c
}

func newSettingsCheck() *cobra.Command {
	coordinator := false
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and report every mistake",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := checkSettings(args[0], coordinator); err != nil {
				return err
			}
			_, err := fmt.Fprintf(c.OutOrStdout(), "%s: no mistakes\n", args[0])
			return err
		},
	}
	check.Flags().BoolVar(&coordinator, "coordinator", false, "the file is a coordinator's")
	return check
}

func checkSettings(path string, coordinator bool) error {
	if !coordinator {
		_, err := loadSettings(path)
		return err
	}
	if _, err := settings.LoadCoordinator(path); err != nil {
		return &ExitError{Code: ExitUsage, Err: result.Errorf(result.BadSettings, "\n%w", err)}
	}
	return nil
}

func newSettingsReference() *cobra.Command {
	return &cobra.Command{
		Use:   "reference",
		Short: "Write the page docs/settings.md",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := io.WriteString(c.OutOrStdout(), settings.Markdown())
			return err
		},
	}
}

// loadSettings loads the settings of an entry VM. The error has the exit code
// ExitUsage.
func loadSettings(path string) (settings.Entry, error) {
	e, err := settings.Load(path)
	if err != nil {
		return e, &ExitError{Code: ExitUsage, Err: result.Errorf(result.BadSettings, "\n%w", err)}
	}
	return e, nil
}
