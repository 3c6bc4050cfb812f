// Package proxy forwards requests over net/http: from a caller or a peer entry
// VM to a backend server or to another peer, and the response back.
//
// Handler serves callers, PeerHandler serves the other entry VMs and must be
// reachable by them only, because it trusts the headers of package proxy. A
// request takes at most two hops between entry VMs: to the home of its request
// id, and from there to the owner of a cell with a free slot.
//
// The package never reports "not run" for a request that may have run: a send
// counts as not run only if no connection was established, or if the backend
// server itself reported that it did not run the request.
package proxy
