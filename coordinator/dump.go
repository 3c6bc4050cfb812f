package coordinator

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/admission"
	"github.com/cactusreel/cactusreel/dispatch"
	"github.com/cactusreel/cactusreel/ledger"
)

// dumpTimeout is the maximum wait for a cell's goroutine.
const dumpTimeout = time.Second

// Dump is a summary of a node's state for debugging. Ages are in milliseconds.
type Dump struct {
	VM         string `json:"vm"`
	DataCentre string `json:"dataCentre"`
	Ready      bool   `json:"ready"`
	Reserve    bool   `json:"reserve"`
	// StoreAgeMillis is the time since the store's last response, JoinAgeMillis
	// since the last successful join of the group.
	StoreAgeMillis  int64 `json:"storeAgeMillis"`
	JoinAgeMillis   int64 `json:"joinAgeMillis"`
	ManifestVersion int64 `json:"manifestVersion"`
	// ManifestAgeMillis is the time since the last answered read of the manifest was sent.
	ManifestAgeMillis int64 `json:"manifestAgeMillis"`
	// Tenants are the names of the tenants.
	Tenants   []string   `json:"tenants,omitempty"`
	Evacuated []string   `json:"evacuated"`
	Cells     []CellDump `json:"cells"`
}

// CellDump is a node's view of a cell.
type CellDump struct {
	Number   int  `json:"number"`
	Assigned bool `json:"assigned"`
	Owned    bool `json:"owned"`
	// Owner is the owner that opened the newest epoch known to this node.
	Owner ledger.Owner `json:"owner"`
	// Rejecting are the queues and sizes of which this node rejects submissions, with what these can
	// expect.
	Rejecting map[string]admission.SizeOutlook `json:"rejecting,omitempty"`
	// Machine is set only for a cell that this node owns.
	Machine *dispatch.Dump `json:"machine,omitempty"`
}

// Dump returns a summary of the state. Machine is missing for a cell whose
// goroutine does not answer within dumpTimeout.
func (n *Node) Dump(ctx context.Context) Dump {
	d := Dump{
		VM: n.config.VM, DataCentre: n.config.DataCentre, Ready: n.Ready(), Reserve: n.isInReserve(),
		StoreAgeMillis: n.storeSilence().Milliseconds(),
		JoinAgeMillis:  n.joinAge().Milliseconds(),
	}
	if declared := n.declarations.Load(); declared != nil {
		if declared.Manifest != nil {
			d.ManifestVersion = declared.Manifest.Version
			for _, t := range declared.Manifest.Tenants.All() {
				d.Tenants = append(d.Tenants, t.Name)
			}
		}
		_, age := n.agedManifest()
		d.ManifestAgeMillis = age.Milliseconds()
		for dc := range declared.Evacuated {
			d.Evacuated = append(d.Evacuated, dc)
		}
		slices.Sort(d.Evacuated)
	}
	for _, c := range n.cells {
		d.Cells = append(d.Cells, c.dump(ctx))
	}
	return d
}

func (c *cell) dump(ctx context.Context) CellDump {
	d := CellDump{
		Number: c.number, Assigned: c.generation.Load() != 0, Owned: c.owning.Load(), Owner: c.node.owners.owner(c.number),
		Rejecting: c.rejectedSizes(),
	}
	if !d.Owned {
		return d
	}
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	answer := make(chan dispatch.Dump, 1)
	select {
	case c.dumpRequests <- answer:
	case <-ctx.Done():
		return d
	}
	select {
	case machine := <-answer:
		d.Machine = &machine
	case <-ctx.Done():
	}
	return d
}

// DumpHandler returns a handler that serves the Dump as JSON.
func (n *Node) DumpHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := json.MarshalIndent(n.Dump(r.Context()), "", "  ")
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// The write fails only if the client has disconnected.
		_, _ = w.Write(append(data, '\n'))
	})
}
