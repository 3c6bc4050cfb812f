package command

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

func newVersion(o Options) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the version",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(c.OutOrStdout(), "cactusreel %s (%s, %s/%s)\n", o.Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return err
		},
	}
}
