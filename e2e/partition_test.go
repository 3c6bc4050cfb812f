package e2e

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/standin"
)

// partitionDataCentres blocks or restores all connections between data centres.
func (c *cluster) partitionDataCentres(partitioned bool) {
	for _, p := range c.proxies {
		p.setPartitioned(partitioned)
	}
}

// Guards against a data centre that stops serving when it is partitioned from the
// other one and from the log, against tasks that start there after a take-out
// that it can't read, and against requests that run in both data centres.
func TestDataCentreCutFromEverything(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, twoDataCentres)
	c.declareWork(6, 24, 3)
	stopGets := c.startLoad("register", http.MethodGet, "work=5ms", 4, c.entries...)
	stopPosts := c.startLoad("register", http.MethodPost, "work=20ms", 4, c.entries...)
	giza, maadi := c.inDataCentre("giza"), c.inDataCentre("maadi")
	c.partitionDataCentres(true)
	c.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log/giza"})
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	_, err := c.operatorClient(maadi...).TakeOut(ctx, "giza", client.WriteOptions{})
	is.NoErr(err)
	c.recordEvent(checker.Event{Type: checker.TakenOut, DataCentre: "giza"})
	c.await("giza accepts no starts", func() bool { return !c.acceptingAt(giza) })
	c.await("giza serves under vouched ownership", func() bool { return c.allOwnedInState(giza, ownership.StateVouched) })
	c.await("a request is answered in giza", func() bool {
		return c.answered(callerRequest{method: http.MethodGet, id: "cut-get", query: "work=5ms", vm: giza[0]})
	})
	c.setFault(standin.Fault{Kind: standin.FaultDown, Target: "log/giza", Off: true})
	c.partitionDataCentres(false)
	c.recordEvent(checker.Event{Type: checker.BroughtBack, DataCentre: "giza"})
	_, err = c.operatorClient(maadi...).BringBack(ctx, "giza", client.WriteOptions{})
	is.NoErr(err)
	c.await("job completes", func() bool { return c.resourceStatus(api.KindJob, "reports", maadi...).Completed == 24 })
	is.True(stopGets() > 0)
	is.True(stopPosts() > 0)
	c.awaitAndCheck(6, 24)
}
