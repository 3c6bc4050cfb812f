package resources_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every CI run tests the same cases.
// The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
