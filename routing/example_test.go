package routing_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/routing"
)

// A request occupies a slot of a worker in an own cell until it is released.
func Example() {
	r := routing.New()
	now := time.Second
	r.SetAuthority(0, routing.Authority{Term: 5, State: routing.Held, FullUntil: time.Minute})
	r.Update(routing.Snapshot{
		Now:        now,
		DataCentre: "giza",
		Services:   []routing.ServiceEntry{{Name: "register", Spec: api.ServiceSpec{}}},
		Workers: []routing.WorkerEntry{{
			ID: "w1", Boot: "b1", Address: "127.0.0.1:8000", Slots: 8, Services: []string{"register"},
		}},
	})
	d := r.Choose(now, &routing.Request{Service: "register", Criticality: routing.Normal, Random: 1})
	fmt.Println(d.Code, d.Slot.Server.Address(), r.SlotsInUse(0, now))
	d.Slot.Release()
	fmt.Println(r.SlotsInUse(0, now))
	// Output:
	// OK 127.0.0.1:8000 1
	// 0
}
