package command

import (
	"errors"
	"os"

	"github.com/spf13/cobra"
)

// settingsVariable is the environment variable with the default of --settings.
const settingsVariable = "CACTUSREEL_SETTINGS"

func newCoordinator(o Options) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "coordinator [--settings FILE]",
		Short: "Run the coordinator of submissions on a VM",
		Long: "Run the coordinator of submissions on a VM. Without --settings, the environment variable " +
			settingsVariable + " holds the path of the settings file.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if path == "" {
				path = os.Getenv(settingsVariable)
			}
			if path == "" {
				return usageErrorf("coordinator needs --settings FILE or %s", settingsVariable)
			}
			if o.Coordinator == nil {
				return errors.New("this build has no coordinator")
			}
			return o.Coordinator(c.Context(), path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file")
	return c
}
