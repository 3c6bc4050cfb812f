package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/dispatch"
)

// Guards against a guest that is started by a confirmation that is older than the limit of
// the age of an intake's view: its submission may have been cancelled since.
func TestConfirmationOfAGuestHasTheLimitOfTheIntake(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 2 * time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			config := transferConfig
			config.MaxViewAge[dispatch.Intake] = 1500 * time.Millisecond
			h.machine = dispatch.New(config, h.ledger, h.now, time.Now())
			h.receive("guest", plainStep)
			h.confirm("guest")
			h.now += age
			h.handle(dispatch.ViewRead{View: dispatch.Intake, SentAt: h.now})
			h.listReadyWorker()
			h.advance(20 * time.Millisecond)
			is.Equal(h.count(startOf("guest")) == 1, age == time.Second)
		})
	}
}
