package entry

import (
	"context"
	"net/http"

	"github.com/cactusreel/cactusreel/routing"
)

// headerLeaving is the backend server's own word that it is leaving.
const headerLeaving = "Cactusreel-Leaving"

// maxHealthRequests bounds the health requests in flight.
const maxHealthRequests = 32

// pollBackends asks the backend servers of own cells whether they are leaving.
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

// workerBoots returns the boot id of each worker of the own cells.
func (n *Node) workerBoots() map[string]string {
	boots := make(map[string]string)
	for _, r := range n.runners() {
		for _, w := range r.view().workers {
			boots[w.ID] = w.Boot
		}
	}
	return boots
}

// leavingServers returns the workers whose backend servers are leaving, with
// the boot id that the word is about.
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

// pollBackend asks one server on a connection of its own, which it counts.
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
	answer, err := n.healthClient.Do(request)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	if answer.Header.Get(headerLeaving) == "true" {
		server.MarkLeaving()
	}
}
