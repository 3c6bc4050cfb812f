package httpapi_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
)

// fakeLog returns page and err, and records the arguments of the last call.
type fakeLog struct {
	page   hostapi.LogPage
	err    error
	stream string
	id     string
	data   []byte
	from   int64
	limit  int
}

func (f *fakeLog) Append(_ context.Context, stream, id string, data []byte) (int64, error) {
	f.stream, f.id, f.data = stream, id, data
	return f.page.Next, f.err
}

func (f *fakeLog) Read(_ context.Context, stream string, from int64, limit int) (hostapi.LogPage, error) {
	f.stream, f.from, f.limit = stream, from, limit
	return f.page, f.err
}

// fakeAgent returns its fields, and records the arguments of the last command.
type fakeAgent struct {
	state    hostapi.WorkerState
	attempt  hostapi.Attempt
	err      error
	command  hostapi.Command
	id       hostapi.AttemptID
	start    hostapi.Start
	renewals []hostapi.Renewal
	share    float64
	term     int64
}

func (f *fakeAgent) Observe(context.Context) (hostapi.WorkerState, error) {
	return f.state, f.err
}

func (f *fakeAgent) Fence(_ context.Context, term int64) (hostapi.WorkerState, error) {
	f.term = term
	return f.state, f.err
}

func (f *fakeAgent) Start(_ context.Context, s hostapi.Start) error {
	f.start = s
	return f.err
}

func (f *fakeAgent) Renew(_ context.Context, c hostapi.Command, renewals []hostapi.Renewal) error {
	f.command, f.renewals = c, renewals
	return f.err
}

func (f *fakeAgent) Checkpoint(_ context.Context, c hostapi.Command, id hostapi.AttemptID) (string, error) {
	f.command, f.id = c, id
	return f.attempt.Checkpoint, f.err
}

func (f *fakeAgent) Throttle(_ context.Context, c hostapi.Command, id hostapi.AttemptID, share float64) error {
	f.command, f.id, f.share = c, id, share
	return f.err
}

func (f *fakeAgent) Stop(_ context.Context, c hostapi.Command, id hostapi.AttemptID) (hostapi.Attempt, error) {
	f.command, f.id = c, id
	return f.attempt, f.err
}

func (f *fakeAgent) Forget(_ context.Context, c hostapi.Command, id hostapi.AttemptID) error {
	f.command, f.id = c, id
	return f.err
}

// fakeVMList returns vms, and records the argument of the last call.
type fakeVMList struct {
	vms        []hostapi.VM
	dataCentre string
}

func (f *fakeVMList) List(_ context.Context, dataCentre string) ([]hostapi.VM, error) {
	f.dataCentre = dataCentre
	return f.vms, nil
}

// serve starts a server for handler and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// refusingAddress returns an address that refuses connections: the port is bound
// by a client connection, so nothing listens on it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	c, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c.LocalAddr().String()
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}
