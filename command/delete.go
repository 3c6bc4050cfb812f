package command

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/operator"
)

func newDelete() *cobra.Command {
	c := &cobra.Command{
		Use:               "delete KIND NAME",
		Short:             "Delete a resource",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeKinds,
	}
	flags := addWriteFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		return flags.run(c, "deleted", func(ctx context.Context, server *client.Client, o client.WriteOptions) (operator.WriteResult, error) {
			return server.Delete(ctx, kind, args[1], o)
		})
	}
	return c
}
