package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
)

// copyPartBytes is the maximum size of a part of a copy. The daemon uses the same.
const copyPartBytes = 256 << 10

// answerBytes is the size of a retained response body in measurements.
const answerBytes = 512

// newRequestTable returns the request table of a home with the given number of
// answered request ids.
func newRequestTable(ids int) (*dedup.Table, error) {
	cell := dedup.Cell{DataCentre: dataCentreName(0), Number: 3}
	store := dedup.NewStore(dedup.DefaultLimits())
	table := store.Table(cell)
	table.TakeOver(startTime, dedup.Takeover{Term: cellTerm, Until: time.Hour})
	for i := range ids {
		begin := table.Begin(startTime, dedup.ID{Text: dedup.IssueID(cell, cellTerm, uint64(i), uint64(i)), Cell: cell}, uint64(i))
		if begin.Run == nil {
			return nil, fmt.Errorf("request id %d was not accepted: %s", i, begin.Code)
		}
		if code := begin.Run.CheckSend(startTime); code != result.OK {
			return nil, fmt.Errorf("request id %d may not be sent: %s", i, code)
		}
		begin.Run.FinishAnswered(startTime, &dedup.Answer{Status: 200, Body: make([]byte, answerBytes)})
	}
	return table, nil
}

// measureCopies measures the full copy of a request table: export, encoding,
// decoding and import.
func measureCopies(r *Report) error {
	var heapSize, copyTime, copySize []Point
	for _, ids := range []int{1000, 2000, 4000, 8000} {
		var table *dedup.Table
		var err error
		heapSize = append(heapSize, Point{float64(ids), liveHeap(func() any {
			table, err = newRequestTable(ids)
			return table
		})})
		if err != nil {
			return err
		}
		bytes := 0
		copyTime = append(copyTime, Point{float64(ids), costPerCall(func(int) { bytes, err = copyTable(table) })})
		if err != nil {
			return err
		}
		copySize = append(copySize, Point{float64(ids), float64(bytes)})
	}
	r.addSlope("request table: heap, answers of 512 bytes", "id", "bytes", heapSize)
	r.addSlope("request table: processor time of a copy, both ends without HTTP", "id", "ns", copyTime)
	r.addSlope("request table: bytes of a copy", "id", "bytes", copySize)
	return nil
}

// copyTable copies a table as the daemon does, but without a connection. It
// returns the encoded size in bytes.
func copyTable(table *dedup.Table) (bytes int, err error) {
	target := dedup.NewStore(dedup.DefaultLimits()).Table(table.Cell())
	complete := false
	for _, part := range table.ExportCopy(startTime, vmName(1), copyPartBytes) {
		data, err := json.Marshal(part)
		if err != nil {
			return 0, err
		}
		bytes += len(data)
		var received dedup.Copy
		if err := json.Unmarshal(data, &received); err != nil {
			return 0, err
		}
		if complete, err = target.ImportCopyPart(startTime, received); err != nil {
			return 0, err
		}
	}
	if !complete {
		return 0, fmt.Errorf("the copy of %d request ids is incomplete", table.Len())
	}
	return bytes, nil
}
