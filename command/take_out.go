package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/operator"
)

func newTakeOut() *cobra.Command {
	c := &cobra.Command{
		Use:   "take-out DATA_CENTRE",
		Short: "Take a data centre out of service",
		Args:  cobra.ExactArgs(1),
	}
	flags := addWriteFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return flags.run(c, "taken out of service", func(ctx context.Context, server *client.Client, o client.WriteOptions) (operator.WriteResult, error) {
			return server.TakeOut(ctx, args[0], o)
		})
	}
	return c
}
