package entry

import (
	"context"
	"net/http"

	"github.com/cactusreel/cactusreel/routing"
)

// headerLeaving is the backend server's own word that it is leaving.
const headerLeaving = "Cactusreel-Leaving"

// healthPolls bounds the health requests in flight.
const healthPolls = 32

// pollBackends asks the backend servers of own cells whether they are leaving.
func (n *Node) pollBackends(ctx context.Context) {
	limit := make(chan struct{}, healthPolls)
	for _, server := range n.router.Servers() {
		if server.Leaving() {
			continue
		}
		limit <- struct{}{}
		n.goDo(func() {
			defer func() { <-limit }()
			n.pollBackend(ctx, server)
		})
	}
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
	answer, err := n.health.Do(request)
	if err != nil {
		return
	}
	defer answer.Body.Close()
	if answer.Header.Get(headerLeaving) == "true" {
		server.MarkLeaving()
	}
}
