package command

import (
	"errors"

	"github.com/spf13/cobra"
)

func newReplay(o Options) *cobra.Command {
	return &cobra.Command{
		Use:   "replay TRACE...",
		Short: "Replay traces through the decision code and compare the outcomes",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if o.Replay == nil {
				return errors.New("this build has no replay")
			}
			return o.Replay(c.Context(), args, c.OutOrStdout())
		},
	}
}
