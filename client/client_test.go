package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/client"
	"github.com/cactusreel/cactusreel/operator"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/result"
)

// entryVM is a fake entry VM whose operations take effect immediately.
type entryVM struct {
	store *resources.Store
	// watchesToBreak is the number of next watches whose connection is closed
	// immediately.
	watchesToBreak atomic.Int64
	// requests counts requests; the 100th calls onRequest100, if set.
	requests     atomic.Int64
	onRequest100 func()
}

func (e *entryVM) View() *resources.View                        { return e.store.View() }
func (e *entryVM) Ready() error                                 { return nil }
func (e *entryVM) NewRequestID(context.Context) (string, error) { return "giza.1.7.x", nil }
func (e *entryVM) Statuses(_ context.Context, list []api.Resource) ([]api.Status, error) {
	return slices.Repeat([]api.Status{{Running: 1}}, len(list)), nil
}
func (e *entryVM) Submit(_ context.Context, op resources.Operation) (resources.Outcome, error) {
	outcomes, err := e.store.Apply(e.store.View().Offset()+1, op)
	return outcomes[0], err
}

func (e *entryVM) serve(t *testing.T) string {
	h := operator.New(operator.Config{Store: e, Readiness: e, Submitter: e, Status: e, RequestIDs: e})
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		if e.requests.Add(1) == 100 && e.onRequest100 != nil {
			e.onRequest100()
		}
		if r.URL.Query().Has("watch") && e.watchesToBreak.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

func serve(t *testing.T, f http.HandlerFunc) string {
	server := httptest.NewServer(f)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

func serveError(t *testing.T, code result.Code, calls *atomic.Int64) string {
	return serve(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(code.HTTPStatus())
		_, _ = fmt.Fprintf(w, `{"code":%d,"message":"as told"}`, code)
	})
}

// refusingURL is the URL of a server that does not listen: ports below 1024 are
// never given to other listeners of the tests.
const refusingURL = "http://127.0.0.1:1"

func pool(name string) api.Resource {
	return api.Resource{Meta: api.Meta{Kind: api.KindPool, Name: name}, Pool: &api.PoolSpec{}}
}

// Guards against a client that does not match the server's API.
func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c, err := client.New([]string{(&entryVM{store: resources.New(resources.Limits{})}).serve(t) + "/"})
	is.NoErr(err)
	written, err := c.Put(ctx, pool("a"), client.WriteOptions{OperationID: "op-1", Precondition: resources.Precondition{MustNotExist: true}})
	is.NoErr(err)
	is.Equal(written, operator.WriteResult{Operation: "op-1", Kind: api.KindPool, Name: "a", Version: 1})
	written, err = c.Put(ctx, pool("a"), client.WriteOptions{Precondition: resources.Precondition{Version: 9}})
	is.Equal(result.CodeOf(err, result.OK), result.Conflict)
	is.True(written.Operation != "") // needed to retry it
	got, err := c.Get(ctx, api.KindPool, "a")
	is.NoErr(err)
	is.Equal(got.Version, api.Version(1))
	list, err := c.List(ctx, api.KindPool)
	is.NoErr(err)
	is.True(len(list.Items) == 1 && list.Version == 2)
	_, err = c.Delete(ctx, api.KindPool, "a", client.WriteOptions{Precondition: resources.Precondition{Version: 1}})
	is.NoErr(err)
	for _, change := range []func(context.Context, string, client.WriteOptions) (operator.WriteResult, error){c.Cancel, c.TakeOut, c.BringBack} {
		_, err = change(ctx, "none", client.WriteOptions{})
		is.Equal(result.CodeOf(err, result.OK), result.NotFound)
		is.True(strings.Contains(err.Error(), "s/none does not exist")) // the verb was sent for the right kind
	}
	id, err := c.NewRequestID(ctx)
	is.NoErr(err)
	is.Equal(id, "giza.1.7.x")
}

// Guards against sending a write to a second server, or reporting it as not run,
// after its outcome became unknown at the first server.
func TestUnknownOutcomeIsNotRepeated(t *testing.T) {
	for name, first := range map[string]func(*testing.T, *atomic.Int64) string{
		"unknown outcome in response": func(t *testing.T, n *atomic.Int64) string { return serveError(t, result.WriteOutcomeUnknown, n) },
		"connection lost": func(t *testing.T, n *atomic.Int64) string {
			return serve(t, func(http.ResponseWriter, *http.Request) { n.Add(1); panic(http.ErrAbortHandler) })
		},
		"response without code": func(t *testing.T, n *atomic.Int64) string {
			return serve(t, func(w http.ResponseWriter, _ *http.Request) { n.Add(1); w.WriteHeader(http.StatusBadGateway) })
		},
		"response cut off": func(t *testing.T, n *atomic.Int64) string {
			return serve(t, func(w http.ResponseWriter, _ *http.Request) {
				n.Add(1)
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte(`{"version":`))
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var firstCalls, secondCalls atomic.Int64
			c, err := client.New([]string{first(t, &firstCalls), serveError(t, result.Conflict, &secondCalls)})
			is.NoErr(err)
			_, err = c.Put(context.Background(), pool("a"), client.WriteOptions{})
			is.Equal(result.CodeOf(err, result.OK), result.WriteOutcomeUnknown)
			is.True(firstCalls.Load() == 1 && secondCalls.Load() == 0)
		})
	}
}

// Guards against giving up while another server can serve the request, and
// against reporting an unknown outcome although nothing was sent.
func TestNextServerAfterNoEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	var calls atomic.Int64
	live := (&entryVM{store: resources.New(resources.Limits{})}).serve(t)
	c, err := client.New([]string{refusingURL, serveError(t, result.NotReady, &calls), serveError(t, result.NotRunLogUnavailable, &calls), live})
	is.NoErr(err)
	_, err = c.Put(ctx, pool("a"), client.WriteOptions{})
	is.NoErr(err)
	is.Equal(calls.Load(), int64(2))
	unreachable, err := client.New([]string{refusingURL})
	is.NoErr(err)
	_, err = unreachable.Put(ctx, pool("a"), client.WriteOptions{})
	is.Equal(result.CodeOf(err, result.OK), result.PeerUnavailable)
	for _, bad := range []string{"127.0.0.1:1", "https://127.0.0.1", "http://127.0.0.1/?a=b"} {
		_, err = client.New([]string{bad})
		is.True(err != nil)
	}
}

// Guards against a follower that loses changes when its connection breaks or when
// the changes after its version are no longer kept.
func TestFollowSurvivesBrokenWatch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e := &entryVM{store: resources.New(resources.Limits{Events: 1}), onRequest100: cancel}
	c, err := client.New([]string{e.serve(t)})
	is.NoErr(err)
	put := func(name string) {
		op, err := resources.NewPut("", pool(name), resources.Precondition{})
		is.NoErr(err)
		_, err = e.Submit(context.Background(), op)
		is.NoErr(err)
	}
	put("a")
	e.watchesToBreak.Store(1)
	done := errors.New("all changes seen")
	seen := map[string]bool{}
	err = c.Follow(ctx, api.KindPool, func(line operator.WatchLine) error {
		switch {
		case line.Type == operator.WatchPut:
			seen[line.Resource.Name] = true
		case line.Type == operator.WatchDelete:
			delete(seen, line.Resource.Name)
		case len(seen) == 1: // the list is complete; the watch will break, and its version will be too old
			put("b")
			put("c")
			_, err := e.Submit(context.Background(), resources.Operation{Verb: resources.VerbDelete, Kind: api.KindPool, Name: "a"})
			is.NoErr(err)
		}
		if line.Type == operator.WatchBookmark && len(seen) > 2 {
			return errors.New("the second list is complete, but a was not reported as deleted")
		}
		if seen["b"] && seen["c"] && !seen["a"] {
			return done
		}
		return nil
	})
	is.Equal(err, done)
}

// Guards against a panic or an endless wait on malformed watch lines.
func TestWatchRejectsMalformedLines(t *testing.T) {
	for _, body := range []string{`{"type":"put","version":3}`, `{"type":"put"`, `[]`, `{"type":"error","failure":{"code":2004}}`} {
		is := is.New(t)
		c, err := client.New([]string{serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })})
		is.NoErr(err)
		since, err := c.Watch(context.Background(), api.KindPool, 7, func(operator.WatchLine) error { return nil })
		is.True(err != nil)
		is.Equal(since, api.Version(7))
	}
}
