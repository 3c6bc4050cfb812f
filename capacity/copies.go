package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/dedup"
	"github.com/cactusreel/cactusreel/result"
)

// copyPartBytes is the size of a part as the daemon sends it.
const copyPartBytes = 256 << 10

// answerBytes is the size of a kept response body in measurements.
const answerBytes = 512

// requestTable returns the request table of a home that keeps a number of
// answered ids.
func requestTable(ids int) (*dedup.Table, error) {
	cell := dedup.Cell{DataCentre: centreName(0), Number: 3}
	store := dedup.NewStore(dedup.DefaultLimits())
	table := store.Table(cell)
	table.TakeOver(minute, dedup.Takeover{Term: cellTerm, Until: time.Hour})
	for i := range ids {
		begin := table.Begin(minute, dedup.ID{Text: dedup.IssueID(cell, cellTerm, uint64(i), uint64(i)), Cell: cell}, uint64(i))
		if begin.Run == nil {
			return nil, fmt.Errorf("id %d does not run: %s", i, begin.Code)
		}
		if code := begin.Run.CheckSend(minute); code != result.OK {
			return nil, fmt.Errorf("id %d does not start: %s", i, code)
		}
		begin.Run.FinishAnswered(minute, &dedup.Answer{Status: 200, Body: make([]byte, answerBytes)})
	}
	return table, nil
}

// measureCopies measures the full copy of a request table: export, encoding,
// decoding and import.
func measureCopies(r *Report) error {
	var live, spent, size []Point
	for _, ids := range []int{1000, 2000, 4000, 8000} {
		var table *dedup.Table
		var err error
		live = append(live, Point{float64(ids), heap(func() any {
			table, err = requestTable(ids)
			return table
		})})
		if err != nil {
			return err
		}
		bytes := 0
		spent = append(spent, Point{float64(ids), cost(func(int) { bytes, err = transfer(table) })})
		if err != nil {
			return err
		}
		size = append(size, Point{float64(ids), float64(bytes)})
	}
	r.fit("request table: heap, answers of 512 bytes", "id", "bytes", live)
	r.fit("request table: processor time of a copy, both ends without HTTP", "id", "ns", spent)
	r.fit("request table: bytes of a copy", "id", "bytes", size)
	return nil
}

// transfer copies a table as the daemon does, without the connection.
func transfer(table *dedup.Table) (bytes int, err error) {
	target := dedup.NewStore(dedup.DefaultLimits()).Table(table.Cell())
	full := false
	for _, part := range table.ExportCopy(minute, vmName(1), copyPartBytes) {
		data, err := json.Marshal(part)
		if err != nil {
			return 0, err
		}
		bytes += len(data)
		var arrived dedup.Copy
		if err := json.Unmarshal(data, &arrived); err != nil {
			return 0, err
		}
		if full, err = target.ImportCopyPart(minute, arrived); err != nil {
			return 0, err
		}
	}
	if !full {
		return 0, fmt.Errorf("the copy of %d ids is not complete", table.Len())
	}
	return bytes, nil
}
