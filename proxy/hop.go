package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/result"
)

// maxHops is the number of hops between entry VMs that a request may take: to
// the home of its id and to the owner of a free slot.
const maxHops = 2

// role is the part of the receiver of a forwarded request.
type role string

const (
	// roleEntry is the VM that the caller sent the request to.
	roleEntry role = ""
	// roleHome coordinates a non-idempotent request.
	roleHome role = "home"
	// roleRun sends the request to a backend server of an own cell.
	roleRun role = "run"
)

// hop is what the headers between entry VMs carry.
type hop struct {
	role role
	// hops counts the hops taken, steps those that are still allowed.
	hops, steps int
	// remaining is the time left, 0 at the entry VM.
	remaining time.Duration
	via       []string
	fresh     bool
}

// parseHop reads the headers of a forwarded request. The error has code
// result.NotRunBadRequest, or result.NotOwner for a request that comes back or
// took too many hops.
func parseHop(h http.Header, self string) (hop, error) {
	hops, err1 := strconv.Atoi(h.Get(HeaderHops))
	steps, err2 := strconv.Atoi(h.Get(HeaderSteps))
	millis, err3 := strconv.ParseInt(h.Get(HeaderDeadline), 10, 32)
	if err1 != nil || err2 != nil || err3 != nil || hops < 1 || steps < 0 || millis <= 0 {
		return hop{}, result.Errorf(result.NotRunBadRequest, "malformed headers between entry VMs")
	}
	in := hop{
		role:      role(h.Get(HeaderRole)),
		hops:      hops,
		steps:     steps,
		remaining: time.Duration(millis) * time.Millisecond,
		via:       strings.Split(h.Get(HeaderVia), ","),
		fresh:     h.Get(HeaderFresh) == "true",
	}
	if in.role != roleHome && in.role != roleRun {
		return hop{}, result.Errorf(result.NotRunBadRequest, "unknown role %q", in.role)
	}
	if hops+steps > maxHops || in.cameBack(self) {
		return in, result.Errorf(result.NotOwner, "request came by %s in %d hops", strings.Join(in.via, ", "), hops)
	}
	return in, nil
}

// cameBack reports whether the request loops. A home may legitimately send a
// request to run at the VM that forwarded it, but no VM is a home after it has
// forwarded a request, or sends one to itself.
func (in hop) cameBack(self string) bool {
	if in.role == roleHome {
		return slices.Contains(in.via, self)
	}
	return in.via[len(in.via)-1] == self
}

// next returns the hop headers for a peer in a role.
func (in hop) next(self string, to role, remaining time.Duration) hop {
	out := hop{role: to, hops: in.hops + 1, steps: in.steps - 1, remaining: remaining}
	if to == roleRun {
		out.steps = 0
	}
	out.via = append(slices.Clone(in.via), self)
	return out
}

func (in hop) write(h http.Header) {
	h.Set(HeaderRole, string(in.role))
	h.Set(HeaderHops, strconv.Itoa(in.hops))
	h.Set(HeaderSteps, strconv.Itoa(in.steps))
	h.Set(HeaderDeadline, strconv.FormatInt(in.remaining.Milliseconds(), 10))
	h.Set(HeaderVia, strings.Join(in.via, ","))
	if in.fresh {
		h.Set(HeaderFresh, "true")
	}
}
