package freshness_test

import (
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/freshness"
)

// A read of the log's head that was sent at 10 s permits starts until 12 s,
// once all records up to that head have been applied.
func Example() {
	m := freshness.New(freshness.DefaultConfig())
	m.Step(10*time.Second, freshness.DirectRead{SentAt: 10 * time.Second, Head: 7})
	fmt.Println(m.StartUntil())
	m.Step(11*time.Second, freshness.Applied{Offset: 7})
	fmt.Println(m.StartUntil())
	// Output:
	// 0s
	// 12s
}
