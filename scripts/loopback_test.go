package scripts_test

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/loopback"
)

// Guards against two runs of a script that use one loopback address, and against a script
// that uses an address that a test holds.
func TestScriptsHoldTheirAddresses(t *testing.T) {
	is := is.New(t)
	root := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(root, "bin", "standin"), "../cmd/standin")
	out, err := build.CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "")
	functions, err := filepath.Abs("loopback.sh")
	is.NoErr(err)
	// The same random numbers give the same first address.
	cmd := exec.Command("bash", "-c", fmt.Sprintf(`. %s
trap 'kill $first $standin_pid; wait' EXIT
[ $guard_port = %d ] || exit 1
RANDOM=1; start_standin log1; first=$standin_pid; echo $ip
RANDOM=1; start_standin log2 --entry dc-a/e0=IP:10000; echo $ip`, functions, loopback.GuardPort))
	cmd.Dir = root
	out, err = cmd.Output()
	is.NoErr(err)
	addresses := strings.Fields(string(out))
	is.Equal(len(addresses), 2)
	is.True(addresses[0] != addresses[1])
}
