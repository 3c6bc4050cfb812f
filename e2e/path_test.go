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

// twoCentres has two data centres; one entry VM can be lost in each.
var twoCentres = layout{dataCentres: []string{"giza", "maadi"}, entries: []int{2, 2}, workers: 6}

func (c *cluster) declare(replicas, tasks int, seconds int64) {
	c.put(team())
	c.put(service("register", replicas))
	c.await("replicas run", func() bool { return c.jobStatus(api.KindService, "register").Running == replicas })
	if tasks > 0 {
		c.put(job("reports", tasks, seconds))
	}
}

// Guards against a part of the whole path that does not work with the others:
// apply, placement, requests, take-out, completion and planned stops.
func TestWholePath(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(6, 12, 4)
	stop := c.load("register", http.MethodGet, "work=5ms", 4, c.entries...)
	stopPosts := c.load("register", http.MethodPost, "work=5ms", 2, c.entries...)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := c.operator().TakeOut(ctx, "maadi", client.WriteOptions{})
	is.NoErr(err)
	c.note(checker.Event{Type: checker.TakenOut, DataCentre: "maadi"})
	c.await("job completes", func() bool { return c.jobStatus(api.KindJob, "reports").Completed == 12 })
	c.note(checker.Event{Type: checker.BroughtBack, DataCentre: "maadi"})
	_, err = c.operator().BringBack(ctx, "maadi", client.WriteOptions{})
	is.NoErr(err)
	c.await("replicas run", func() bool { return c.jobStatus(api.KindService, "register").Running == 6 })
	is.True(stop() > 0)
	is.True(stopPosts() > 0)
	for _, vm := range c.entries {
		c.signal(vm, syscall.SIGTERM)
	}
	for _, vm := range c.entries {
		c.stopped(vm)
	}
	c.judge()
}
