package command

import "github.com/spf13/cobra"

func newDump() *cobra.Command {
	c := &cobra.Command{
		Use:   "dump",
		Short: "Write the state dump of an entry VM",
		Args:  cobra.NoArgs,
	}
	conn := addConnectionFlags(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		server, err := conn.client()
		if err != nil {
			return err
		}
		ctx, cancel := conn.withTimeout(c.Context())
		defer cancel()
		return withExitCode(server.DumpState(ctx, c.OutOrStdout()))
	}
	return c
}
