package ownership_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/ownership"
	"github.com/cactusreel/cactusreel/record/recordpb"
)

// A single entry VM joins, claims the only cell of its data centre, and holds
// it once the claim has been read back. The slice represents the log.
func Example() {
	machine := ownership.New(ownership.DefaultConfig("giza-1", "giza", 1, 1))
	var log []*recordpb.Record
	collect := func(actions []ownership.Action) {
		for _, action := range actions {
			if a, ok := action.(ownership.Append); ok {
				log = append(log, a.Record)
			}
		}
	}
	for now := time.Duration(0); now < 3*time.Second; now += 100 * time.Millisecond {
		collect(machine.Step(now, ownership.Tick{}))
		for offset := machine.Offset(); offset < int64(len(log)); offset++ {
			collect(machine.Step(now, ownership.Applied{Offset: offset + 1, Record: log[offset]}))
		}
	}
	view := machine.View(3*time.Second, 0)
	fmt.Println(view.Owner, view.OwnState, view.Slots)
	// Output: giza-1 held 8
}
