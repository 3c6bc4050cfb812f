package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/boundedhttp"
	"github.com/cactusreel/cactusreel/connbudget"
	"github.com/cactusreel/cactusreel/freshness"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/trace"
)

// Intervals of the node's loops.
const (
	freshnessTickInterval    = 100 * time.Millisecond
	peerPollInterval         = 300 * time.Millisecond
	routeUpdateInterval      = 250 * time.Millisecond
	authorityRefreshInterval = 100 * time.Millisecond
	tableCopyInterval        = 500 * time.Millisecond
	expireInterval           = 10 * time.Second
	gaugeInterval            = time.Second
)

// headerTimeout is the maximum time to read the headers of a request.
const headerTimeout = 5 * time.Second

// idleTimeout is the maximum time for which an unused connection stays open.
const idleTimeout = 2 * time.Minute

// ErrRequestsCutOff means that a planned stop ended while requests were still in
// progress.
var ErrRequestsCutOff = errors.New("requests in progress were cut off")

// Run serves until stop is closed or receives a value, then carries out the planned
// stop. A second value on stop ends it at once. It returns nil after a complete
// planned stop, and ErrRequestsCutOff if requests were cut off.
func (n *Node) Run(ctx context.Context, stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	n.runContext = ctx
	defer n.startTrace()()
	defer n.background.Wait()
	defer cancel()
	callerListener, peerListener, err := n.listen()
	if err != nil {
		return err
	}
	n.events.Log(logevent.ProcessStarted, zap.String("vm", n.settings.VM), zap.String("dataCentre", n.settings.DataCentre))
	n.startResourceFeed(ctx)
	n.startLoops(ctx)
	failed := make(chan error, 2)
	callers := boundedhttp.NewListener("callers", callerListener, n.clientBudget())
	peers := boundedhttp.NewListener("peers", peerListener, n.clientBudget())
	n.startBackground(func() { boundedhttp.Watch(ctx, []*boundedhttp.Listener{callers, peers}, n.registry, n.events) })
	callerServer := n.serve(callers, n.callerHandler(), failed)
	peerServer := n.serve(peers, n.peerHandler(), failed)
	select {
	case <-stop:
	case err = <-failed:
		return err
	}
	return n.stopServing(stop, callerServer, peerServer)
}

func (n *Node) listen() (callerListener, peerListener net.Listener, err error) {
	callerListener, err = net.Listen("tcp", n.settings.ListenCallers)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for callers: %w", err)
	}
	peerListener, err = net.Listen("tcp", n.settings.ListenPeers)
	if err != nil {
		_ = callerListener.Close()
		return nil, nil, fmt.Errorf("listen for peers: %w", err)
	}
	return callerListener, peerListener, nil
}

// startResourceFeed starts to follow the resources stream.
func (n *Node) startResourceFeed(ctx context.Context) {
	w := n.writerFor(record.ResourcesStream, func() { n.feed.follower.readNow() })
	n.feed = newResourceFeed(n.log, w, n.events, n.clock, n.settings.Times.LogPoll)
	n.feed.trace = n.traceMachine(trace.Resources, n.settings.VM, resources.Limits{})
	n.freshnessTrace = n.traceMachine(trace.Freshness, n.settings.VM, n.freshnessConfig())
	n.feed.onRead = func(head int64, sentAt time.Duration) {
		if n.feed.store.View().Offset() >= head {
			n.caughtUp.Store(true)
		}
		n.stepFreshness(ctx, freshness.DirectRead{SentAt: sentAt, Head: head})
	}
	n.feed.onApplied = func(offset int64) { n.resourcesApplied(ctx, offset) }
	n.startBackground(func() { n.feed.run(ctx) })
}

func (n *Node) startLoops(ctx context.Context) {
	t := n.settings.Times
	n.readVMList(ctx)
	n.startPeriodic(ctx, t.LeavingPoll, n.readVMList)
	n.startPeriodic(ctx, peerPollInterval, n.pollPeers)
	n.startPeriodic(ctx, routeUpdateInterval, n.updateRoutes)
	n.startPeriodic(ctx, authorityRefreshInterval, n.refreshAuthority)
	n.startPeriodic(ctx, tableCopyInterval, n.copyTables)
	n.startPeriodic(ctx, t.LeavingPoll, n.pollBackends)
	n.startPeriodic(ctx, gaugeInterval, n.updateGauges)
	n.startPeriodic(ctx, changeLogInterval, newChangeLog(n).logChanges)
	n.startPeriodic(ctx, rescueInterval, n.updateRescuers)
	n.startPeriodic(ctx, cleanupInterval, newJobCleanup(n).step)
	n.startPeriodic(ctx, gaugeInterval, n.snapshotResourcesIfDue)
	n.startPeriodic(ctx, freshnessTickInterval, func(ctx context.Context) { n.stepFreshness(ctx, freshness.Tick{}) })
	n.startPeriodic(ctx, expireInterval, func(context.Context) { n.tables.Expire(n.clock()) })
}

// clientBudget returns the limits of a listener.
func (n *Node) clientBudget() connbudget.Config {
	l := n.settings.Limits
	return connbudget.Config{
		Bytes: l.ClientMemory, Connections: l.ClientConnections, ConnectionBytes: boundedhttp.ConnectionBytes,
		Window: boundedhttp.ProgressScans, WindowBytes: l.ClientProgress,
	}
}

// serve starts an HTTP server on a listener.
func (n *Node) serve(l net.Listener, h http.Handler, failed chan<- error) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    n.settings.Limits.MaxHeaderBytes,
	}
	if bounded, ok := l.(*boundedhttp.Listener); ok {
		bounded.Attach(s)
	}
	n.startBackground(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	return s
}

// callerHandler returns the handler for callers and operators.
func (n *Node) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/s/", boundedhttp.Streamed(n.proxy.Handler()))
	mux.Handle("/v1/", operator.New(operator.Config{
		Store:      n.feed.store,
		Readiness:  n,
		Submitter:  &submitter{feed: n.feed, wait: n.settings.Times.WriteWait},
		Status:     &statusSource{node: n},
		RequestIDs: n,
		MaxWatches: n.settings.Limits.Watches,
		Stopping:   n.stopped,
	}))
	diagnostics := n.diagnosticsHandler()
	mux.Handle("GET /metrics", diagnostics)
	mux.Handle("GET /debug/state", diagnostics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	return mux
}

// peerHandler returns the handler for other entry VMs. It also serves profiles,
// which callers must not reach.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/s/", boundedhttp.Streamed(n.proxy.PeerHandler()))
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(&peerServer{node: n}))
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// NewRequestID implements operator.RequestIDs.
func (n *Node) NewRequestID(context.Context) (string, error) {
	return n.proxy.IssueID()
}

// stopServing carries out the planned stop and closes the servers. Requests that
// are still in progress at its end are cut off: they get no answer, and the error
// is ErrRequestsCutOff. Event StopCutOff is logged after the connections are closed,
// so that no request is answered after it.
func (n *Node) stopServing(secondStop <-chan struct{}, servers ...*http.Server) error {
	remaining := n.runPlannedStop(secondStop)
	if remaining > 0 {
		closeServers(servers)
		n.events.Log(logevent.StopCutOff, zap.Int("requests", remaining))
		return fmt.Errorf("%w: %d", ErrRequestsCutOff, remaining)
	}
	n.events.Log(logevent.StopFinished)
	shutDownServers(servers)
	return nil
}

// runPlannedStop carries out the planned stop: it reports not ready, releases the
// cells while requests in progress finish, and waits for the leave record. A value
// on secondStop ends it at once. It returns the number of requests still in
// progress.
func (n *Node) runPlannedStop(secondStop <-chan struct{}) int {
	n.events.Log(logevent.StopRequested)
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.Times.StopDeadline)
	defer cancel()
	go func() {
		select {
		case <-secondStop:
			cancel()
		case <-ctx.Done():
		}
	}()
	sleep(ctx, n.settings.Times.BalancerDelay)
	claims := n.claims.Load()
	if claims != nil {
		claims.send(ownership.StopRequested{})
	} else {
		n.stopCompleted()
	}
	remaining := n.proxy.Drain(ctx)
	select {
	case <-n.stopped:
	case <-ctx.Done():
	}
	return remaining
}

// closeTimeout bounds the shutdown of the HTTP servers after requests have ended.
const closeTimeout = time.Second

// shutDownServers closes the servers once their connections are idle, at the latest
// after closeTimeout.
func shutDownServers(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			_ = s.Close()
		}
	}
}

// closeServers closes the servers and all their connections at once.
func closeServers(servers []*http.Server) {
	for _, s := range servers {
		_ = s.Close()
	}
}
