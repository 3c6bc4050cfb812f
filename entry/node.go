package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/freshness"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/peer"
	"github.com/cactusreel/cactusreel/proxy"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/routing"
	"github.com/cactusreel/cactusreel/settings"
	"github.com/cactusreel/cactusreel/trace"
	"github.com/cactusreel/cactusreel/writer"
)

// taskBatchInterval is the minimum time between two batches of a task stream. At
// the planned scale, 176 streams with two batches per second use 352 of the
// several hundred appends per second that the log handles. Without the interval,
// each record of a busy cell would be a separate append.
const taskBatchInterval = 500 * time.Millisecond

// Node is the process of one entry VM.
type Node struct {
	settings    settings.Entry
	incarnation uint64
	clock       Clock
	events      *logevent.Logger
	registry    gometrics.Registry

	directLog    hostapi.Log
	log          *peer.RelayLog
	vmListClient hostapi.VMList
	httpClient   *http.Client
	// healthClient asks backend servers for their state, on a new connection each.
	healthClient *http.Client
	peers        []*peerState
	// pollRound counts the rounds of pollPeers. Only pollPeers uses it.
	pollRound int

	feed   *resourceFeed
	router *routing.Router
	tables *dedup.Store
	proxy  *proxy.Proxy
	copies *tableCopies

	latencies     *serverLatencies
	eventCounters map[proxy.EventKind]gometrics.Counter

	freshnessMu      sync.Mutex
	freshnessMachine *freshness.Machine
	freshUntil       atomic.Int64
	// caughtUp is set once the store has applied the head of the log, or the
	// newest head that the answering peers know.
	caughtUp atomic.Bool

	currentWork   atomic.Pointer[declaredWork]
	currentVMList atomic.Pointer[vmList]
	// recorder is nil unless the settings ask for a trace. tracedMachines counts
	// the machines declared in the trace.
	recorder       *trace.Recorder
	tracedMachines atomic.Uint64
	freshnessTrace tracedMachine
	claims         atomic.Pointer[claimsRunner]
	// drainingTerms maps each owned cell that is being drained of requests to its
	// term.
	drainingTerms sync.Map

	// runContext ends with Run. Writers use it, because a writer that ended with a
	// cell or a rescue could not be used for its stream again.
	runContext context.Context

	// mu guards the maps below.
	mu          sync.Mutex
	cellRunners map[int]*cellRunner
	writers     map[string]*writer.Writer
	// rescuers are changed by one loop only, under mu; other goroutines read them.
	rescuers map[string]*rescuer
	agents   map[string]agentEntry

	stopping         atomic.Bool
	stopped          chan struct{}
	stoppedOnce      sync.Once
	summaryMu        sync.Mutex
	publishedSummary publishedSummary
	background       sync.WaitGroup
}

// agentEntry is a worker agent's client and the address that it was made for.
type agentEntry struct {
	address string
	client  hostapi.WorkerAgent
}

// NewNode builds a node from its settings. It opens no listener and starts no
// goroutine.
func NewNode(s settings.Entry, events *logevent.Logger) (*Node, error) {
	n := &Node{
		settings:     s,
		incarnation:  rand.Uint64(),
		clock:        NewClock(),
		events:       events,
		registry:     gometrics.NewRegistry(),
		httpClient:   httpapi.NewHTTPClient(),
		healthClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		router:       routing.New(),
		cellRunners:  make(map[int]*cellRunner),
		writers:      make(map[string]*writer.Writer),
		rescuers:     make(map[string]*rescuer),
		agents:       make(map[string]agentEntry),
		stopped:      make(chan struct{}),
	}
	n.directLog = httpapi.NewLogClient(s.LogURL, n.httpClient)
	n.vmListClient = httpapi.NewVMListClient(s.VMListURL, n.httpClient)
	n.createPeers()
	n.log = peer.NewRelayLog(n.directLog, n.relayPeers, n.clock)
	n.freshnessMachine = freshness.New(n.freshnessConfig())
	n.tables = dedup.NewStore(dedup.Limits{
		Retention:  s.Times.RequestIDRetention,
		MaxRequest: s.Times.MaxRequest,
		MaxIDs:     int64(s.Limits.RequestTableEntries),
		MaxAnswers: dedup.DefaultLimits().MaxAnswers,
	})
	n.copies = newTableCopies()
	n.latencies = newServerLatencies()
	n.registerEventCounters()
	n.currentVMList.Store(&vmList{})
	if err := n.createProxy(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Node) createPeers() {
	transport := peer.NewTransport()
	for _, p := range n.settings.Others() {
		address := peer.Address{VM: p.VM, DataCentre: p.DataCentre, HostPort: p.Address}
		n.peers = append(n.peers, &peerState{client: peer.NewClient(address, transport)})
	}
	n.setPollRounds()
}

func (n *Node) createProxy() error {
	p, err := proxy.New(proxy.Config{
		VM:           n.settings.VM,
		Router:       n.router,
		Store:        n.tables,
		Directory:    &directory{node: n},
		Acknowledger: &acknowledger{node: n},
		Now:          n.clock,
		Random:       rand.Uint64,
		Limits: proxy.Limits{
			MaxRequest:      n.settings.Times.MaxRequest,
			ProgressTimeout: n.settings.Times.Progress,
			MaxHeaderBytes:  n.settings.Limits.MaxHeaderBytes,
			MaxBodyBytes:    n.settings.Limits.MaxBodyBytes,
			MaxConcurrent:   int64(n.settings.Limits.RequestsInProgress),
		},
		OnEvent: n.handleProxyEvent,
	})
	n.proxy = p
	return err
}

// relayPeers returns the clients of the peers that answered recently or have never
// answered, those of this data centre last: losing the log usually affects the
// whole data centre.
func (n *Node) relayPeers() []*peer.Client {
	now := n.clock()
	var near, far []*peer.Client
	for _, p := range n.peers {
		if _, ok := p.recentSummary(now); !ok && p.lastAnswerAt() > 0 {
			continue
		}
		if p.client.Address.DataCentre == n.settings.DataCentre {
			near = append(near, p.client)
			continue
		}
		far = append(far, p.client)
	}
	return append(far, near...)
}

// writerFor returns the writer of a stream. A stream has one writer until the
// process ends, because its sequence numbers must not restart.
func (n *Node) writerFor(stream string, wake func()) *writer.Writer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.writers[stream]; w != nil {
		return w
	}
	options := writer.Options{
		Stream:        stream,
		Incarnation:   n.incarnation,
		MaxBatchItems: n.settings.Limits.BatchRecords,
		MaxBatchBytes: n.settings.Limits.BatchBytes,
		AppendTimeout: n.settings.Times.LogTimeout,
		Appended:      func(string, int64) { wake() },
	}
	if stream == record.ClaimsStream(n.settings.DataCentre) || stream == record.ResourcesStream {
		// The ownership machine orders records by offset, and two changes of
		// one resource in one log record would get the same version.
		options.MaxBatchItems = 1
	} else {
		options.Interval = taskBatchInterval
	}
	w := writer.New(n.log, options)
	n.writers[stream] = w
	n.startBackground(func() { _ = w.Run(n.runContext) })
	return w
}

// startBackground runs f in a goroutine. Run waits for the goroutine to end.
func (n *Node) startBackground(f func()) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f()
	}()
}

// startPeriodic calls f in a goroutine, at an interval, until the context ends.
func (n *Node) startPeriodic(ctx context.Context, interval time.Duration, f func(context.Context)) {
	n.startBackground(func() {
		for sleep(ctx, interval) {
			f(ctx)
		}
	})
}
