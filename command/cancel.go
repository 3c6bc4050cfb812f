package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/operator"
)

func newCancel() *cobra.Command {
	c := &cobra.Command{
		Use:   "cancel JOB",
		Short: "Cancel a job",
		Args:  cobra.ExactArgs(1),
	}
	flags := addWriteFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return flags.run(c, "cancelled", func(ctx context.Context, server *client.Client, o client.WriteOptions) (operator.WriteResult, error) {
			return server.Cancel(ctx, args[0], o)
		})
	}
	return c
}
