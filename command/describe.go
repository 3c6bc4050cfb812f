package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/api"
)

func newDescribe() *cobra.Command {
	c := &cobra.Command{
		Use:               "describe KIND NAME",
		Short:             "Show the spec, status and conditions of a resource",
		Args:              cobra.ExactArgs(2),
		ValidArgsFunction: completeKinds,
	}
	conn := addConnectionFlags(c)
	c.RunE = func(c *cobra.Command, args []string) error {
		kind, err := parseKind(args[0])
		if err != nil {
			return err
		}
		list, err := conn.fetch(c.Context(), kind, args[1:])
		if err != nil {
			return err
		}
		return describe(c.OutOrStdout(), list[0])
	}
	return c
}

func describe(w io.Writer, r api.Resource) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name string, value any) { _, _ = fmt.Fprintf(t, "%s:\t%v\n", name, value) }
	line("Kind", r.Kind)
	line("Name", r.Name)
	line("Version", r.Version)
	line("Created", fmt.Sprintf("version %d", r.Created))
	if len(r.Homes) > 0 {
		line("Homes", joinHomes(r.Homes))
	}
	if s := r.Status; s != nil {
		line("Pending", s.Pending)
		line("Running", s.Running)
		line("Completed", s.Completed)
		line("Failed", s.Failed)
		line("Evictions", s.Evictions)
		if s.UnknownCells > 0 {
			line("Unknown", fmt.Sprintf("%d cells did not answer; the counts are too low", s.UnknownCells))
		}
		for _, condition := range s.Conditions {
			line("Condition", fmt.Sprintf("%s is %s (%s): %s", condition.Type, condition.Status, condition.Reason, condition.Message))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return describeSpec(w, r)
}

// describeSpec writes the spec in the format that apply reads.
func describeSpec(w io.Writer, r api.Resource) error {
	spec := api.Resource{Service: r.Service, Job: r.Job, Pool: r.Pool, DataCentre: r.DataCentre, Team: r.Team, Weights: r.Weights}
	spec.Kind, spec.Name = r.Kind, r.Name
	data, err := json.MarshalIndent(spec, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "Spec:\n%s\n", data)
	return err
}

func joinHomes(list []api.Home) string {
	names := make([]string, len(list))
	for i, home := range list {
		names[i] = home.DataCentre
	}
	return strings.Join(names, ", ")
}
