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

// VMListClient implements hostapi.VMList over HTTP. It is safe for concurrent use.
type VMListClient struct {
	api apiClient

	mu sync.Mutex
	// cache holds the last VM list of each data centre. The list of a data centre
	// changes a few times an hour and is read twice a second.
	cache map[string]cachedVMList
}

var _ hostapi.VMList = (*VMListClient)(nil)

// NewVMListClient returns a client of the VM list at address, which is an IP
// address and port or a base URL. A nil client selects a new one from
// NewHTTPClient.
func NewVMListClient(address string, client *http.Client) *VMListClient {
	return &VMListClient{api: newAPIClient(address, client), cache: make(map[string]cachedVMList)}
}

// List returns all VMs of a data centre, or of all data centres if dataCentre
// is "".
func (c *VMListClient) List(ctx context.Context, dataCentre string) ([]hostapi.VM, error) {
	query := url.Values{}
	if dataCentre != "" {
		query.Set("dataCentre", dataCentre)
	}
	cached := c.cached(dataCentre)
	resp, err := c.api.sendConditional(ctx, http.MethodGet, vmsPath, query, nil, MaxVMListBytes, cached.etag)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	if resp.status == http.StatusNotModified && cached.etag != "" {
		return slices.Clone(cached.vms), nil
	}
	if resp.status != http.StatusOK {
		return nil, fmt.Errorf("list VMs: %w", DecodeErrorBody(resp.status, resp.body))
	}
	vms, err := DecodeVMs(resp.body)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache[dataCentre] = cachedVMList{etag: resp.etag, vms: slices.Clone(vms)}
	return vms, nil
}

// cached returns the cached VM list of a data centre.
func (c *VMListClient) cached(dataCentre string) cachedVMList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache[dataCentre]
}

// DecodeVMs parses a VM list. It returns an error for an entry without an id, a
// second entry with the same id, and a negative capacity.
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
