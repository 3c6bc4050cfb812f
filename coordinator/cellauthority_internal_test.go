package coordinator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an owner whose authority a join renews after another node may have opened a newer
// epoch between two joins.
func TestAuthorityIsProvenAfterTheCellWasReleased(t *testing.T) {
	is := is.New(t)
	var a cellAuthority
	now := func(ms int) time.Duration { return time.Hour + time.Duration(ms)*time.Millisecond }
	is.True(!a.assigned(now(0), now(5)))
	a.proven(now(10))
	is.Equal(a.age(now(100)), 100*time.Millisecond)
	is.True(a.assigned(now(300), now(305)))
	a.release()
	a.proven(now(350))
	is.True(!a.assigned(now(600), now(605)))
	is.Equal(a.age(now(700)), 400*time.Millisecond)
	a.proven(now(604)) // another node may have opened an epoch since
	is.Equal(a.age(now(700)), 400*time.Millisecond)
	a.proven(now(610))
	is.Equal(a.age(now(700)), 100*time.Millisecond)
}
