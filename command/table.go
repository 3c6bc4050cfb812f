package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/hostapi"
)

// columnHeadings holds the column headings of each kind after NAME and VERSION.
var columnHeadings = map[api.Kind]string{
	api.KindService:    "TEAM\tKIND\tREPLICAS\tRUNNING\tPENDING\tP99 TARGET\tCRITICALITY\tPER REPLICA",
	api.KindJob:        "TEAM\tKIND\tTASKS\tRUNNING\tPENDING\tCOMPLETED\tPRIORITY\tCANCELLED\tPER TASK",
	api.KindPool:       "DATA CENTRES\tWORKERS",
	api.KindDataCentre: "IN SERVICE\tCELLS\tDRAIN",
	api.KindTeam:       "QUOTA\tMAY BORROW",
	api.KindWeights:    "TAIL LATENCY\tDATA CENTRE CHANGES\tEVICTIONS\tTHROUGHPUT",
}

// writeTable writes one line per resource. Counts of tasks are "-" for a resource
// without a status.
func writeTable(w io.Writer, kind api.Kind, list []api.Resource) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "NAME\tVERSION\t%s\n", columnHeadings[kind])
	for _, r := range list {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\n", r.Name, r.Version, strings.Join(columnValues(r), "\t"))
	}
	return t.Flush()
}

// columnValues returns the values of a resource in the columns of its kind.
func columnValues(r api.Resource) []string {
	switch {
	case r.Service != nil:
		s := r.Service
		return formatValues(s.Team, s.TaskKind, s.Replicas, formatCount(r.Status, runningOf), formatCount(r.Status, pendingOf), fmt.Sprintf("%dms", s.TargetP99Millis), s.Criticality, formatResources(s.Requests))
	case r.Job != nil:
		j := r.Job
		return formatValues(j.Team, j.TaskKind, j.Tasks, formatCount(r.Status, runningOf), formatCount(r.Status, pendingOf), formatCount(r.Status, completedOf), j.Priority, yesNo(j.Cancelled), formatResources(j.Requests))
	case r.Pool != nil:
		return formatValues(joinNamesOrAll(r.Pool.DataCentres), joinNamesOrAll(r.Pool.Workers))
	case r.DataCentre != nil:
		return formatValues(yesNo(r.DataCentre.InService), r.DataCentre.Cells, fmt.Sprintf("%ds", r.DataCentre.DrainSeconds))
	case r.Team != nil:
		return formatValues(formatResources(r.Team.Quota), yesNo(r.Team.MayBorrow))
	case r.Weights != nil:
		return formatValues(r.Weights.TailLatency, r.Weights.DataCentreChanges, r.Weights.Evictions, r.Weights.Throughput)
	}
	return nil
}

func formatValues(values ...any) []string {
	list := make([]string, len(values))
	for i, v := range values {
		list[i] = fmt.Sprint(v)
	}
	return list
}

func runningOf(s *api.Status) int   { return s.Running }
func pendingOf(s *api.Status) int   { return s.Pending }
func completedOf(s *api.Status) int { return s.Completed }

func formatCount(s *api.Status, field func(*api.Status) int) string {
	if s == nil {
		return "-"
	}
	return fmt.Sprint(field(s))
}

func formatResources(r hostapi.Resources) string {
	s := fmt.Sprintf("%gc %dMiB", float64(r.MilliCPU)/1000, r.MemoryMiB)
	if r.Accelerators > 0 {
		s += fmt.Sprintf(" %da", r.Accelerators)
	}
	return s
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// maxNamesShown bounds the number of names in one column value.
const maxNamesShown = 4

func joinNamesOrAll(names []string) string {
	switch {
	case len(names) == 0:
		return "all"
	case len(names) > maxNamesShown:
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamesShown], ","), len(names)-maxNamesShown)
	}
	return strings.Join(names, ",")
}
