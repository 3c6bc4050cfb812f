package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cactusreel/cactusreel/boundedhttp"
	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/metrics"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/peer/peerpb"
	"github.com/cactusreel/cactusreel/tasks"
	"github.com/cactusreel/cactusreel/writer"
)

// Dump is the state of a process as served at /debug/state. Times are on the
// process's monotonic clock.
type Dump struct {
	VM          string                  `json:"vm"`
	DataCentre  string                  `json:"dataCentre"`
	Incarnation string                  `json:"incarnation"`
	Now         time.Duration           `json:"now"`
	Ready       string                  `json:"ready"`
	Stopping    bool                    `json:"stopping"`
	Resources   DumpResources           `json:"resources"`
	Log         DumpLog                 `json:"log"`
	Claims      []ownership.View        `json:"claims"`
	Cells       []DumpCell              `json:"cells"`
	Peers       []DumpPeer              `json:"peers"`
	Workers     []hostapi.VM            `json:"workers"`
	Requests    DumpRequests            `json:"requests"`
	Writers     map[string]writer.Stats `json:"writers"`
}

// DumpResources is the state of the resource store.
type DumpResources struct {
	Offset int64 `json:"offset"`
	// StartsUntil is the end of the start authority.
	StartsUntil time.Duration `json:"startsUntil"`
}

// DumpLog is the state of the log's client.
type DumpLog struct {
	// Direct is false while the log is reached only through peers, or not at all.
	Direct bool `json:"direct"`
	// ClaimsReadAt is when the last successful read of the claims stream was sent.
	ClaimsReadAt time.Duration `json:"claimsReadAt"`
	// ListReadAt is when the VM list was last read.
	ListReadAt time.Duration `json:"listReadAt"`
}

// DumpCell is the state of an owned cell.
type DumpCell struct {
	Cell      int                `json:"cell"`
	Term      int64              `json:"term"`
	Own       ownership.State    `json:"own"`
	Offset    int64              `json:"offset"`
	Accepting bool               `json:"accepting"`
	Tasks     []tasks.View       `json:"tasks"`
	Workers   []tasks.WorkerView `json:"workers"`
	Reasons   map[string]string  `json:"reasons"`
}

// DumpPeer is the state of a peer.
type DumpPeer struct {
	VM         string                  `json:"vm"`
	DataCentre string                  `json:"dataCentre"`
	Address    string                  `json:"address"`
	Reachable  bool                    `json:"reachable"`
	Summary    *peerpb.SummaryResponse `json:"summary,omitempty"`
}

// DumpRequests is the state of the request path.
type DumpRequests struct {
	InProgress  int   `json:"inProgress"`
	RequestIDs  int64 `json:"requestIds"`
	AnswerBytes int64 `json:"answerBytes"`
}

// Dump returns the state of the process.
func (n *Node) Dump() Dump {
	d := Dump{
		VM:          n.settings.VM,
		DataCentre:  n.settings.DataCentre,
		Incarnation: strconv.FormatUint(n.incarnation, 16),
		Now:         n.clock(),
		Ready:       "ready",
		Stopping:    n.stopping.Load(),
		Resources:   DumpResources{Offset: n.feed.store.View().Offset(), StartsUntil: n.startUntil()},
		Log:         DumpLog{Direct: n.log.DirectReachable(), ClaimsReadAt: n.claimsReadAt(), ListReadAt: n.currentVMList.Load().readAt},
		Writers:     make(map[string]writer.Stats),
	}
	if err := n.Ready(); err != nil {
		d.Ready = err.Error()
	}
	if claims := n.claims.Load(); claims != nil {
		d.Claims = claims.Views()
	}
	for _, r := range n.ownedRunners() {
		d.Cells = append(d.Cells, dumpCell(r.view()))
	}
	for _, p := range n.peers {
		d.Peers = append(d.Peers, n.dumpPeer(p))
	}
	for _, vm := range n.currentVMList.Load().workers {
		d.Workers = append(d.Workers, vm)
	}
	d.Requests.InProgress = n.proxy.InProgress()
	d.Requests.RequestIDs, d.Requests.AnswerBytes = n.tables.Usage()
	n.mu.Lock()
	defer n.mu.Unlock()
	for stream, w := range n.writers {
		d.Writers[stream] = w.Stats()
	}
	return d
}

func dumpCell(v *cellView) DumpCell {
	return DumpCell{
		Cell:      v.cell,
		Term:      v.term,
		Own:       v.ownState,
		Offset:    v.offset,
		Accepting: v.accepting,
		Tasks:     v.tasks,
		Workers:   v.workers,
		Reasons:   v.pendingReasons,
	}
}

func (n *Node) dumpPeer(p *peerState) DumpPeer {
	address := p.client.Address
	summary, ok := p.recentSummary(n.clock())
	return DumpPeer{VM: address.VM, DataCentre: address.DataCentre, Address: address.HostPort, Reachable: ok, Summary: summary}
}

// maxDiagnostics limits the metric pages and state dumps that are made at a time: each is built in
// memory.
const maxDiagnostics = 2

// diagnosticsHandler serves the metrics, and the state dump at /debug/state.
func (n *Node) diagnosticsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics.Handler(n.registry))
	mux.HandleFunc("GET /debug/state", n.serveDump)
	return boundedhttp.LimitRequests(mux, maxDiagnostics)
}

func (n *Node) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(n.Dump())
}
