package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// Default values of the flags.
const (
	defaultRetentionRecords = 200_000
	defaultRetentionAge     = time.Hour
	defaultAppendLatency    = 5 * time.Millisecond
	defaultReadLatency      = 2 * time.Millisecond
	defaultAppendsPerSecond = 500
	defaultListLag          = 2 * time.Second
	defaultUsageInterval    = 500 * time.Millisecond
	defaultUsageLag         = 2 * time.Second
)

// commandFlags holds the values of the flags.
type commandFlags struct {
	options     Options
	topology    string
	dataCentres []string
	workers     int
	racks       int
	entries     []string
}

// NewCommand returns the command "standin". When it is ready, it prints its
// Addresses as one line of JSON. On SIGTERM or SIGINT it stops without an error.
func NewCommand() *cobra.Command {
	var flags commandFlags
	command := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for the platform on loopback (development only)",
		Long: `Run a stand-in for the platform on loopback: the log, the VM list, the worker
agents with simulated tasks, and the backend server of each worker.

When it is ready it prints one JSON line with its addresses. At the address
"admin", POST /fault switches faults on and off, GET /history returns what the
workers and servers did, GET /events the same as events for the checker, and
GET /addresses the addresses. SIGTERM stops it.`,
		Example: `  standin --topology standin/testdata/consortium.json
  standin --data-centres giza,maadi --workers 5 --racks 2 --entry giza/e0=127.0.0.1:7110
  curl -d '{"kind":"responseLost","target":"log/giza","count":3}' http://ADMIN/fault
  curl -d '{"kind":"down","target":"log"}' http://ADMIN/fault
  curl -d '{"kind":"down","target":"log","off":true}' http://ADMIN/fault
  curl -d '{"kind":"workerDown","target":"rack/giza-r1"}' http://ADMIN/fault`,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			topology, err := flags.readTopology(cmd.InOrStdin())
			if err != nil {
				return err
			}
			return runPlatform(ctx, topology, flags.options, cmd.OutOrStdout())
		},
	}
	flags.register(command)
	return command
}

func (f *commandFlags) register(command *cobra.Command) {
	set := command.Flags()
	set.StringVar(&f.topology, "topology", "", "JSON topology file, or - for standard input")
	set.StringSliceVar(&f.dataCentres, "data-centres", []string{"dc-a"}, "names of the data centres, without --topology")
	set.IntVar(&f.workers, "workers", 5, "workers per data centre, without --topology")
	set.IntVar(&f.racks, "racks", 1, "racks per data centre, without --topology")
	set.StringArrayVar(&f.entries, "entry", nil, "entry VM as DATACENTRE/ID=IP:PORT, repeatable, without --topology")
	o := &f.options
	set.StringVar(&o.IP, "ip", DefaultIP, "IPv4 loopback address to listen on")
	set.StringVar(&o.AdminAddress, "admin", "", "IP:PORT of the admin endpoint, any port by default")
	set.IntVar(&o.Retention.Records, "retention-records", defaultRetentionRecords, "records kept per log stream, 0 for all")
	set.DurationVar(&o.Retention.Age, "retention-age", defaultRetentionAge, "how long the log keeps a record, 0 for ever")
	set.DurationVar(&o.AppendLatency, "append-latency", defaultAppendLatency, "latency of log appends")
	set.DurationVar(&o.ReadLatency, "read-latency", defaultReadLatency, "latency of log reads")
	set.IntVar(&o.AppendsPerSecond, "appends-per-second", defaultAppendsPerSecond, "maximum log appends per second, 0 for no limit")
	set.DurationVar(&o.MaxRequestTime, "max-request-time", DefaultMaxRequestTime, "maximum work time of a request")
	set.BoolVar(&o.IgnoreTerms, "ignore-terms", false, "backend servers run requests of any term")
	set.DurationVar(&o.VMListLag, "list-lag", defaultListLag, "lag of the VM list")
	set.DurationVar(&o.UsageInterval, "usage-interval", defaultUsageInterval, "time between usage measurements")
	set.DurationVar(&o.UsageLag, "usage-lag", defaultUsageLag, "lag of usage reports")
}

// readTopology reads the topology file, or builds the topology from the flags if
// there is no file.
func (f *commandFlags) readTopology(stdin io.Reader) (Topology, error) {
	if f.topology == "" {
		return f.topologyFromFlags()
	}
	source := stdin
	if f.topology != "-" {
		file, err := os.Open(f.topology)
		if err != nil {
			return Topology{}, err
		}
		defer file.Close()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, MaxTopologyBytes+1))
	if err != nil {
		return Topology{}, fmt.Errorf("topology: %w", err)
	}
	return DecodeTopology(data)
}

func (f *commandFlags) topologyFromFlags() (Topology, error) {
	var topology Topology
	indexes := make(map[string]int)
	for i, name := range f.dataCentres {
		indexes[name] = i
		topology.DataCentres = append(topology.DataCentres, DataCentre{Name: name, Racks: f.racks, Workers: f.workers})
	}
	for _, text := range f.entries {
		name, address, found := strings.Cut(text, "=")
		dataCentre, id, hasID := strings.Cut(name, "/")
		index, known := indexes[dataCentre]
		if !found || !hasID || !known {
			return Topology{}, fmt.Errorf("flag --entry: %q is not DATACENTRE/ID=IP:PORT of a data centre", text)
		}
		dc := &topology.DataCentres[index]
		dc.Entries = append(dc.Entries, EntryVM{ID: id, Address: address})
	}
	return topology, topology.check()
}

func runPlatform(ctx context.Context, topology Topology, options Options, out io.Writer) error {
	p, err := Start(topology, options)
	if err != nil {
		return err
	}
	err = json.NewEncoder(out).Encode(p.Addresses())
	if err != nil {
		return errors.Join(fmt.Errorf("print addresses: %w", err), p.Close())
	}
	<-ctx.Done()
	return p.Close()
}
