package main

import (
	"fmt"
	"os"
	"time"
)

// length is the virtual time of one run.
const length = 60 * time.Second

func main() {
	if err := report(os.Stdout, patterns, length); err != nil {
		fmt.Fprintln(os.Stderr, "slotsharing:", err)
		os.Exit(1)
	}
}
