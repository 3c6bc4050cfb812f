// Command standin runs a stand-in for the platform on the loopback interface, for
// development.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cactusreel/cactusreel/standin"
)

func main() {
	err := standin.NewCommand().ExecuteContext(context.Background())
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
