package logevent_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cactusreel/cactusreel/logevent"
)

// Guards against an event in the table that no code logs, which would mislead
// operators.
func TestEveryEventIsLogged(t *testing.T) {
	var source strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		source.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, info := range logevent.Table() {
		logged := false
		for _, delimiter := range []string{",", ")"} {
			logged = logged || strings.Contains(source.String(), "logevent."+info.Name+delimiter)
		}
		if !logged {
			t.Errorf("event %d %s is in the table but never logged", info.Number, info.Name)
		}
	}
}
