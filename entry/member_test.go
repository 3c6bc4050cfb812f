package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a text form that loses the incarnation: a restarted process
// would be taken for the one that held the copies.
func TestMemberRoundTrip(t *testing.T) {
	is := is.New(t)
	m := member{vm: "giza-1", incarnation: 0xfedcba9876543210}
	parsed, err := parseMember(m.String())
	is.NoErr(err)
	is.Equal(parsed, m)
	for _, bad := range []string{"", "giza-1", "giza-1#", "giza-1#xyz"} {
		_, err := parseMember(bad)
		is.True(err != nil)
	}
}
