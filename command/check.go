package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/manifestcheck"
)

// checkReport is what a check of a manifest finds.
type checkReport struct {
	Findings []manifestcheck.Finding `json:"findings"`
	Changes  []manifestcheck.Change  `json:"changes,omitempty"`
}

// errManifestMistakes means that a manifest has mistakes that keep it from being sent.
var errManifestMistakes = errors.New("the manifest has errors")

func newCheck(o Options) *cobra.Command {
	inForce, output := "", "text"
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a manifest before it is sent, and show what it changes",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if output != "text" && output != "json" {
				return usageErrorf("-o %s: want text or json", output)
			}
			report, err := checkManifest(o, args[0], inForce)
			if err != nil {
				return err
			}
			if err := report.write(c.OutOrStdout(), args[0], output); err != nil {
				return err
			}
			if manifestcheck.HasErrors(report.Findings) {
				return errManifestMistakes
			}
			return nil
		},
	}
	c.Flags().StringVar(&inForce, "in-force", "", "the manifest in force, to compare with")
	c.Flags().StringVarP(&output, "output", "o", output, "text or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"text", "json"}, cobra.ShellCompDirectiveNoFileComp))
	return c
}

func checkManifest(o Options, path, inForcePath string) (*checkReport, error) {
	document, findings, err := readManifestFile(o, path)
	if err != nil {
		return nil, err
	}
	findings = append(findings, manifestcheck.Check(document)...)
	report := &checkReport{}
	if inForcePath != "" {
		inForce, unread, err := readManifestFile(o, inForcePath)
		if err != nil {
			return nil, err
		}
		if manifestcheck.HasErrors(unread) {
			return nil, usageErrorf("%s is not a manifest that can be in force: %v", inForcePath, unread[0])
		}
		changes, more := manifestcheck.Compare(inForce, document)
		report.Changes, findings = changes, append(findings, more...)
	}
	manifestcheck.Sort(findings)
	report.Findings = findings
	return report, nil
}

func readManifestFile(o Options, path string) (*manifestcheck.Document, []manifestcheck.Finding, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &ExitError{Code: ExitUsage, Err: fmt.Errorf("read manifest: %w", err)}
	}
	document, findings := o.ReadManifest(data)
	return document, findings, nil
}

func (r *checkReport) write(w io.Writer, path, output string) error {
	if output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(w, "%s:%v\n", path, f); err != nil {
			return err
		}
	}
	for _, change := range r.Changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	if len(r.Findings) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%s: no mistakes\n", path)
	return err
}
