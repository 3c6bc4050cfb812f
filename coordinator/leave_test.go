package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/coordinator"
)

// muteGroup doesn't answer the first calls that leave it.
type muteGroup struct {
	coordinator.Group
	mute, left int
}

func (g *muteGroup) Leave(ctx context.Context) error {
	if g.mute > 0 {
		g.mute--
		<-ctx.Done()
		return ctx.Err()
	}
	g.left++
	return nil
}

// Guards against a stop that waits for one answer of the group until the process is killed, so that
// its cells are taken over late: the answer is lost, and the leave is repeated.
func TestLeaveOfTheGroupIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &muteGroup{mute: 2}
		n := coordinator.NewNode(coordinator.Config{}, coordinator.Platform{Group: g}, nil, coordinator.NewMetrics())
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 4500*time.Millisecond)
		defer cancel()
		n.Stop(ctx)
		is.Equal(g.left, 1)
		is.True(time.Since(began) < 3*time.Second)
	})
}
