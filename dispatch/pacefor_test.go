package dispatch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against a pace that uses more than the headroom, or none at all.
func TestPaceFor(t *testing.T) {
	for _, test := range []struct {
		headroom, pressure float64
		want               int
	}{
		{0.2, 0.5, 40}, {0.2, 0.45, 40}, {0.6, 0.5, 100}, {0.2, 0, 100}, {0.01, 0.5, minPace}, {-0.3, 0.5, minPace},
	} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			is.New(t).Equal(paceFor(test.headroom, test.pressure), test.want)
		})
	}
}
