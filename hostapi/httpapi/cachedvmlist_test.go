package httpapi_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
)

// changingList is a VM list that tests can modify.
type changingList struct{ vms []hostapi.VM }

func (l *changingList) List(context.Context, string) ([]hostapi.VM, error) { return l.vms, nil }

// Guards against a full VM list in every response, against a change that is
// missed because the entity tag stays the same, and against a modification of a
// returned list that affects the cache.
func TestUnchangedVMListIsNotResent(t *testing.T) {
	is := is.New(t)
	list := &changingList{vms: []hostapi.VM{{ID: "a", State: hostapi.VMLive}}}
	handler := httpapi.NewVMListHandler(list)
	fullResponses := 0
	address := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		handler.ServeHTTP(counted, r)
		if counted.status == http.StatusOK {
			fullResponses++
		}
	}))
	client := httpapi.NewVMListClient(address, nil)
	read := func() []hostapi.VM {
		vms, err := client.List(t.Context(), "giza")
		is.NoErr(err)
		return vms
	}
	read()[0].ID = "overwritten"
	is.Equal(read()[0].ID, "a")
	is.Equal(fullResponses, 1)
	list.vms = []hostapi.VM{{ID: "a", State: hostapi.VMLeaving}}
	is.Equal(read()[0].State, hostapi.VMLeaving)
	is.Equal(fullResponses, 2)
}

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
