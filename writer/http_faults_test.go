package writer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/record"
	"github.com/cactusreel/cactusreel/standin"
	"github.com/cactusreel/cactusreel/writer"
)

// readStream reads the stream "resources" until ctx ends, calling w.Observed for
// each new record. At the end of the stream it waits for 10 ms or a token in
// readNow before the next read. It returns how often each item was applied.
func readStream(ctx context.Context, log *httpapi.LogClient, w *writer.Writer, readNow <-chan struct{}) map[string]int {
	items := make(map[string]int)
	var filter record.Filter
	next := int64(1)
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond) // a frozen connection gives no response
		page, err := log.Read(readCtx, "resources", next, 100)
		cancel()
		for _, r := range page.Records {
			next = r.Offset + 1
			id, idErr := record.ParseID(r.ID)
			batch, batchErr := writer.Unframe(r.Data)
			if idErr != nil || batchErr != nil || !filter.Accept(id, r.Offset) {
				continue
			}
			for _, item := range batch {
				items[string(item)]++
			}
			w.Observed(r.ID, r.Offset)
		}
		if err != nil || len(page.Records) == 0 {
			select {
			case <-ctx.Done():
			case <-readNow:
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return items
}

// Guards against items that are lost or applied twice over real connections
// while the log drops and truncates responses, aborts requests, freezes
// connections and refuses connections.
func TestFaultsOverHTTP(t *testing.T) {
	is := is.New(t)
	topology := standin.Topology{DataCentres: []standin.DataCentre{{Name: "giza"}}}
	p, err := standin.Start(topology, standin.Options{})
	is.NoErr(err)
	address := p.Addresses().Log["giza"]
	readNow := make(chan struct{}, 1)
	w := writer.New(httpapi.NewLogClient(address, nil), writer.Options{
		Stream: "resources", Incarnation: 5,
		AppendTimeout: 50 * time.Millisecond, ReadBackTimeout: 50 * time.Millisecond, MaxBackoff: 50 * time.Millisecond,
		Appended: func(string, int64) {
			select {
			case readNow <- struct{}{}:
			default:
			}
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	var running sync.WaitGroup
	running.Go(func() { _ = w.Run(ctx) })
	items := make(map[string]int)
	running.Go(func() { items = readStream(ctx, httpapi.NewLogClient(address, nil), w, readNow) })

	kinds := []standin.FaultKind{
		standin.FaultResponseLost, standin.FaultDown, standin.FaultCut, standin.FaultFrozen, standin.FaultDown, "none",
	}
	total := 0
	for round, kind := range kinds {
		f := standin.Fault{Kind: kind, Target: "log", Count: 3}
		if round == 4 {
			f.Count = 0 // refuse connections until the fault is turned off
		}
		if kind != "none" {
			is.NoErr(p.SetFault(f))
		}
		var last *writer.Submission
		for range 200 {
			last, err = w.Submit([]byte(fmt.Sprint(total)))
			is.NoErr(err)
			total++
		}
		if round == 4 {
			time.Sleep(20 * time.Millisecond) // some appends are refused meanwhile
			f.Off = true
			is.NoErr(p.SetFault(f))
		}
		is.Equal(last.Wait(ctx).Outcome, writer.Accepted)
	}
	cancel()
	running.Wait()
	is.NoErr(p.Close())
	is.Equal(len(items), total)
	for _, times := range items {
		is.Equal(times, 1)
	}
	is.True(w.Stats().Failures > 0)
}
