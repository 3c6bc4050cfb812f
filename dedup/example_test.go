package dedup_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/dedup"
)

// A repeated request id gets the answer of the first run.
func Example() {
	cell := dedup.Cell{DataCentre: "giza"}
	store := dedup.NewStore(dedup.DefaultLimits())
	store.SetBinding(dedup.NewBinding(map[string]int{"giza": 1}))
	table := store.Table(cell)
	now := time.Second
	table.TakeOver(now, dedup.Takeover{Term: 3, Until: time.Minute})

	id, _ := store.Resolve("giza.sign-in-17")
	first := table.Begin(now, id, 1)
	fmt.Println(first.Code, first.Run.CheckSend(now))
	first.Run.FinishAnswered(now, &dedup.Answer{Status: 200, Body: []byte("signed in")})

	repeat := table.Begin(2*time.Second, id, 1)
	fmt.Println(repeat.Run == nil, string(repeat.Answer.Body))
	// Output:
	// OK OK
	// true signed in
}
