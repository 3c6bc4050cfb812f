package command

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/result"
)

// serversVariable is the environment variable with the default of --server.
const serversVariable = "CACTUSREEL_SERVERS"

const (
	defaultServer  = "http://127.0.0.1:8080"
	defaultTimeout = 15 * time.Second
)

// connection holds the flags that are common to the commands that call an entry
// VM.
type connection struct {
	servers []string
	timeout time.Duration
}

// addConnectionFlags adds the flags of connection to a command.
func addConnectionFlags(c *cobra.Command) *connection {
	servers := []string{defaultServer}
	if fromEnvironment := os.Getenv(serversVariable); fromEnvironment != "" {
		servers = strings.Split(fromEnvironment, ",")
	}
	conn := &connection{}
	c.Flags().StringSliceVar(&conn.servers, "server", servers, "base URL of an entry VM; several are tried in turn (or "+serversVariable+")")
	c.Flags().DurationVar(&conn.timeout, "timeout", defaultTimeout, "time limit of one request")
	return conn
}

func (conn *connection) client() (*client.Client, error) {
	c, err := client.New(conn.servers)
	if err != nil {
		return nil, usageErrorf("--server: %w", err)
	}
	if conn.timeout <= 0 {
		return nil, usageErrorf("--timeout is %s; accepted: more than 0", conn.timeout)
	}
	return c, nil
}

// withTimeout returns a context with the timeout of one request.
func (conn *connection) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, conn.timeout)
}

// kindNames maps the singular names that operators may use to kinds.
var kindNames = map[string]api.Kind{
	"service":    api.KindService,
	"job":        api.KindJob,
	"pool":       api.KindPool,
	"datacentre": api.KindDataCentre,
	"team":       api.KindTeam,
}

func parseKind(text string) (api.Kind, error) {
	if kind, ok := kindNames[strings.ToLower(text)]; ok {
		return kind, nil
	}
	if kind := api.Kind(strings.ToLower(text)); kind.Known() {
		return kind, nil
	}
	return "", usageErrorf("kind %q; accepted: services, jobs, pools, datacentres, teams or weights", text)
}

// completeKinds completes the first argument with the kinds.
func completeKinds(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	var names []string
	for _, kind := range api.Kinds() {
		names = append(names, string(kind))
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

// withExitCode wraps an error of a request to an entry VM with its exit code.
func withExitCode(err error) error {
	switch result.CodeOf(err, result.PeerUnavailable) {
	case result.OK:
		return nil
	case result.WriteOutcomeUnknown, result.OutcomeUnknown:
		return &ExitError{Code: ExitOutcomeUnknown, Err: err}
	}
	return &ExitError{Code: ExitFailed, Err: err}
}
