package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"

	"github.com/cactusreel/cactusreel/hostapi"
)

const vmsPath = "/vms"

// VMListClient is a hostapi.VMList over HTTP. It is safe for concurrent use.
type VMListClient struct {
	caller caller

	mu sync.Mutex
	// known holds the last answer by data centre. The list of a data centre
	// changes a few times an hour and is read twice a second.
	known map[string]taggedList
}

var _ hostapi.VMList = (*VMListClient)(nil)

// NewVMListClient returns a client of the VM list at an IP address and port,
// or at a base URL. A nil client stands for NewHTTPClient.
func NewVMListClient(address string, client *http.Client) *VMListClient {
	return &VMListClient{caller: newCaller(address, client), known: make(map[string]taggedList)}
}

// List returns all VMs of a data centre, or of all if dataCentre is "".
func (c *VMListClient) List(ctx context.Context, dataCentre string) ([]hostapi.VM, error) {
	query := url.Values{}
	if dataCentre != "" {
		query.Set("dataCentre", dataCentre)
	}
	known := c.last(dataCentre)
	reply, err := c.caller.sendTagged(ctx, http.MethodGet, vmsPath, query, nil, MaxVMListBytes, known.tag)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	if reply.status == http.StatusNotModified && known.tag != "" {
		return slices.Clone(known.vms), nil
	}
	if reply.status != http.StatusOK {
		return nil, fmt.Errorf("list VMs: %w", DecodeErrorBody(reply.status, reply.body))
	}
	vms, err := DecodeVMs(reply.body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[dataCentre] = taggedList{tag: reply.tag, vms: slices.Clone(vms)}
	return vms, nil
}

// last returns the last answer for a data centre.
func (c *VMListClient) last(dataCentre string) taggedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known[dataCentre]
}

// DecodeVMs parses a VM list. It refuses an entry without an id, a second
// entry with the same id, and a negative capacity.
func DecodeVMs(data []byte) ([]hostapi.VM, error) {
	var vms []hostapi.VM
	err := decodeJSON(data, &vms)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	seen := make(map[string]bool, len(vms))
	for _, vm := range vms {
		if vm.ID == "" || seen[vm.ID] {
			return nil, fmt.Errorf("VM list: id %q is empty or listed twice", vm.ID)
		}
		seen[vm.ID] = true
		if !(hostapi.Resources{}).Fits(vm.Capacity) || vm.Slots < 0 || vm.Connections < 0 {
			return nil, fmt.Errorf("VM list: %s has a negative capacity", vm.ID)
		}
	}
	return vms, nil
}
