package coordinator

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request to resign that a concurrent one for an earlier epoch undoes.
func TestRaiseKeepsTheHighestValue(t *testing.T) {
	is := is.New(t)
	for range 300 {
		var value atomic.Int64
		var wg sync.WaitGroup
		for i := range int64(16) {
			wg.Go(func() { raise(&value, i) })
		}
		wg.Wait()
		is.Equal(value.Load(), int64(15))
	}
}
