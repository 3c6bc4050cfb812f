package standin_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/result"
	"github.com/cactusreel/cactusreel/standin"
)

// Guards against retention that deletes too many or too few records, or reuses
// offsets.
func TestLogRetention(t *testing.T) {
	is := is.New(t)
	log := standin.NewLogStore(standin.Retention{Records: 10, Age: time.Minute})
	for i := range 25 {
		offset := log.Append(time.Duration(i)*time.Second, "s", fmt.Sprint(i), []byte{byte(i)})
		is.Equal(offset, int64(i+1))
	}
	page, err := log.Read(25*time.Second, "s", 16, 3)
	is.NoErr(err)
	is.Equal(page.First, int64(16))
	is.Equal(page.Next, int64(26))
	is.Equal(len(page.Records), 3)
	is.Equal(page.Records[0], hostapi.LogRecord{Offset: 16, ID: "15", Data: []byte{15}})
	page, err = log.Read(25*time.Second, "s", 15, 3)
	is.True(errors.Is(err, hostapi.ErrTruncated))
	is.Equal(page.First, int64(16))

	// Record 20 was appended at 19 s, so it is kept until 79 s.
	page, _ = log.Read(79*time.Second, "s", 20, 100)
	is.Equal(page.First, int64(20))
	is.Equal(len(page.Records), 6)
	page, _ = log.Read(time.Hour, "s", 26, 100)
	is.Equal(page, hostapi.LogPage{First: 26, Next: 26})
	is.Equal(log.Append(time.Hour, "s", "x", nil), int64(26))
	is.Equal(log.Truncate("s", 0), int64(27))
	is.Equal(log.Append(time.Hour, "s", "y", nil), int64(27))
	page, err = log.Read(0, "other", 1, 5)
	is.NoErr(err)
	is.Equal(page, hostapi.LogPage{First: 1, Next: 1})
}

// Guards against a list that does not lag, loses changes, or changes while it is
// frozen.
func TestVMTableLag(t *testing.T) {
	is := is.New(t)
	vms := []hostapi.VM{{ID: "b", DataCentre: "giza"}, {ID: "a", DataCentre: "maadi"}}
	table := standin.NewVMTable(vms, 2*time.Second)
	is.Equal(len(table.List(0, "")), 2)
	is.Equal(table.List(0, "")[0].ID, "a")
	table.Remove(time.Second, "b")
	_, ok := table.Current("b")
	is.True(!ok)
	is.Equal(len(table.List(2*time.Second, "giza")), 1)
	is.Equal(len(table.List(3*time.Second, "giza")), 0)
	table.Put(4*time.Second, vms[0])
	table.SetFrozen(5*time.Second, true)
	is.Equal(len(table.List(time.Minute, "giza")), 0)
	table.SetFrozen(time.Minute, false)
	is.Equal(len(table.List(time.Minute, "giza")), 1)
}

// Guards against more requests than slots, slots that are not freed, and running
// requests with a lower term.
func TestAdmissionControl(t *testing.T) {
	is := is.New(t)
	admission := standin.NewAdmissionControl(2)
	concurrent, err := admission.Admit(5)
	is.NoErr(err)
	is.Equal(concurrent, 1)
	concurrent, err = admission.Admit(0) // without a term
	is.NoErr(err)
	is.Equal(concurrent, 2)
	_, err = admission.Admit(5)
	is.Equal(result.CodeOf(err, result.OK), result.NotRunOverloaded)
	admission.Release()
	_, err = admission.Admit(4)
	is.True(errors.Is(err, hostapi.ErrLowerTerm))
	concurrent, err = admission.Admit(6)
	is.NoErr(err)
	is.Equal(concurrent, 2)
}

// Guards against a fault that affects more requests than its count, or another
// target.
func TestFaultSetCounts(t *testing.T) {
	is := is.New(t)
	var faults standin.FaultSet
	faults.Set(standin.Fault{Kind: standin.FaultResponseLost, Target: "log", Count: 2})
	faults.Set(standin.Fault{Kind: standin.FaultSlow, Target: "log/giza", Delay: 1})
	is.Equal(len(faults.MatchRequest([]string{"vms/giza", "vms"})), 0)
	is.Equal(len(faults.MatchRequest([]string{"log/giza", "log"})), 2)
	is.Equal(len(faults.MatchRequest([]string{"log/maadi", "log"})), 1)
	is.Equal(len(faults.MatchRequest([]string{"log/maadi", "log"})), 0)
	faults.Set(standin.Fault{Kind: standin.FaultSlow, Target: "log/giza", Off: true})
	is.Equal(len(faults.MatchRequest([]string{"log/giza", "log"})), 0)
}

// Guards against invalid topologies and faults that are accepted.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{}`,
		`{"dataCentres":[{"name":"a"},{"name":"a"}]}`,
		`{"dataCentres":[{"name":"a","workers":-1}]}`,
		`{"dataCentres":[{"name":"a","wrokers":1}]}`,
		`{"dataCentres":[{"name":"a","entries":[{"id":"e","address":"localhost:1"}]}]}`,
		`{"dataCentres":[{"name":"a","logAddress":"192.0.2.1:9000"}]}`,
		`{"dataCentres":[{"name":"a"}],"kinds":{"k":{"failAfter":"-3s"}}}`,
		`{"dataCentres":[{"name":"a"}],"interference":[{"kind":"k","beside":"l","slowdown":-1}]}`,
	} {
		_, err := standin.DecodeTopology([]byte(text))
		is.True(err != nil)
	}
	for _, f := range []standin.Fault{
		{Kind: "odd"},
		{Kind: standin.FaultSlow},
		{Kind: standin.FaultLagging, Count: 1},
		{Kind: standin.FaultCut, Bytes: -1},
	} {
		is.Equal(result.CodeOf(f.Check(), result.OK), result.BadResource)
	}
	_, err := standin.Start(standin.Topology{DataCentres: []standin.DataCentre{{Name: "a"}}}, standin.Options{IP: "0.0.0.0"})
	is.True(err != nil) // not a loopback address
}

// Guards against panics, and against accepted topologies that can't start.
func FuzzDecodeTopology(f *testing.F) {
	f.Add([]byte(`{"dataCentres":[{"name":"a","racks":2,"workers":3,"worker":{"slots":8},"entries":[{"id":"e","address":"127.0.0.1:1"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		topology, err := standin.DecodeTopology(data)
		if err != nil {
			return
		}
		for _, dc := range topology.DataCentres {
			if dc.Name == "" || dc.Workers < 0 || dc.Racks < 0 {
				t.Fatalf("accepted %+v", dc)
			}
		}
	})
}

// Guards against start commands whose numbers overflow, cause a panic or exceed
// the capacity.
func FuzzStart(f *testing.F) {
	f.Add([]byte(`{"term":1,"boot":"b1","deadline":9,"id":{"task":"t","attempt":2},"kind":"k","requests":{"milliCPU":9},"checkpoint":"cp:1:5:t","leaseExpiry":99999999999,"work":1000000}`))
	f.Add([]byte(`{"boot":"b1","id":{"task":"t","attempt":1},"requests":{"milliCPU":9223372036854775807},"leaseExpiry":9223372036854775807,"work":9223372036854775807,"kind":"slow"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s hostapi.Start
		if json.Unmarshal(data, &s) != nil {
			return
		}
		w := newTestWorker(t, map[string]standin.TaskKindSpec{"slow": {RunFactor: 3, FailAfter: standin.Duration(time.Hour)}})
		first := newStart("first", 1, time.Hour)
		first.Term = 0
		is.New(t).NoErr(w.Start(0, first))
		_ = w.Start(0, s)
		var requested hostapi.Resources
		for _, a := range w.Observe(time.Minute).Attempts {
			if a.Progress < 0 || a.Progress > 1 {
				t.Fatalf("progress %v is not between 0 and 1", a.Progress)
			}
			if a.State == hostapi.AttemptRunning {
				requested = requested.Add(a.Requests)
			}
			if a.Requests.MilliCPU < 0 || !a.Requests.Fits(testCapacity) {
				t.Fatalf("worker accepted attempt %+v", a)
			}
		}
		if !requested.Fits(testCapacity) {
			t.Fatalf("running attempts request %+v, more than the capacity", requested)
		}
	})
}
