package main

import (
	"fmt"
	"os"
	"time"
)

// runDuration is the virtual time in which requests arrive in one run.
const runDuration = 60 * time.Second

func main() {
	if err := report(os.Stdout, loadPatterns, runDuration); err != nil {
		fmt.Fprintln(os.Stderr, "slotsharing:", err)
		os.Exit(1)
	}
}
