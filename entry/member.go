package entry

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cactusreel/cactusreel/record"
)

// member identifies one process of an entry VM. Copies of request tables are
// tracked per member, because a restarted process has lost its copies.
type member struct {
	vm          string
	incarnation uint64
}

// String returns "<vm>#<incarnation, 16 hex digits>".
func (m member) String() string {
	return record.MemberName(m.vm, m.incarnation)
}

func parseMember(text string) (member, error) {
	vm, hex, found := strings.Cut(text, "#")
	if !found {
		return member{}, fmt.Errorf("member %q: want <vm>#<incarnation>", text)
	}
	incarnation, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return member{}, fmt.Errorf("member %q: %w", text, err)
	}
	return member{vm: vm, incarnation: incarnation}, nil
}
