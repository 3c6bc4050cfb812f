package logevent_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cactusreel/cactusreel/logevent"
)

// Guards against a catalogue that lists events which no code writes: an
// operator would wait for them in vain.
func TestEveryEventIsWritten(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		code.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, info := range logevent.Table() {
		written := false
		for _, end := range []string{",", ")"} {
			written = written || strings.Contains(code.String(), "logevent."+info.Name+end)
		}
		if !written {
			t.Errorf("event %d %s is in the catalogue and never written", info.Number, info.Name)
		}
	}
}
