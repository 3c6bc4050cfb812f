package entry

import (
	"context"
	"net/http"

	"github.com/cactusreel/cactusreel/routing"
)

// headerLeaving is the response header with which a backend server announces
// that it is leaving.
const headerLeaving = "Cactusreel-Leaving"

// maxHealthRequests bounds the concurrent health requests of one polling round.
const maxHealthRequests = 32

// pollBackends asks the backend servers of owned cells whether they are leaving.
// It skips servers that have already announced it, and those whose boot id is not
// the worker's current one.
func (n *Node) pollBackends(ctx context.Context) {
	limit := make(chan struct{}, maxHealthRequests)
	boots := n.workerBoots()
	for _, server := range n.router.Servers() {
		if server.Leaving() || boots[server.Worker().ID()] != server.Boot() {
			continue
		}
		limit <- struct{}{}
		n.startBackground(func() {
			defer func() { <-limit }()
			n.pollBackend(ctx, server)
		})
	}
}

// workerBoots returns the boot id of each worker of owned cells, by worker id.
func (n *Node) workerBoots() map[string]string {
	boots := make(map[string]string)
	for _, r := range n.ownedRunners() {
		for _, w := range r.view().workers {
			boots[w.ID] = w.Boot
		}
	}
	return boots
}

// leavingServers returns the workers whose backend servers have announced that
// they are leaving, with the boot id that made the announcement.
func (n *Node) leavingServers() map[string]string {
	leaving := make(map[string]string)
	boots := n.workerBoots()
	for _, server := range n.router.Servers() {
		if id := server.Worker().ID(); server.Leaving() && boots[id] == server.Boot() {
			leaving[id] = server.Boot()
		}
	}
	return leaving
}

// pollBackend asks one server on a separate connection, which counts against the
// worker's connection limit.
func (n *Node) pollBackend(ctx context.Context, server *routing.Server) {
	if !server.Worker().AcquireConnection() {
		return
	}
	defer server.Worker().ReleaseConnection()
	ctx, cancel := context.WithTimeout(ctx, n.settings.Times.WorkerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address()+"/healthz", http.NoBody)
	if err != nil {
		return
	}
	request.Close = true
	response, err := n.healthClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.Header.Get(headerLeaving) == "true" {
		server.MarkLeaving()
	}
}
