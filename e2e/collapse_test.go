package e2e

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a printed log that lacks what preceded thousands of equal lines, and against
// lines of different events that are left out.
func TestCollapseKeepsEachChangeOfEvent(t *testing.T) {
	is := is.New(t)
	lines := [][]byte{
		[]byte(`{"event":207}`), []byte(`{"event":402,"duration":"1s"}`), []byte(`{"event":402}`), []byte(`{"event":402}`),
		[]byte(`panic: x`), []byte(`panic: x`), []byte(`{"event":207}`), []byte(`{"event":207}`),
	}
	is.Equal(collapse(lines), []string{
		`{"event":207}`, `{"event":402,"duration":"1s"}`, `2 more lines of "event":402`,
		`panic: x`, `panic: x`, `{"event":207}`, `1 more lines of "event":207`,
	})
}
