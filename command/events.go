package command

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/logevent"
)

func newEvents() *cobra.Command {
	var markdown bool
	c := &cobra.Command{
		Use:   "events",
		Short: "List the log events",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if markdown {
				_, err := io.WriteString(c.OutOrStdout(), logevent.Markdown())
				return err
			}
			return writeEvents(c.OutOrStdout())
		},
	}
	c.Flags().BoolVar(&markdown, "markdown", false, "write the page docs/log-events.md")
	return c
}

func writeEvents(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "EVENT\tNAME\tLEVEL\tMESSAGE")
	for _, info := range logevent.Table() {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\n", info.Number, info.Name, info.Level, info.Message)
	}
	return t.Flush()
}
