package httpapi_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
)

// Guards against panics, and against accepting pages with gaps or with records
// out of range.
func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"first":1,"next":3,"records":[{"offset":1,"id":"a","data":"AA=="},{"offset":2}]}`), int64(1), 10)
	f.Add([]byte(`{"first":9,"next":9,"records":null}`), int64(9), 0)
	f.Fuzz(func(t *testing.T, data []byte, from int64, limit int) {
		page, err := httpapi.DecodePage(data, from, limit)
		if err != nil {
			return
		}
		if len(page.Records) > limit || from < page.First {
			t.Fatalf("page has too many records or starts below First: %+v", page)
		}
		for i, r := range page.Records {
			if r.Offset != from+int64(i) || r.Offset >= page.Next {
				t.Fatalf("page has a gap or a record at or above Next: %+v", page)
			}
		}
		encoded, err := json.Marshal(httpapi.PageToWire(page))
		if err != nil {
			t.Fatal(err)
		}
		_, err = httpapi.DecodePage(encoded, from, limit)
		if err != nil {
			t.Fatalf("encoded page is not accepted: %v", err)
		}
	})
}

// Guards against panics, and against a body that is accepted as a refusal
// although its code does not match the status.
func FuzzDecodeErrorBody(f *testing.F) {
	f.Add(http.StatusConflict, []byte(`{"code":3003,"name":"WorkerRefused","message":"m","reason":"NoRoom"}`))
	f.Add(http.StatusGone, []byte(`{"code":2004,"reason":"Truncated","first":3}`))
	f.Add(http.StatusOK, []byte(`{}`))
	f.Fuzz(func(t *testing.T, status int, data []byte) {
		err := httpapi.DecodeErrorBody(status, data)
		if err == nil {
			t.Fatal("DecodeErrorBody returned no error")
		}
		if errors.Is(err, hostapi.ErrNotSent) {
			t.Fatal("the error of a response wraps ErrNotSent")
		}
		if errors.Is(err, hostapi.ErrNoRoom) && status != http.StatusConflict {
			t.Fatalf("the error of a response with status %d wraps ErrNoRoom", status)
		}
	})
}

// Guards against panics, and against accepting states that list an attempt twice.
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
				t.Fatalf("accepted a duplicate attempt or an empty boot id: %+v", state)
			}
			seen[a.ID] = true
		}
	})
}

// Guards against panics, and against accepting lists with negative capacities.
func FuzzDecodeVMs(f *testing.F) {
	f.Add([]byte(`[{"id":"w","dataCentre":"giza","capacity":{"milliCPU":64000},"slots":8}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		vms, err := httpapi.DecodeVMs(data)
		if err != nil {
			return
		}
		for _, vm := range vms {
			if vm.ID == "" || vm.Capacity.MilliCPU < 0 || vm.Slots < 0 {
				t.Fatalf("accepted an empty id or a negative capacity: %+v", vm)
			}
		}
	})
}
