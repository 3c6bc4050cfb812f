package e2e

import (
	"context"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/hostapi"
)

func service(name string, replicas int) api.Resource {
	return api.Resource{Meta: api.Meta{Kind: api.KindService, Name: name}, Service: &api.ServiceSpec{
		Team: "t", TaskKind: "web", Replicas: replicas, TargetP99Millis: 100,
		Requests: hostapi.Resources{MilliCPU: 4000, MemoryMiB: 1000},
	}}
}

func job(name string, count int, seconds int64) api.Resource {
	return api.Resource{Meta: api.Meta{Kind: api.KindJob, Name: name}, Job: &api.JobSpec{
		Team: "t", TaskKind: "report", Tasks: count, RunSeconds: seconds,
		Requests: hostapi.Resources{MilliCPU: 2000, MemoryMiB: 1000},
	}}
}

func team() api.Resource {
	return api.Resource{Meta: api.Meta{Kind: api.KindTeam, Name: "t"}, Team: &api.TeamSpec{
		MayBorrow: true, Quota: hostapi.Resources{MilliCPU: 1_000_000, MemoryMiB: 1_000_000},
	}}
}

// twoDataCentres has two data centres, in each of which one of the two entry VMs
// may fail.
var twoDataCentres = layout{dataCentres: []string{"giza", "maadi"}, entryVMs: []int{2, 2}, workers: 6}

func (c *cluster) declareWork(replicas, tasks int, seconds int64) {
	c.put(team())
	c.put(service("register", replicas))
	c.await("replicas run", func() bool { return c.resourceStatus(api.KindService, "register").Running == replicas })
	if tasks > 0 {
		c.put(job("reports", tasks, seconds))
	}
}

// Guards against components that do not work together on the path from apply over
// placement, requests, take-out and completion to planned stops.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDataCentres)
	c.declareWork(6, 12, 4)
	stopGets := c.startLoad("register", http.MethodGet, "work=5ms", 4, c.entries...)
	stopPosts := c.startLoad("register", http.MethodPost, "work=5ms", 2, c.entries...)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	_, err := c.operatorClient().TakeOut(ctx, "maadi", client.WriteOptions{})
	is.NoErr(err)
	c.recordEvent(checker.Event{Type: checker.TakenOut, DataCentre: "maadi"})
	c.await("job completes", func() bool { return c.resourceStatus(api.KindJob, "reports").Completed == 12 })
	c.recordEvent(checker.Event{Type: checker.BroughtBack, DataCentre: "maadi"})
	_, err = c.operatorClient().BringBack(ctx, "maadi", client.WriteOptions{})
	is.NoErr(err)
	c.await("replicas run", func() bool { return c.resourceStatus(api.KindService, "register").Running == 6 })
	is.True(stopGets() > 0)
	is.True(stopPosts() > 0)
	for _, vm := range c.entries {
		c.signal(vm, syscall.SIGTERM)
	}
	for _, vm := range c.entries {
		c.awaitStop(vm)
	}
	c.checkHistory()
}
