// Command cactusreel is the daemon of an entry VM and the operators' tool.
package main

import (
	"context"
	"os"

	"github.com/cactusreel/cactusreel/command"
)

// version is set by the linker for releases.
var version = "development"

func main() {
	os.Exit(command.Main(context.Background(), os.Args[1:], command.Options{
		Stdin:   os.Stdin,
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Version: version,
	}))
}
