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

// role is the role of the VM that receives a request.
type role string

const (
	// roleEntry receives the request from the caller.
	roleEntry role = ""
	// roleHome coordinates a non-idempotent request.
	roleHome role = "home"
	// roleRun sends the request to a backend server in a cell that it owns.
	roleRun role = "run"
)

// hop holds the content of the headers between entry VMs.
type hop struct {
	role role
	// hopsTaken counts the hops so far, this one included; hopsLeft counts the
	// further hops that are allowed.
	hopsTaken, hopsLeft int
	// remaining is the time left for the request; 0 with roleEntry.
	remaining time.Duration
	via       []string
	// fresh is set if the request id was issued for this request.
	fresh bool
}

// parseHop reads the headers of a forwarded request. The error has code
// result.NotRunBadRequest, or result.NotOwner for a request that loops or took
// too many hops.
func parseHop(h http.Header, self string) (hop, error) {
	hops, err1 := strconv.Atoi(h.Get(HeaderHops))
	steps, err2 := strconv.Atoi(h.Get(HeaderSteps))
	millis, err3 := strconv.ParseInt(h.Get(HeaderDeadline), 10, 32)
	if err1 != nil || err2 != nil || err3 != nil || hops < 1 || steps < 0 || millis <= 0 {
		return hop{}, result.Errorf(result.NotRunBadRequest, "malformed headers between entry VMs")
	}
	in := hop{
		role:      role(h.Get(HeaderRole)),
		hopsTaken: hops,
		hopsLeft:  steps,
		remaining: time.Duration(millis) * time.Millisecond,
		via:       strings.Split(h.Get(HeaderVia), ","),
		fresh:     h.Get(HeaderFresh) == "true",
	}
	if in.role != roleHome && in.role != roleRun {
		return hop{}, result.Errorf(result.NotRunBadRequest, "unknown role %q", in.role)
	}
	if hops+steps > maxHops || in.isLoop(self) {
		return in, result.Errorf(result.NotOwner, "forwarding loop or too many hops: request came through %s in %d hops", strings.Join(in.via, ", "), hops)
	}
	return in, nil
}

// isLoop reports whether the request loops. A home may send a request back to
// the VM that forwarded it, with roleRun. But no VM becomes the home of a request
// that it has forwarded, and no VM sends a request to itself.
func (in hop) isLoop(self string) bool {
	if in.role == roleHome {
		return slices.Contains(in.via, self)
	}
	return in.via[len(in.via)-1] == self
}

// next returns the hop for forwarding the request to a peer in the role to.
func (in hop) next(self string, to role, remaining time.Duration) hop {
	out := hop{role: to, hopsTaken: in.hopsTaken + 1, hopsLeft: in.hopsLeft - 1, remaining: remaining}
	if to == roleRun {
		out.hopsLeft = 0
	}
	out.via = append(slices.Clone(in.via), self)
	return out
}

func (in hop) write(h http.Header) {
	h.Set(HeaderRole, string(in.role))
	h.Set(HeaderHops, strconv.Itoa(in.hopsTaken))
	h.Set(HeaderSteps, strconv.Itoa(in.hopsLeft))
	h.Set(HeaderDeadline, strconv.FormatInt(in.remaining.Milliseconds(), 10))
	h.Set(HeaderVia, strings.Join(in.via, ","))
	if in.fresh {
		h.Set(HeaderFresh, "true")
	}
}
