package httpapi_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
)

// Guards against panics, and against accepted pages with gaps or beyond their
// bounds.
func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"first":1,"next":3,"records":[{"offset":1,"id":"a","data":"AA=="},{"offset":2}]}`), int64(1), 10)
	f.Add([]byte(`{"first":9,"next":9,"records":null}`), int64(9), 0)
	f.Fuzz(func(t *testing.T, data []byte, from int64, limit int) {
		page, err := httpapi.DecodePage(data, from, limit)
		if err != nil {
			return
		}
		if len(page.Records) > limit || from < page.First {
			t.Fatalf("page beyond its bounds: %+v", page)
		}
		for i, r := range page.Records {
			if r.Offset != from+int64(i) || r.Offset >= page.Next {
				t.Fatalf("gap in page: %+v", page)
			}
		}
		encoded, err := json.Marshal(httpapi.PageToWire(page))
		if err != nil {
			t.Fatal(err)
		}
		_, err = httpapi.DecodePage(encoded, from, limit)
		if err != nil {
			t.Fatalf("page does not survive encoding: %v", err)
		}
	})
}

// Guards against panics, and against a body that proves a refusal although it
// has another code than the status.
func FuzzDecodeErrorBody(f *testing.F) {
	f.Add(http.StatusConflict, []byte(`{"code":3003,"name":"WorkerRefused","message":"m","reason":"NoRoom"}`))
	f.Add(http.StatusGone, []byte(`{"code":2004,"reason":"Truncated","first":3}`))
	f.Add(http.StatusOK, []byte(`{}`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		err := httpapi.DecodeErrorBody(status, data)
		if err == nil {
			t.Fatal("an error body gave no error")
		}
		if errors.Is(err, hostapi.ErrNotSent) {
			t.Fatal("an answer can't prove that nothing was sent")
		}
		if errors.Is(err, hostapi.ErrNoRoom) && status != http.StatusConflict {
			t.Fatalf("status %d proves a refusal", status)
		}
	})
}

// Guards against panics, and against accepted states that list an attempt twice.
func FuzzDecodeWorkerState(f *testing.F) {
	f.Add([]byte(`{"worker":"w","boot":"b","clock":5,"attempts":[{"id":{"task":"t","attempt":1},"state":"running"}],"usage":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		state, err := httpapi.DecodeWorkerState(data)
		if err != nil {
			return
		}
		seen := make(map[hostapi.AttemptID]bool)
		for _, a := range state.Attempts {
			if seen[a.ID] || state.Boot == "" {
				t.Fatalf("accepted %+v", state)
			}
			seen[a.ID] = true
		}
	})
}

// Guards against panics, and against accepted lists with negative capacities.
func FuzzDecodeVMs(f *testing.F) {
	f.Add([]byte(`[{"id":"w","dataCentre":"giza","capacity":{"milliCPU":64000},"slots":8}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, err := httpapi.DecodeVMs(data)
		if err != nil {
			return
		}
		for _, vm := range vms {
			if vm.ID == "" || vm.Capacity.MilliCPU < 0 || vm.Slots < 0 {
				t.Fatalf("accepted %+v", vm)
			}
		}
	})
}
