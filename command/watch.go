package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/operator"
)

func newWatch() *cobra.Command {
	var format string
	c := &cobra.Command{
		Use:   "watch KIND",
		Short: "List the resources of a kind and show their changes",
		Long: "List the resources of a kind and show their changes until the command is interrupted.\n" +
			"It reconnects by itself, and lists again if it missed more changes than are kept.",
		Args:              cobra.ExactArgs(1),
		ValidArgsFunction: completeKinds,
	}
	conn := addConnectionFlags(c)
	c.Flags().StringVarP(&format, "output", "o", formatTable, "table or json (one object per line)")
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := checkFormat(format); err != nil {
			return err
		}
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		server, err := conn.client()
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		err = server.Follow(ctx, kind, func(line operator.WatchLine) error {
			return writeChange(c.OutOrStdout(), format, line)
		})
		if errors.Is(err, context.Canceled) {
			return nil
		}
		return withExitCode(err)
	}
	return c
}

// writeChange writes one line of a watch; bookmarks are written in JSON only.
func writeChange(w io.Writer, format string, line operator.WatchLine) error {
	if format == formatJSON {
		return json.NewEncoder(w).Encode(line)
	}
	if line.Resource == nil {
		return nil
	}
	_, err := fmt.Fprintf(w, "%-7s%d\t%s/%s\n", line.Type, line.Version, line.Resource.Kind, line.Resource.Name)
	return err
}
