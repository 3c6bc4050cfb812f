package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/pipenet"
	"github.com/cactusreel/cactusreel/proxy"
	"github.com/cactusreel/cactusreel/routing"
	"github.com/cactusreel/cactusreel/settings"
)

// servingNode is a node that owns one worker, whose backend server answers every
// request after the same time.
type servingNode struct {
	*Node
	server  *http.Server
	backend *http.Server
	callers *pipenet.Listener
}

func newServingNode(t *testing.T, work time.Duration) *servingNode {
	t.Helper()
	n := &Node{clock: NewClock(), router: routing.New(), stopped: make(chan struct{})}
	n.settings.Times = settings.Times{StopDeadline: stopDeadline}
	n.router.SetAuthority(0, routing.Authority{Term: 1, State: routing.Held, FullUntil: time.Hour})
	n.router.Update(routing.Snapshot{
		Services: []routing.ServiceEntry{{Name: "register", Spec: api.ServiceSpec{}}},
		Workers:  []routing.WorkerEntry{{ID: "w0", Boot: "1", Address: "w0", Slots: 8, Services: []string{"register"}}},
	})
	s := &servingNode{Node: n, callers: pipenet.NewListener()}
	backends := pipenet.NewListener()
	s.backend = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(work) })}
	go func() { _ = s.backend.Serve(backends) }()
	p, err := proxy.New(proxy.Config{
		VM: "giza-1", Router: n.router, Store: dedup.NewStore(dedup.DefaultLimits()),
		Directory: &directory{node: n}, Acknowledger: &acknowledger{node: n},
		Now: n.clock, Random: rand.Uint64, Dial: func(ctx context.Context, address string) (net.Conn, error) { return backends.Dial(ctx, "tcp", address) },
		Limits: proxy.Limits{MaxRequest: time.Minute, ProgressTimeout: time.Minute},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.proxy = p
	s.server = n.serve(s.callers, p.Handler(), make(chan error, 1))
	return s
}

// get sends a request and returns an error if it gets no answer.
func (s *servingNode) get() error {
	c := http.Client{Transport: &http.Transport{DialContext: s.callers.Dial, DisableKeepAlives: true}}
	response, err := c.Get("http://giza-1/s/register/x")
	if err != nil {
		return err
	}
	return response.Body.Close()
}

func (s *servingNode) close() {
	s.background.Wait()
	time.Sleep(time.Minute) // virtual time: lets the backend server finish
	s.proxy.Close()
	_ = s.backend.Close()
}

const stopDeadline = 10 * time.Second

// Guards against requests that are reported as cut off, with the exit code of a stop
// that interrupted requests, and answered before the process exits.
func TestCutOffRequestGetsNoAnswer(t *testing.T) {
	for name, test := range map[string]struct {
		signals int
		// work ends shortly after the stop.
		work time.Duration
	}{
		"second signal": {signals: 1, work: closeTimeout / 2},
		"deadline":      {signals: 0, work: stopDeadline + closeTimeout/2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newServingNode(t, test.work)
				defer n.close()
				answered := make(chan error, 1)
				go func() { answered <- n.get() }()
				synctest.Wait()
				is.Equal(n.proxy.InProgress(), 1)
				secondStop := make(chan struct{}, 1)
				for range test.signals {
					secondStop <- struct{}{}
				}
				is.True(errors.Is(n.stopServing(secondStop, n.server), ErrRequestsCutOff))
				is.True(<-answered != nil) // the caller gets no answer
			})
		})
	}
}

// Guards against a planned stop that breaks the connections of requests that end
// before its deadline.
func TestPlannedStopAwaitsAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newServingNode(t, stopDeadline/2)
		defer n.close()
		answered := make(chan error, 1)
		go func() { answered <- n.get() }()
		synctest.Wait()
		is.NoErr(n.stopServing(nil, n.server))
		is.NoErr(<-answered)
	})
}
