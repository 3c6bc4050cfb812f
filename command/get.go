package command

import (
	"context"
	"encoding/json"
	"io"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/api"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func newGet() *cobra.Command {
	var format string
	c := &cobra.Command{
		Use:               "get KIND [NAME]",
		Short:             "List the resources of a kind, or show one",
		Long:              "List the resources of a kind, or show one. The output of -o json can be given to apply.",
		Args:              cobra.RangeArgs(1, 2),
		ValidArgsFunction: completeKinds,
	}
	conn := addConnectionFlags(c)
	c.Flags().StringVarP(&format, "output", "o", formatTable, "table or json")
	c.RunE = func(c *cobra.Command, args []string) error {
		if err := checkFormat(format); err != nil {
			return err
		}
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		list, err := conn.fetch(c.Context(), kind, args[1:])
		if err != nil {
			return err
		}
		switch {
		case format == formatTable:
			return writeTable(c.OutOrStdout(), kind, list)
		case len(args) == 2:
			return writeJSON(c.OutOrStdout(), list[0])
		}
		return writeJSON(c.OutOrStdout(), list)
	}
	return c
}

func checkFormat(format string) error {
	if format != formatTable && format != formatJSON {
		return usageErrorf("--output is %q; accepted: table or json", format)
	}
	return nil
}

// fetch returns the named resource, or all of the kind if there is no name.
func (conn *connection) fetch(ctx context.Context, kind api.Kind, names []string) ([]api.Resource, error) {
	server, err := conn.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := conn.withTimeout(ctx)
	defer cancel()
	if len(names) == 0 {
		list, err := server.ListWithStatus(ctx, kind)
		return list.Items, withExitCode(err)
	}
	r, err := server.Get(ctx, kind, names[0])
	return []api.Resource{r}, withExitCode(err)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
