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

// cutDataCentres cuts or restores all connections between data centres.
func (c *cluster) cutDataCentres(cut bool) {
	for _, l := range c.links {
		l.setCut(cut)
	}
}

// Guards against a data centre that stops serving when it is cut off from the
// other one and from the log, against tasks that start there after a take-out
// that it can't read, and against requests that run on both sides.
func TestDataCentreCutFromEverything(t *testing.T) {
	is := is.New(t)
	c := start(t, twoCentres)
	c.declare(6, 24, 3)
	gets := c.load("register", http.MethodGet, "work=5ms", 4, c.entries...)
	posts := c.load("register", http.MethodPost, "work=20ms", 4, c.entries...)
	giza, maadi := c.in("giza"), c.in("maadi")
	c.cutDataCentres(true)
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log/giza"})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := c.operator(maadi...).TakeOut(ctx, "giza", client.WriteOptions{})
	is.NoErr(err)
	c.note(checker.Event{Type: checker.TakenOut, DataCentre: "giza"})
	c.await("giza starts nothing", func() bool { return !c.acceptingAt(giza) })
	c.await("giza serves on its peers' promises", func() bool { return c.owned(giza, ownership.StateVouched) })
	c.await("a request is answered in giza", func() bool {
		return c.answered(try{method: http.MethodGet, id: "cut-get", query: "work=5ms", vm: giza[0]})
	})
	c.fault(standin.Fault{Kind: standin.FaultDown, Target: "log/giza", Off: true})
	c.cutDataCentres(false)
	c.note(checker.Event{Type: checker.BroughtBack, DataCentre: "giza"})
	_, err = c.operator(maadi...).BringBack(ctx, "giza", client.WriteOptions{})
	is.NoErr(err)
	c.await("job completes", func() bool { return c.jobStatus(api.KindJob, "reports", maadi...).Completed == 24 })
	is.True(gets() > 0)
	is.True(posts() > 0)
	c.finish(6, 24)
}
