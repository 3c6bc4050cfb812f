package resources_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that CI gives the same verdict on every
// run. The flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
