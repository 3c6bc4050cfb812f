// Package proxy is the path of a request over net/http: from a caller or a
// peer entry VM to a backend server or to another peer, and back.
//
// Handler serves callers, PeerHandler serves the other entry VMs and must be
// reachable by them only, because it trusts the headers of package proxy. A
// request takes at most two hops between entry VMs: to the home of its request
// id, and from there to the owner of a cell with a free slot.
//
// The package never turns a request that may have run into one that was "not
// run": a send counts as not run only if no connection was established, or if
// the backend server said so itself.
package proxy
