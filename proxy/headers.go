package proxy

// Headers of the request path. Those of the first group are part of the
// interface to callers and backend servers.
const (
	// HeaderRequestID carries the request id of a non-idempotent request.
	HeaderRequestID = "Cactusreel-Request-Id"
	// HeaderResult carries the result code of every response.
	HeaderResult = "Cactusreel-Result"
	// HeaderCaller carries a caller's identity for fair shares.
	HeaderCaller = "Cactusreel-Caller"
	// HeaderService tells a backend server which service is meant.
	HeaderService = "Cactusreel-Service"
	// HeaderTerm carries the term of the cell's owner to the backend server.
	HeaderTerm = "Cactusreel-Term"
	// HeaderNotRun is a backend server's word, in a 503 response, that the
	// request did not run.
	HeaderNotRun = "Cactusreel-Not-Run"
	// HeaderLeaving is a backend server's word that it is leaving.
	HeaderLeaving = "Cactusreel-Leaving"
)

// Headers between entry VMs.
const (
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "Cactusreel-Deadline-Ms"
	// HeaderHops counts the hops between entry VMs, this one included.
	HeaderHops = "Cactusreel-Hops"
	// HeaderSteps carries how many more hops are allowed.
	HeaderSteps = "Cactusreel-Steps"
	// HeaderRole tells the receiver its part: "home" or "run".
	HeaderRole = "Cactusreel-Role"
	// HeaderVia lists the VM ids that forwarded the request.
	HeaderVia = "Cactusreel-Via"
	// HeaderFresh is "true" if the request id was issued for this request.
	HeaderFresh = "Cactusreel-Fresh-Id"
)

// headerPrefix begins every header of this system. Callers and backend servers
// can't pass such headers through, except where this package says so.
const headerPrefix = "Cactusreel-"
