package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/operator"
)

func newBringBack() *cobra.Command {
	c := &cobra.Command{
		Use:   "bring-back DATA_CENTRE",
		Short: "Bring a data centre back into service",
		Args:  cobra.ExactArgs(1),
	}
	flags := addWriteFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		return flags.run(c, "brought back into service", func(ctx context.Context, server *client.Client, o client.WriteOptions) (operator.WriteResult, error) {
			return server.BringBack(ctx, args[0], o)
		})
	}
	return c
}
