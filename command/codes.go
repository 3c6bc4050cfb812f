package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/result"
)

const codesPageHead = `# Result codes

This page is generated from the table in package result:
` + "`cactusreel codes --markdown > docs/result-codes.md`" + `.

Every answer of cactusreel carries its code in the header ` + "`Cactusreel-Result`" + `;
an answer of a backend server carries 0. The column "had effect" tells whether
the request took effect. "unknown" never means "no": repeat with the same id.

| code | name | HTTP status | had effect | meaning | what to do |
|---|---|---|---|---|---|
`

func newCodes() *cobra.Command {
	var markdown bool
	c := &cobra.Command{
		Use:   "codes",
		Short: "List the result codes",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if markdown {
				_, err := io.WriteString(c.OutOrStdout(), CodesMarkdown())
				return err
			}
			return writeCodes(c.OutOrStdout())
		},
	}
	c.Flags().BoolVar(&markdown, "markdown", false, "write the page docs/result-codes.md")
	return c
}

// CodesMarkdown returns the page docs/result-codes.md.
func CodesMarkdown() string {
	var b strings.Builder
	b.WriteString(codesPageHead)
	for _, info := range result.Table() {
		fmt.Fprintf(&b, "| %d | %s | %d | %s | %s | %s |\n", info.Code, info.Name, info.HTTPStatus, info.Ran, info.Meaning, info.Remedy)
	}
	return b.String()
}

func writeCodes(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "CODE\tNAME\tHTTP\tHAD EFFECT\tMEANING")
	for _, info := range result.Table() {
		_, _ = fmt.Fprintf(t, "%d\t%s\t%d\t%s\t%s\n", info.Code, info.Name, info.HTTPStatus, info.Ran, info.Meaning)
	}
	return t.Flush()
}
