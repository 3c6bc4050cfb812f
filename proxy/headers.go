package proxy

// Headers of the request path. Those of the first group are part of the
// interface to callers and backend servers.
const (
	// HeaderRequestID carries the request id of a non-idempotent request.
	HeaderRequestID = "Cactusreel-Request-Id"
	// HeaderResult carries the result code of every response.
	HeaderResult = "Cactusreel-Result"
	// HeaderCaller carries the caller's identity for fair sharing.
	HeaderCaller = "Cactusreel-Caller"
	// HeaderService carries the name of the requested service to the backend
	// server.
	HeaderService = "Cactusreel-Service"
	// HeaderTerm carries the term of the cell's owner to the backend server.
	HeaderTerm = "Cactusreel-Term"
	// HeaderNotRun is "true" in a 503 response if the backend server did not run
	// the request.
	HeaderNotRun = "Cactusreel-Not-Run"
	// HeaderLeaving is "true" if the backend server is about to stop and accepts
	// no new requests.
	HeaderLeaving = "Cactusreel-Leaving"
)

// Headers between entry VMs.
const (
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "Cactusreel-Deadline-Ms"
	// HeaderHops counts the hops between entry VMs, this one included.
	HeaderHops = "Cactusreel-Hops"
	// HeaderSteps carries the number of further hops that are allowed.
	HeaderSteps = "Cactusreel-Steps"
	// HeaderRole carries the receiver's role: "home" or "run".
	HeaderRole = "Cactusreel-Role"
	// HeaderVia lists the ids of the VMs that forwarded the request.
	HeaderVia = "Cactusreel-Via"
	// HeaderFresh is "true" if the request id was issued for this request.
	HeaderFresh = "Cactusreel-Fresh-Id"
)

// headerPrefix is the prefix of every header of this system. The proxy does not
// forward such headers from callers and backend servers; it sets the ones that
// the receiver needs.
const headerPrefix = "Cactusreel-"
