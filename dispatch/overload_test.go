package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an overload in which everything is late: sign-in batches come
// for 15 s at about twice the rate for which there is room, and those that can
// still be on time must go first. At twice the rate at most about half can be
// on time; served by due time alone, hardly any is.
func TestOverloadServesWhatCanBeOnTime(t *testing.T) {
	is := is.New(t)
	l := newLoad(3, 30)
	l.run(2 * time.Second)
	until := l.now + 15*time.Second
	l.arrivals(40, until, l.signIn)
	l.run(40 * time.Second)
	is.True(len(l.lateness["sign-in"]) > 400)
	is.True(l.share("sign-in", 1) >= 0.3)
	// What was accepted is finished.
	is.Equal(len(l.arrived), 0)
}
